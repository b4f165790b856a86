"""A small stand-in for the platform's store, the runners and the operator, all on loopback, in one process.

It follows PROTOCOL.md: `rows-tx`, `rows-get` and `rows-feed` of the store (4 ms an answer), and `run-start`, `run-stop`,
`hold` and `pace` of the runners. A runner doesn't guard its capacity. What a task does is in its `spec`, a JSON text:
`work_ms` (how long it works), `always_fails_after_ms` (each run fails by its own fault after that time).
"""

import asyncio
import base64
import json
import time

STORE_LATENCY_S = 0.004
HOLD_MAX_MS = 10_000
STOP_MS = 100


def wall_ms():
    return int(time.time() * 1000)


async def serve(handler, port):
    """Serves HTTP/1.1 with kept connections. `handler(method, path, query, headers, body)` returns (status, value)."""

    async def on_connection(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                parameters = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
                status, value = await handler(method, path, parameters, headers, body)
                text = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d -\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, "127.0.0.1", port)


def unescape(text):
    out = bytearray()
    n = 0
    while n < len(text):
        if text[n] == "%":
            out.append(int(text[n + 1:n + 3], 16))
            n += 3
        else:
            out += text[n].encode()
            n += 1
    return out.decode()


class Store:
    """The platform's table store. Keeps all history."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> (ver, value), value None for a removed row
        self.version = 0
        self.started = time.monotonic()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, "", key)] = (self.version, base64.b64encode(json.dumps(value).encode()).decode())
        self._wake()

    def remove(self, table, key):
        self.version += 1
        self.rows[(table, "", key)] = (self.version, None)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, name, entry):
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": entry[0]}
        if entry[1] is None:
            row["tombstone"] = True
        else:
            row["value"] = entry[1]
        return row

    def _page(self, rows, **more):
        return dict({"rows": rows, "ver": self.version, "now_ms": int((time.monotonic() - self.started) * 1000)}, **more)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_LATENCY_S)
        if path == "/rows-tx":
            return self._commit(json.loads(body))
        if path == "/rows-get":
            table, part = unescape(query["table"]), unescape(query.get("part", ""))
            first, last = unescape(query.get("from", "")), unescape(query.get("to", ""))
            limit = min(int(query.get("limit", 500)), 500)
            names = sorted(it for it, entry in self.rows.items() if it[0] == table and it[1] == part and entry[1] is not None
                           and it[2] >= first and (not last or it[2] < last))
            return 200, self._page([self._row(it, self.rows[it]) for it in names[:limit]], has_more=len(names) > limit)
        if path == "/rows-feed":
            return await self._feed(unescape(query["table"]), int(query["after"]), int(query.get("wait_ms", 0)))
        return 404, {}

    def _commit(self, call):
        def name_of(row):
            return (row["table"], row.get("part", ""), row["key"])

        expected = [(name_of(it), int(it["ver"])) for it in call.get("expected_rev") or []]
        for name, version in expected:
            entry = self.rows.get(name)
            present = entry[0] if entry and entry[1] is not None else 0
            if present != version:
                return 412, self._page([self._row(it, self.rows[it]) for it, _ in expected if it in self.rows and self.rows[it][1] is not None])
        self.version += 1
        for row in call.get("set_keys") or []:
            self.rows[name_of(row)] = (self.version, row["value"])
        for row in call.get("remove") or []:
            if name_of(row) in self.rows:
                self.rows[name_of(row)] = (self.version, None)
        self._wake()
        return 200, self._page([])

    async def _feed(self, table, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            found = sorted((entry[0], name) for name, entry in self.rows.items() if name[0] == table and entry[0] > after)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, self._page([self._row(name, self.rows[name]) for _, name in found])
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Runner:
    """One runner. `record(text)` notes what it was told and what it ran; `started(runner, task)` is called at each start."""

    def __init__(self, name, port, service, cpu, mem_mb, labels, store, record):
        self.name, self.port, self.service = name, port, service
        self.cpu, self.mem_mb, self.labels = cpu, mem_mb, labels
        self.store, self.record = store, record
        self.born = wall_ms()
        self.started_at = time.monotonic()
        self.fence = 0
        self.deadline = 0  # of the lease, by this runner's clock
        self.running = {}  # (task, run) -> dict
        self.ended = []  # [number, task, run, how, saved]
        self.all_ends = []  # also those that are forgotten
        self.last_end = 0
        self.closed = {}  # task -> highest run that was stopped or has ended here
        self.changed = asyncio.Event()
        self.is_draining = False
        self.jobs = None  # set by the script: job id -> steps, to know what a task needs
        self.at_start = lambda runner, task, run: None
        self.at_end = lambda runner, task, run, how: None

    def publish(self):
        self.store.put("servers", self.name, {
            "service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": "a", "version": "1", "slots": 8,
            "state": "draining" if self.is_draining else "ready", "cold_left_ms": 0, "seq": self.clock(), "born": self.born,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0}, "labels": self.labels})

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def need_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job][int(step)]

    def room(self):
        """Free cpu and memory by what runs here, including what is being stopped."""
        cpu = self.cpu - sum(self.need_of(task)["cpu"] for task, _ in self.running)
        mem = self.mem_mb - sum(self.need_of(task)["mem_mb"] for task, _ in self.running)
        return cpu, mem

    def end(self, key, how):
        if key not in self.running:
            return
        del self.running[key]
        task, run = key
        self.last_end += 1
        self.ended.append([self.last_end, task, run, how, ""])
        self.all_ends.append(self.ended[-1])
        self.closed[task] = max(run, self.closed.get(task, 0))
        self.record("%s ends %s run %d: %s" % (self.name, task, run, how))
        self.at_end(self, task, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def run(self):
        """Heartbeats, ends of tasks and of the lease."""
        beat_at = 0
        while True:
            now = time.monotonic()
            if now >= beat_at:
                self.publish()
                beat_at = now + 1.5
            if self.running and self.clock() > self.deadline:
                for key in list(self.running):
                    self.end(key, "lapsed")
            for key, it in list(self.running.items()):
                if it["ends_at"] and now >= it["ends_at"]:
                    self.end(key, it["how"])
            await asyncio.sleep(0.01)

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        call = json.loads(body)
        fence = call.get("fence_token", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence", "born": self.born}
        self.fence = fence
        if path == "/hold":
            return await self._hold(call)
        if path == "/run-start":
            return self._start(call)
        if path == "/run-stop":
            return self._stop(call)
        if path == "/pace":
            return 200, {"clock_ms": self.clock(), "born": self.born}
        return 404, {}

    def _extend(self, call):
        if "deadline_ms" in call:
            self.deadline = max(self.deadline, min(call["deadline_ms"], self.clock() + HOLD_MAX_MS))

    async def _hold(self, call):
        self._extend(call)
        seen = call.get("last_seen", 0)
        self.ended = [it for it in self.ended if it[0] > seen]
        if not self.ended and call.get("wait_ms", 0) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), call["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run, "", it["percent"](), self.need_of(task)["cpu"]] for (task, run), it in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended_runs": self.ended[:500]}

    def _start(self, call):
        task, run = call["task"], call["run"]
        answer = {"clock_ms": self.clock(), "born": self.born}
        if (task, run) in self.running:
            return 200, answer
        if call["deadline_ms"] <= self.clock():
            return 409, dict(answer, reason="late")
        self._extend(call)
        if run <= self.closed.get(task, 0):
            return 409, dict(answer, reason="old")
        what = json.loads(call["spec"])
        now = time.monotonic()
        fails_after_ms = what.get("always_fails_after_ms")
        lasts = self.need_of(task).get("long_running", False)
        work_ms = what.get("work_ms", 1000)
        ends_at, how = (now + work_ms / 1000, "done") if not lasts else (None, "")
        if fails_after_ms is not None:
            ends_at, how = now + fails_after_ms / 1000, "failed"

        def percent():
            return 100 if lasts else min(99, int(100 * (time.monotonic() - now) * 1000 / max(1, work_ms)))

        self.running[(task, run)] = {"ends_at": ends_at, "how": how, "percent": percent}
        self.record("%s starts %s run %d, fence %d" % (self.name, task, run, self.fence))
        self.at_start(self, task, run)
        return 200, answer

    def _stop(self, call):
        task, run = call["task"], call["run"]
        key = (task, run)
        self.closed[task] = max(run, self.closed.get(task, 0))
        if key in self.running:
            self.running[key]["ends_at"], self.running[key]["how"] = time.monotonic() + STOP_MS / 1000, "stopped"
            self.record("%s is told to stop %s run %d" % (self.name, task, run))
        return 200, {"clock_ms": self.clock(), "born": self.born}
