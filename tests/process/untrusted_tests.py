"""Tests of a node under callers that use as much of its memory and descriptors as they can.

Each test checks that the process lives, that its peak memory and its open descriptors stay under a bound, and that an ordinary
job is accepted and completes while the crowd is connected and afterwards. It checks no times and no share of served requests.
"""

import base64
import json
import os
import selectors
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest

from cell import BUILD, Cell
from dispatch_tests import HOST, PREFIX, Deployment, new_id, step

CROWD = 150  # connections
# A VM of 120 MB has to withstand 400 callers: 45 MB for 150 callers, and 19 MB for the process itself.
MAX_PEAK_MB = 64
MAX_DESCRIPTORS = 160  # where connections are limited; a larger number elsewhere, so that bytes are
BODY = 1 << 20  # default of maxBodyBytes
MISSING = 8  # bytes by which a body stops short of its end
RECONNECTS = 2  # for each connection that the node closes


def accepts(settings):
    """Returns whether the program under test knows these settings, so that the same tests run against older versions."""
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as out:
        out.write("node: n\nfailureDomain: a\ncallers: 127.0.0.1:1\nreadiness: 127.0.0.1:2\ninner: 127.0.0.1:3\n"
                  "store: 127.0.0.1:4\n" + settings)
        out.flush()
        program = os.path.join(BUILD, "src", "app", "sardinerun")
        return subprocess.run([program, "check-config", out.name], capture_output=True).returncode == 0


def head(method="POST", fields="", target=None):
    return ("%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n" % (method, target or PREFIX + new_id(), HOST["Host"], fields)).encode()


def announced(size=BODY, sent=None):
    return lambda: [head(fields="Content-Length: %d\r\n" % size), b"x" * (size - MISSING if sent is None else sent)]


def in_pieces(pieces, size):
    def parts():
        for it in pieces():
            for at in range(0, len(it), size):
                yield it[at:at + size]
    return parts


def chunked(chunk, total=BODY - MISSING):
    def parts():
        yield head(fields="Transfer-Encoding: chunked\r\n")
        one = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
        batch = max(1, 16384 // len(one))
        for _ in range(total // chunk // batch):
            yield one * batch
    return parts


def endless_header():
    yield ("POST %s HTTP/1.1\r\nHost: %s\r\n" % (PREFIX + new_id(), HOST["Host"])).encode()
    for _ in range(96):
        yield b"X-%s: " % new_id().encode() + b"y" * 8192  # one field that grows; at most 99 are allowed


def pipelined(count=4000, body=b""):
    fields = "Content-Length: %d\r\n" % len(body)
    return lambda: [(head(fields=fields) + body) * 50 for _ in range(count // 50)]


class Crowd:
    """Connections on one thread that send their parts as fast as the node takes them, and then stay open."""

    def __init__(self, ports, kinds, count=CROWD, reads=True, reconnects=RECONNECTS):
        self.ports, self.kinds, self.count, self.reads, self.reconnects = ports, kinds, count, reads, reconnects
        self.selector = selectors.DefaultSelector()
        self.is_stopping = False
        self.moved_at = time.time()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def connect(self, n, left):
        sock = socket.socket()
        if not self.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", self.ports[n % len(self.ports)]))
        state = {"n": n, "left": left, "parts": iter(self.kinds[n % len(self.kinds)]()), "buffer": b""}
        self.selector.register(sock, selectors.EVENT_WRITE | (selectors.EVENT_READ if self.reads else 0), state)

    def close_one(self, sock, state):
        self.selector.unregister(sock)
        sock.close()
        if state["left"] > 0:
            self.connect(state["n"], state["left"] - 1)

    def write(self, sock, state):
        if not state["buffer"]:
            state["buffer"] = next(state["parts"], b"")
        if not state["buffer"]:
            if self.reads:
                self.selector.modify(sock, selectors.EVENT_READ, state)
            else:
                self.selector.unregister(sock)  # stays open: the list keeps it
                self.kept.append(sock)
            return
        sent = sock.send(state["buffer"])
        state["buffer"] = state["buffer"][sent:]
        self.moved_at = time.time()

    def run(self):
        self.kept = []
        for n in range(self.count):
            self.connect(n, self.reconnects)
        while not self.is_stopping:
            for key, events in self.selector.select(0.05):
                try:
                    if events & selectors.EVENT_READ and not key.fileobj.recv(65536):
                        self.close_one(key.fileobj, key.data)
                    elif events & selectors.EVENT_WRITE:
                        self.write(key.fileobj, key.data)
                except BlockingIOError:
                    pass
                except OSError:
                    self.close_one(key.fileobj, key.data)
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        for it in self.kept:
            it.close()

    def wait_until_still(self, timeout=8):
        until = time.time() + timeout
        while time.time() < until and time.time() - self.moved_at < 0.7:
            time.sleep(0.05)

    def close(self):
        self.is_stopping = True
        self.thread.join()


class EndlessServer:
    """Answers each request with a beginning and then repeats a part for as long as the connection lasts."""

    def __init__(self, beginning, part):
        self.beginning, self.part = beginning, part
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        self.is_stopping = False
        self.threads = [threading.Thread(target=self.accept, daemon=True)]
        self.threads[0].start()

    def accept(self):
        while not self.is_stopping:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.answer, args=(sock,), daemon=True).start()

    def answer(self, sock):
        try:
            if sock.recv(65536):
                sock.sendall(self.beginning)
                for _ in range(4096):  # a bound for the test itself: 256 MiB for each connection
                    if self.is_stopping:
                        break
                    sock.sendall(self.part)
        except OSError:
            pass
        sock.close()

    def close(self):
        self.is_stopping = True
        self.listener.close()


def peak_mb(process):
    with open("/proc/%d/status" % process.process.pid) as text:
        return next(int(it.split()[1]) for it in text if it.startswith("VmHWM:")) / 1024


def descriptors(process):
    return len(os.listdir("/proc/%d/fd" % process.process.pid))


class Bounds(unittest.TestCase):
    def settings(self, max_descriptors):
        limits = "memoryMb: %d\nmaxDescriptors: %d\n" % (MAX_PEAK_MB, max_descriptors)
        return limits if accepts(limits) else ""

    def check_bounds(self, process, max_descriptors):
        self.assertIsNone(process.process.poll(), "the node has ended")
        self.measured = (round(peak_mb(process), 1), descriptors(process))
        print("  peak %.1f MB, %d descriptors" % self.measured, flush=True)
        self.assertLess(self.measured[0], MAX_PEAK_MB)
        self.assertLessEqual(self.measured[1], max_descriptors)


class Untrusted(Bounds):
    def check_job(self, cell):
        cell.wait_state(0, cell.submit_until_accepted(0, step(1), work_ms=20))

    def withstand(self, *kinds, max_descriptors=1024, listeners=(0,), **more):
        with Deployment(nodes=1, workers=2, settings=self.settings(max_descriptors)) as cell:
            self.check_job(cell)
            crowd = Crowd([cell.node_ports[0][it] for it in listeners], kinds, **more)
            try:
                crowd.wait_until_still()
                self.check_job(cell)
                cell.wait_until(lambda: cell.is_ready(0), "ready under the crowd")
                self.check_bounds(cell.nodes[0], max_descriptors)
            finally:
                crowd.close()
            self.check_job(cell)
            self.check_bounds(cell.nodes[0], max_descriptors)

    def test_bodies_in_one_piece_that_stop_short_of_their_end(self):
        self.withstand(announced())

    def test_bodies_in_pieces_that_stop_short_of_their_end(self):
        self.withstand(in_pieces(announced(), 4096))

    def test_chunked_bodies_in_large_chunks(self):
        self.withstand(chunked(65536))

    def test_chunked_bodies_in_very_small_chunks(self):
        self.withstand(chunked(3, total=BODY // 2))

    def test_bodies_over_the_limit_that_are_announced(self):
        self.withstand(announced(64 << 20, sent=2 << 20))

    def test_bodies_over_the_limit_that_are_sent_in_chunks(self):
        self.withstand(chunked(65536, total=4 << 20))

    def test_headers_that_never_end(self):
        self.withstand(endless_header)

    def test_connections_without_a_request(self):
        self.withstand(lambda: [], max_descriptors=MAX_DESCRIPTORS)

    def test_answers_that_are_not_read(self):
        self.withstand(lambda: [head("GET", target="/metrics")] * 400, listeners=(2,), reads=False)

    def test_a_crowd_on_the_readiness_and_inner_addresses(self):
        self.withstand(announced(), listeners=(1, 2))

    def test_connections_on_the_readiness_and_inner_addresses(self):
        self.withstand(lambda: [head("GET", target="/readiness")], max_descriptors=MAX_DESCRIPTORS, listeners=(1, 2))

    def test_pipelined_requests(self):
        self.withstand(pipelined())

    def test_pipelined_requests_with_bodies_whose_answers_are_not_read(self):
        self.withstand(pipelined(200, b"x" * 4096), reads=False)

    def test_a_mix(self):
        self.withstand(announced(), in_pieces(announced(), 4096), chunked(65536), chunked(3, total=BODY // 4), endless_header, lambda: [],
                       pipelined(1000), listeners=(0, 1, 2))

    def test_readiness_while_requests_in_service_take_all_connections(self):
        """Guards against a node that counts as not ready because callers wait for a leader that does not answer."""
        with Deployment(nodes=3, workers=2, settings=self.settings(200)) as cell:  # 200 / 4 connections
            self.check_job(cell)
            leader = cell.leader()
            other = (leader + 1) % 3
            cell.nodes[leader].send(signal.SIGSTOP)
            until = time.time() + 2
            probes = []

            def submit():
                while time.time() < until:
                    cell.submit(other, step(1))

            callers = [threading.Thread(target=submit, daemon=True) for _ in range(70)]
            for it in callers:
                it.start()
            while time.time() < until:
                probes.append(cell.is_ready(other))
            cell.nodes[leader].send(signal.SIGCONT)
            for it in callers:
                it.join()
            self.assertEqual(probes.count(False), 0, "of %d probes" % len(probes))
            self.check_bounds(cell.nodes[other], 200)

    def check_endless_answers_of_workers(self, beginning, part):
        server = EndlessServer(beginning, part)
        try:
            with Deployment(nodes=1, workers=2, settings=self.settings(1024)) as cell:
                self.check_job(cell)
                for n in range(40):
                    entry = {"service": "lid-orders", "address": "127.0.0.1:%d" % server.port, "zone": "a", "state": "ready",
                             "born": 1, "capacity": {"cpu": 8000, "mem_mb": 16384, "gpu": 0}, "labels": ["k-plain", "r-%d" % n]}
                    value = base64.b64encode(json.dumps(entry).encode()).decode()
                    cell.control("row", {"table": "servers", "key": "endless-%d" % n, "value": value})
                time.sleep(3)
                self.check_job(cell)
                self.check_bounds(cell.nodes[0], 1024)
        finally:
            server.close()

    def test_endless_bodies_of_workers(self):
        self.check_endless_answers_of_workers(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                              b"10000\r\n" + b"x" * 65536 + b"\r\n")

    def test_endless_headers_of_workers(self):
        self.check_endless_answers_of_workers(b"HTTP/1.1 200 OK\r\nX-Long: ", b"x" * 65536)

    def test_endless_headers_of_the_store(self):
        server = EndlessServer(b"HTTP/1.1 200 OK\r\nX-Long: ", b"x" * 65536)
        try:
            with Deployment(nodes=1, workers=2, settings=self.settings(1024)) as cell:
                store, cell.store = cell.store, server.port
                cell.node_ports.append(cell.ports.reserve(3))
                cell.nodes.append(None)
                cell.start_node(1)
                cell.store = store
                time.sleep(3)
                self.check_job(cell)
                self.check_bounds(cell.nodes[1], 1024)
        finally:
            server.close()


class UntrustedServe(Bounds):
    """The same limits for `sardinerun serve`, whose listeners run on two loops."""

    def check_job(self, cell):
        answers = []
        cell.wait_until(lambda: answers.append(cell.submit(0)) or answers[-1][0] in (200, 201, 202), "accepted")
        self.assertEqual(cell.wait_job(0, answers[-1][1]["id"])["state"], "succeeded")

    def withstand(self, ports, *kinds):
        with Cell(nodes=1, workers=2, runners=1, settings=self.settings(1024)) as cell:
            self.check_job(cell)
            crowd = Crowd([getattr(cell, it)[0] for it in ports], kinds)
            try:
                crowd.wait_until_still()
                self.check_job(cell)
                self.check_bounds(cell.nodes[0], 1024)
            finally:
                crowd.close()
            self.check_job(cell)
            self.check_bounds(cell.nodes[0], 1024)

    def test_a_crowd_at_the_listener_for_callers(self):
        self.withstand(["callers"], announced(), in_pieces(announced(), 4096), chunked(65536), endless_header)

    def test_a_crowd_at_the_listener_for_nodes(self):
        self.withstand(["inner"], announced(), in_pieces(announced(), 4096), chunked(65536), endless_header)


if __name__ == "__main__":
    unittest.main(verbosity=2)
