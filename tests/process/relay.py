"""A relay of TCP connections that can be cut."""

import asyncio
import threading


class Relay:
    """Passes connections from `port` to `target` on loopback, on a thread of its own.

    While it is cut it answers nothing: open connections end, and new ones are taken and left without an answer, as when
    packets are lost on the way.
    """

    def __init__(self, port, target):
        self.port = port
        self.target = target
        self.is_cut = False
        self.writers = set()
        self.loop = asyncio.new_event_loop()
        self.loop.run_until_complete(self.listen())
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.is_cut:
                await reader.read()  # until the other side gives up
                return
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(far_writer)
            await asyncio.gather(self.copy(reader, far_writer), self.copy(far_reader, writer))
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def set_cut(self, is_cut):
        def change():
            self.is_cut = is_cut
            if is_cut:
                for it in list(self.writers):
                    it.transport.abort()
        self.loop.call_soon_threadsafe(change)

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
