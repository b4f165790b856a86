"""A TCP relay that can simulate a network partition."""

import asyncio
import threading


class Relay:
    """Forwards connections from `port` to `target` on loopback, in its own thread.

    While the relay is cut, open connections are aborted, and new ones are accepted but never answered, as when packets
    are lost.
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
                await reader.read()  # until the client closes the connection
                return
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(target_writer)
            await asyncio.gather(self.copy(reader, target_writer), self.copy(target_reader, writer))
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
