"""Nodes as the deploy file starts them, the stand-ins of `deployment.py`, and clients, for one script of the review."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from deployment import Runner, Store, serve

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "lids.example"
BROKEN, HELD, NOT_RUN = 1, 0, 2

taken_ports = set()


def free_ports(count):
    """Returns free ports below the range of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken_ports:
            taken_ports.add(port)
            ports.append(port)
    return ports


def run_command():
    """The command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        return re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split()


def settings_of(fields):
    """Fills in the template of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "node.yaml.template")) as file:
        return re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda it: str(fields[it.group(1)]), file.read())


class Cell:
    def __init__(self, folder, nodes=3, runners=8, cpu=8000, mem_mb=32768):
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.jobs = {}  # id -> steps, as sent
        self.processes = {}
        self.store_port, self.advice_port = free_ports(2)
        self.node_ports = {}
        self.servers = []
        self.tasks = []
        self.runners = {}
        self.node_count, self.runner_count, self.cpu, self.mem_mb = nodes, runners, cpu, mem_mb

    def record(self, text):
        self.record_file.write("%8.3f  %s\n" % (time.monotonic() - self.started, text))
        self.record_file.flush()

    async def start(self, config):
        self.servers.append(await serve(self.store.handle, self.store_port))
        self.configure(config)
        ports = free_ports(self.runner_count)
        for n in range(self.runner_count):
            await self.add_runner("w%d" % n, ports[n], ["k-b" if n >= self.runner_count - 2 else "k-a", "r-%d" % (n // 4)])
        for n in range(self.node_count):
            self.node_ports[n] = free_ports(3)
            self.start_node(n)
        await self.until(self.are_all_ready, 20, "the nodes are ready")

    def configure(self, config):
        self.record("operator writes configuration %d" % config["version"])
        self.store.put("op", "config", config)

    async def add_runner(self, name, port, labels):
        it = Runner(name, port, "lid-orders", self.cpu, self.mem_mb, labels, self.store, self.record)
        it.jobs = self.jobs
        self.runners[name] = it
        it.server = await serve(it.handle, port)
        self.servers.append(it.server)
        it.task = asyncio.create_task(it.run())
        self.tasks.append(it.task)

    def start_node(self, n):
        front, ready, inner = self.node_ports[n]
        path = os.path.join(self.folder, "node-%d.yaml" % n)
        with open(path, "w") as out:
            out.write(settings_of({
                "node_name": "front-%d" % n, "zone": "a", "listen.front": "127.0.0.1:%d" % front,
                "listen.ready": "127.0.0.1:%d" % ready, "ip": "127.0.0.1", "internal_ports.0": inner,
                "platform.address": "127.0.0.1:%d" % self.store_port, "advice": "127.0.0.1:%d" % self.advice_port,
                "limits.cpu_share": 0.25, "bounds.grace_s": 6, "bounds.hold_max_ms": 10000, "bounds.stop_grace_ms": 900,
                "bounds.restore_ms": 600, "bounds.gang_timeout_ms": 3000, "bounds.status_s": 120}))
        log = open(os.path.join(self.folder, "node-%d.log" % n), "ab")
        self.processes[n] = subprocess.Popen(run_command(), cwd=ROOT, stdout=log, stderr=log,
                                             env=dict(os.environ, SARDINERUN_SETTINGS=path))
        log.close()
        self.record("node %d starts" % n)

    def signal_node(self, n, number):
        self.record("node %d gets signal %d" % (n, number))
        self.processes[n].send_signal(number)

    async def are_all_ready(self):
        for n in list(self.processes):
            if self.processes[n].poll() is not None:  # another program has taken a port
                self.node_ports[n] = free_ports(3)
                self.start_node(n)
            if (await self.request(self.node_ports[n][1], "GET", "/readiness", timeout=1))[0] != 200:
                return False
        return await self.leader() is not None

    async def leader(self):
        for n, it in self.processes.items():
            if it.poll() is None:
                _, text = await self.request(self.node_ports[n][2], "GET", "/metrics", timeout=1)
                if isinstance(text, str) and "\nsardinerun_leading 1" in text:
                    return n
        return None

    async def request(self, port, method, path, body=None, timeout=4, headers=None):
        """Returns (status, body), or (None, error) without a whole answer."""
        try:
            return await asyncio.wait_for(self._exchange(port, method, path, body, headers or {}), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            return None, type(error).__name__

    async def _exchange(self, port, method, path, body, headers):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            sent = "".join("%s: %s\r\n" % it for it in headers.items())
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                          % (method, path, HOST, sent, len(text))).encode() + text)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = int(re.search(r"content-length: *(\d+)", head, re.I).group(1))
            answer = (await reader.readexactly(length)).decode()
            try:
                return int(head.split(" ")[1]), json.loads(answer) if answer else {}
            except ValueError:
                return int(head.split(" ")[1]), answer
        finally:
            writer.close()

    async def call(self, node, method, prefix, job, body=None, quiet=False):
        status, answer = await self.request(self.node_ports[node][0], method, prefix + job, body, headers={"X-Deadline-Ms": "3000"})
        if not quiet:
            self.record("client: %s %s%s at node %d -> %s %s" % (method, prefix, job, node, status, json.dumps(answer)))
        return status, answer

    async def submit(self, prefix, job, steps, spec, attempts=12, **more):
        """Hands a job in as a client does: again, at the next node, after no answer, 502, 503, 504 or 429."""
        self.jobs[job] = steps
        body = dict({"spec": json.dumps(spec), "steps": steps}, **more)
        status = None
        for n in range(attempts):
            status, _ = await self.call(n % self.node_count, "POST", prefix, job, body)
            if status == 200:
                return status
            await asyncio.sleep(0.4)
        return status

    def where(self, task):
        """The runners on which a task runs."""
        return [it.name for it in self.runners.values() if any(name == task for name, _ in it.running)]

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError("not in time: " + what)

    async def close(self):
        for it in self.processes.values():
            if it.poll() is None:
                it.send_signal(signal.SIGCONT)
                it.kill()
            it.wait()
        for it in self.tasks:
            it.cancel()
        for it in self.servers:
            it.close()
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(script, folder):
    """Runs `script(cell)`, which returns what was broken (texts), and exits as the issue asks for."""

    async def run():
        cell = Cell(folder)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            broken = await script(cell)
        except (Exception, asyncio.CancelledError) as error:  # the case couldn't run
            cell.record("could not run: %r" % error)
            return NOT_RUN
        finally:
            await cell.close()
        return BROKEN if broken else HELD

    return asyncio.run(run())
