"""Stand-ins for the users' platform, its runners and its clients, and the processes of sardinerun beside them.

The platform's table store and the runners are served from this process, over HTTP/1.1 on loopback. Each node is a
process of its own, started with the command of deploy/system.toml and with the settings template filled in.
Everything that was sent, answered and run is recorded, and is written to record.txt by `Case.finish`.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "lids.example"
PREFIX = "/plans/"
BROKEN, HELD, NOT_RUN = 1, 0, 2

# Figures of the deployments' site files and settings.
HEARTBEAT_S = 1.5
STORE_LATENCY_S = 0.006
HOLD_MAX_MS = 10000
STOP_GRACE_MS = 900
ROW_BYTES = 65536
ENDS_PER_REPORT = 500


class Silence(Exception):
    """The request is left without an answer."""


class Server:
    """An HTTP/1.1 server with kept connections; `handle` returns a status and a JSON body."""

    def __init__(self, handle):
        self.handle = handle
        self.port = 0
        self.connections = set()
        self.server = None

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def crash(self):
        """Stops listening and resets all connections, as the end of a process does."""
        self.server.close()
        for writer in list(self.connections):
            sock = writer.get_extra_info("socket")
            if sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()
        self.connections.clear()

    async def serve(self, reader, writer):
        self.connections.add(writer)
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
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                try:
                    status, answer = await self.handle(method, url.path, query, headers, body)
                except Silence:
                    await asyncio.sleep(3600)
                    return
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d x\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Store:
    """The platform's table store: rows, transactions under conditions, reads and the feed of changes."""

    def __init__(self, case):
        self.case = case
        self.server = Server(self.handle)
        self.rows = {}  # (table, part, key) -> (value in base64, version)
        self.history = {}  # table -> list of (version, part, key, value or None), oldest first
        self.version = 0
        self.changed = asyncio.Event()
        self.is_down = False  # answers 503 to everything, the runners' and the operator's writes included
        self.rejected_writes = 0

    def put(self, table, key, text, part=""):
        self.version += 1
        self.apply(table, part, key, None if text is None else base64.b64encode(text.encode()).decode())
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def apply(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (value, self.version)
        self.history.setdefault(table, []).append((self.version, part, key, value))

    def envelope(self, **more):
        return dict(more, ver=self.version, now_ms=int(time.monotonic() * 1000))

    @staticmethod
    def row(table, part, key, value, version):
        it = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            it["tombstone"] = True
        else:
            it["value"] = value
        return it

    async def handle(self, method, path, query, headers, body):
        if self.is_down:
            return 503, {}
        if path == "/rows-tx":
            return await self.commit(json.loads(body))
        if path == "/rows-get":
            await asyncio.sleep(STORE_LATENCY_S)
            limit = min(500, int(query.get("limit", "500")))
            found = sorted(k for k in self.rows if k[0] == query["table"] and k[1] == query.get("part", "")
                           and k[2] >= query.get("from", "") and ("to" not in query or k[2] < query["to"]))
            rows = [self.row(*k, *self.rows[k]) for k in found[:limit]]
            return 200, self.envelope(rows=rows, has_more=len(found) > limit)
        if path == "/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query.get("wait_ms", "0")) / 1000)
        return 404, {}

    async def feed(self, table, after, wait_s):
        until = time.monotonic() + wait_s
        while True:
            changes = self.history.get(table, [])
            first = bisect.bisect_right(changes, after, key=lambda it: it[0])
            rows = [self.row(table, p, k, v, version) for version, p, k, v in changes[first:]]
            left = until - time.monotonic()
            if rows or left <= 0 or self.is_down:
                await asyncio.sleep(STORE_LATENCY_S)
                return (503, {}) if self.is_down else (200, self.envelope(rows=rows))
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass

    async def commit(self, transaction):
        await asyncio.sleep(STORE_LATENCY_S)
        if self.is_down:
            return 503, {}
        sets, drops = transaction.get("set_keys") or [], transaction.get("remove") or []
        expected = transaction.get("expected_rev") or []
        too_large = [row["key"] for row in sets if decoded_size(row["value"]) > ROW_BYTES]
        if too_large or len(sets) + len(drops) + len(expected) > 100:
            self.rejected_writes += 1
            self.case.note("store-rejects", rows=too_large, entries=len(sets) + len(drops) + len(expected))
            return 400, {}
        keys = [(row["table"], row.get("part", ""), row["key"]) for row in expected]
        if any(self.rows.get(k, (None, 0))[1] != row["ver"] for k, row in zip(keys, expected)):
            return 412, self.envelope(rows=[self.row(*k, *self.rows[k]) for k in keys if k in self.rows])
        self.version += 1
        for row in sets:
            self.apply(row["table"], row.get("part", ""), row["key"], row["value"])
        for row in drops:
            self.apply(row["table"], row.get("part", ""), row["key"], None)
        self.wake()
        return 200, self.envelope()


def decoded_size(text):
    return len(text) // 4 * 3 - text[-2:].count("=")


class Run:
    def __init__(self, number, spec, room, started):
        self.number = number
        self.spec = spec
        self.ms = json.loads(spec)["ms"]
        self.room = room
        self.started = started


class Runner:
    """One runner of the platform. It does not guard its capacity. `spec` is JSON: `ms` and how the task ends."""

    def __init__(self, case, name, cpu, labels=("kind-a", "r-1")):
        self.case = case
        self.name = name
        self.cpu = cpu
        self.labels = list(labels)
        self.server = Server(self.handle)
        self.is_up = False
        self.entry = None

    async def start(self, port=0, registers_after_s=0.0):
        """Begins a new incarnation, which holds and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.clock_from = time.monotonic() - random.uniform(1, 100)
        self.running = {}
        self.ended = []  # [number, task, run, how, saved]
        self.last_number = 0
        self.noted_up_to = 0
        self.highest = {}  # task -> highest run that was stopped or has ended here
        self.fence = 0
        self.lease_until = 0
        self.has_ends = asyncio.Event()
        self.is_up = True
        await self.server.listen(port)
        self.case.note("runner-up", runner=self.name, born=self.born, cpu=self.cpu)
        self.tasks = [self.case.spawn(self.watch_lease()), self.case.spawn(self.register(registers_after_s))]

    async def crash(self):
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        await self.server.crash()
        self.case.note("runner-crash", runner=self.name, running=len(self.running))
        self.running = {}

    async def register(self, after_s):
        await asyncio.sleep(after_s)
        entry = {"service": "lid-orders", "address": "127.0.0.1:%d" % self.server.port, "zone": "kiln-shed",
                 "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": self.born,
                 "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0}, "labels": self.labels}
        while self.case.store.is_down:
            await asyncio.sleep(0.1)
        self.case.store.put("servers", self.name, json.dumps(entry))
        self.case.note("runner-registered", runner=self.name, cpu=self.cpu)

    def clock(self):
        return int((time.monotonic() - self.clock_from) * 1000)

    def load(self):
        return sum(run.room for run in self.running.values())

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_number += 1
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.ended.append([self.last_number, task, run.number, how, ""])
        self.case.note("end", runner=self.name, task=task, run=run.number, how=how, number=self.last_number)
        self.has_ends.set()

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.lease_until:
                for task in list(self.running):
                    self.end(task, "lapsed")

    async def work(self, task, run):
        spec = json.loads(run.spec)
        await asyncio.sleep(spec["ms"] / 1000)
        if self.is_up and self.running.get(task) is run:
            self.end(task, spec.get("how", "done"))

    async def stopping(self, task, run):
        await asyncio.sleep(0.05)
        if self.is_up and self.running.get(task) is run:
            self.end(task, "stopped")

    def extend(self, order):
        if "deadline_ms" in order:
            self.lease_until = max(self.lease_until, min(order["deadline_ms"], self.clock() + HOLD_MAX_MS))

    def reject(self, reason):
        return 409, {"clock_ms": self.clock(), "born": self.born, "reason": reason}

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock(), "born": self.born}
        order = json.loads(body)
        handlers = {"/run-start": self.run_start, "/run-stop": self.run_stop, "/hold": self.hold, "/pace": self.pace}
        if path not in handlers:
            return 404, {}
        if order.get("fence_token", 0) < self.fence:
            return self.reject("fence")
        self.fence = order.get("fence_token", 0)
        return await handlers[path](order)

    def accepted(self):
        return 200, {"clock_ms": self.clock(), "born": self.born}

    async def run_start(self, order):
        task, number = order["task"], order["run"]
        if task in self.running and self.running[task].number == number:
            return self.accepted()
        if task in self.running or number <= self.highest.get(task, 0):
            self.extend(order)
            return self.reject("old")
        if order["deadline_ms"] < self.clock():
            return self.reject("late")
        self.extend(order)
        room = self.case.room_of(task)
        run = Run(number, order["spec"], room, time.monotonic())
        self.running[task] = run
        self.case.note("start", runner=self.name, task=task, run=number, fence=self.fence, cpu_in_use=self.load(),
                       cpu=self.cpu)
        self.case.spawn(self.work(task, run))
        return self.accepted()

    async def run_stop(self, order):
        task, number = order["task"], order["run"]
        run = self.running.get(task)
        if run and run.number == number:
            self.case.note("stop", runner=self.name, task=task, run=number)
            self.case.spawn(self.stopping(task, run))
            return self.accepted()
        is_known = number <= self.highest.get(task, 0)
        self.highest[task] = max(self.highest.get(task, 0), number)
        return self.reject("old") if is_known else self.accepted()

    async def pace(self, order):
        return self.accepted()

    async def hold(self, order):
        self.extend(order)
        seen = order.get("last_seen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.case.note("noted", runner=self.name, task=end[1], run=end[2], how=end[3], number=end[0])
        self.ended = [end for end in self.ended if end[0] > seen]
        self.noted_up_to = max(self.noted_up_to, seen)
        wait_s = order.get("wait_ms", 0) / 1000
        if wait_s > 0 and not self.ended:
            self.has_ends.clear()
            try:
                await asyncio.wait_for(self.has_ends.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        if not self.is_up:
            raise Silence()
        now = time.monotonic()
        running = []
        for task, run in self.running.items():
            percent = min(99, int((now - run.started) * 100000 / run.ms))
            running.append([task, run.number, "", percent, run.room])
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                     "ended_runs": self.ended[:ENDS_PER_REPORT]}


class Node:
    """One process of the system."""

    def __init__(self, case, number):
        self.case = case
        self.name = "front-kiln-shed-%d" % number
        self.ports = [free_port() for _ in range(3)]
        self.process = None

    async def start(self):
        values = {"node_name": self.name, "zone": "kiln-shed", "listen.front": "127.0.0.1:%d" % self.ports[0],
                  "listen.ready": "127.0.0.1:%d" % self.ports[1], "ip": "127.0.0.1",
                  "internal_ports.0": str(self.ports[2]), "platform.address": "127.0.0.1:%d" % self.case.store.server.port,
                  "advice": "", "limits.cpu_share": "0.25", "bounds.grace_s": "6",
                  "bounds.hold_max_ms": str(HOLD_MAX_MS), "bounds.stop_grace_ms": str(STOP_GRACE_MS),
                  "bounds.restore_ms": "600", "bounds.gang_timeout_ms": "3000", "bounds.status_s": "120"}
        with open(os.path.join(ROOT, "deploy", "node.yaml.template"), encoding="utf-8") as template:
            text = re.sub(r"{{([a-z_.0-9]+)}}", lambda it: values[it.group(1)], template.read())
        path = os.path.join(self.case.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as deploy:
            command = re.search(r'^run = "([^"]+)"', deploy.read(), re.M).group(1).split()
        log = open(os.path.join(self.case.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["SARDINERUN_SETTINGS"] = path
        self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                                                            stdin=asyncio.subprocess.DEVNULL)
        self.case.note("node-start", node=self.name, pid=self.process.pid)

    async def supervise(self, memory_mb, restart_after_s):
        """Kills the process if it exceeds its memory, and starts it again when it has ended, as the platform does."""
        limit_kb, peak_kb = memory_mb * 1024, 0
        while True:
            kb = resident_kb(self.process.pid) if self.is_running() else 0
            peak_kb = max(peak_kb, kb)
            if kb > limit_kb:
                self.process.kill()
                await self.process.wait()
            if not self.is_running():
                self.case.note("node-ended", node=self.name, peak_mb=peak_kb // 1024,
                               why="over its memory" if peak_kb > limit_kb else "exit %s" % self.process.returncode)
                await asyncio.sleep(restart_after_s)
                await self.start()
                peak_kb = 0
            await asyncio.sleep(0.005)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self, number=signal.SIGKILL):
        self.case.note("node-signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            await self.process.wait()

    async def restart(self, after_s):
        """Starts the killed process again, as the platform does."""
        await asyncio.sleep(after_s)
        await self.start()

    async def is_ready(self):
        answer = await request(self.ports[1], "GET", "/readiness", timeout_s=1)
        return answer is not None and answer[0] == 200


def resident_kb(pid):
    try:
        with open("/proc/%d/status" % pid, encoding="ascii") as status:
            return int(re.search(r"VmRSS:\s*(\d+)", status.read()).group(1))
    except (OSError, AttributeError):
        return 0


def free_port():
    """Returns a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(20000, 30000)
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


async def request(port, method, path, body=None, timeout_s=3.0):
    """Sends one request on a connection of its own. Returns the status and the body, or nothing without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: %d\r\n"
                          "Content-Length: %d\r\nConnection: close\r\n\r\n"
                          % (method, path, HOST, timeout_s * 1000, len(data))).encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = re.search(r"content-length: *(\d+)", head, re.I)
            text = await reader.readexactly(int(length.group(1)) if length else 0)
            return int(head.split(" ", 2)[1]), json.loads(text) if text else {}
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


def new_id():
    return "%016x" % random.getrandbits(64)


class Case:
    """A deployment in this process, its nodes, and the record of what happened."""

    def __init__(self, folder):
        self.case_folder = folder
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="sardinerun-review-")
        self.began = time.monotonic()
        self.events = []
        self.rooms = {}  # job -> room of a task of each step
        self.background = set()
        self.store = Store(self)
        self.runners = []
        self.nodes = []

    def note(self, kind, **more):
        self.events.append(dict(more, at=round(time.monotonic() - self.began, 4), kind=kind))

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    def room_of(self, task):
        job, _, step, _ = task.split(".")
        return self.rooms.get(job, [0])[int(step)] if job in self.rooms else 0

    def configure(self, version, **more):
        route = {"name": "plans", "host": HOST, "path_prefix": PREFIX, "service": "lid-orders", "priority": 1,
                 "max_attempts": 4, "stretch": 6.0, "target_latency_ms": 30000}
        route.update(more)
        config = {"version": version, "routes": [route], "limits": {},
                  "services": [{"name": "lid-orders", "enforces_capacity": False}]}
        self.store.put("op", "config", json.dumps(config))
        self.note("config", version=version, route=route)

    async def begin(self, nodes, runners):
        """`runners` are (name, cpu) pairs."""
        await self.store.server.listen()
        self.configure(1)
        for name, cpu in runners:
            self.runners.append(Runner(self, name, cpu))
            await self.runners[-1].start()
        for number in range(nodes):
            self.nodes.append(Node(self, number + 1))
            await self.nodes[-1].start()
        if not await self.wait_until(self.are_ready, 15):
            raise RuntimeError("the nodes are not ready")
        if not await self.wait_until(lambda: self.answers(), 15):
            raise RuntimeError("no leader answers")

    async def are_ready(self):
        return all([await it.is_ready() for it in self.nodes])

    async def answers(self):
        answer = await request(self.nodes[0].ports[0], "GET", PREFIX)
        return answer is not None and answer[0] == 200

    async def wait_until(self, condition, timeout_s):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await condition():
                return True
            await asyncio.sleep(0.05)
        return False

    def leader(self):
        """Returns the node that the store's leader row names. Used only to choose the process to disturb."""
        row = self.store.rows.get(("leader", "", "leader"))
        name = json.loads(base64.b64decode(row[0]))["node"] if row else ""
        return next((it for it in self.nodes if it.name == name), None)

    def live_nodes(self):
        return [it for it in self.nodes if it.is_running()]

    async def submit(self, steps, spec, attempts=5, job=None):
        """Hands a job in as the platform's clients do. Returns its id and the last status."""
        job = job or new_id()
        self.rooms[job] = [it["cpu"] for it in steps]
        status = None
        for attempt in range(attempts):
            node = random.choice(self.live_nodes())
            answer = await request(node.ports[0], "POST", PREFIX + job, {"spec": spec, "steps": steps})
            status = answer[0] if answer else None
            self.note("post", job=job, node=node.name, status=status)
            if status == 200:
                break
            await asyncio.sleep(0.4)
        return job, status

    async def ask(self, job, method="GET", node=None):
        node = node or random.choice(self.live_nodes())
        answer = await request(node.ports[0], method, PREFIX + job)
        self.note(method.lower(), job=job, node=node.name, status=answer[0] if answer else None,
                  state=answer[1].get("state", "") if answer else "")
        return answer

    def of(self, *kinds):
        return [it for it in self.events if it["kind"] in kinds]

    async def finish(self, verdict):
        """Ends all processes, writes the record, and returns the exit code. `verdict` is lines of text."""
        for task in list(self.background):
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        for node in self.nodes:
            if node.is_running():
                node.process.kill()
                await node.process.wait()
        with open(os.path.join(self.case_folder, "record.txt"), "w", encoding="utf-8") as out:
            out.write("trouble: %s\n" % ("yes" if self.has_trouble else "no"))
            for line in verdict:
                out.write(line + "\n")
                print(line)
            out.write("\n")
            for it in self.events:
                rest = " ".join("%s=%s" % (k, json.dumps(v)) for k, v in it.items() if k not in ("at", "kind"))
                out.write("%9.4f %s %s\n" % (it["at"], it["kind"], rest))
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)


def main(folder, play):
    """Runs `play(case)`, which returns (was the rule broken, lines); exits as a case does."""
    async def run():
        case = Case(folder)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        code, lines = NOT_RUN, ["the case could not run"]
        try:
            is_broken, lines = await asyncio.wait_for(play(case), 110)
            code = BROKEN if is_broken else HELD
        except (Exception, asyncio.CancelledError) as error:  # the case could not run, whatever the reason
            lines = ["the case could not run: %r" % error]
        finally:
            await case.finish(lines)
        return code
    sys.exit(asyncio.run(run()))
