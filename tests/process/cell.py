"""Starts nodes and stand-ins as separate processes on loopback, for process tests.

Stops only the processes that it started, each by its own process id.
"""

import http.client
import json
import os
import random
import signal
import socket
import ssl
import subprocess
import sys
import tempfile
import time

from relay import Relay

SOURCE = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.path.join(SOURCE, os.environ.get("SARDINERUN_BUILD", "build"))
OPERATOR = "operators-token"
SUBMITTER = "mixing-room-token"
CALLER = "dealers-token"


class Ports:
    """Reserves consecutive ports below the range of outgoing connections, so that no other test uses them until close.

    A UDP socket on the same number marks a port as reserved; the programs under test use TCP.
    """

    def __init__(self):
        self.markers = []

    def reserve(self, count):
        first = 12000 + random.randrange(0, 18000)
        while True:
            markers = []
            try:
                for port in range(first, first + count):
                    markers.append(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
                    markers[-1].bind(("127.0.0.1", port))
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind(("127.0.0.1", port))
                self.markers += markers
                return list(range(first, first + count))
            except OSError:
                for it in markers:
                    it.close()
                first = 12000 + (first - 12000 + count + 1) % 18000

    def close(self):
        for it in self.markers:
            it.close()


def call(port, method, target, body=None, token=None, headers=None, timeout=15, tls=None):
    """Sends one request. Returns (status, parsed body, headers), or (None, error, {}) without a complete answer."""
    if tls:
        connection = http.client.HTTPSConnection("127.0.0.1", port, timeout=timeout, context=tls)
    else:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    sent = dict(headers or {})
    if token:
        sent["Authorization"] = "Bearer " + token
    if isinstance(body, (dict, list)):
        body = json.dumps(body)
    try:
        connection.request(method, target, body=body, headers=sent)
        response = connection.getresponse()
        text = response.read().decode()
        try:
            parsed = json.loads(text) if text else {}
        except ValueError:
            parsed = text
        return response.status, parsed, dict(response.getheaders())
    except (OSError, http.client.HTTPException) as error:
        return None, str(error), {}
    finally:
        connection.close()


class Process:
    """A child process with a log file."""

    def __init__(self, arguments, log):
        self.log = open(log, "ab")
        self.process = subprocess.Popen(arguments, stdout=self.log, stderr=self.log)

    def send(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def stop(self, timeout=60):
        if self.process.poll() is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGTERM)
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Cell:
    """Nodes with stand-ins of the platform, workers and runners, all on loopback."""

    def __init__(self, nodes=3, workers=6, runners=3, cpu=8000, memory=32768, slots=4, work_ms=20, lease_ms=3000,
                 partitions=8, settings="", configuration="examples/tolliver/cell.yaml", service="lid-orders", relays=False,
                 has_tls=False):
        self.folder = tempfile.mkdtemp(prefix="sardinerun-test-")
        self.tls = self._make_certificate() if has_tls else None
        self.settings = settings
        self.partitions = partitions
        self.lease_ms = lease_ms
        self.nodes = {}
        self.callers = {}
        self.inner = {}
        self.processes = []
        self.relays = {}  # by node; each forwards that node's connections to the platform
        self.ports = Ports()
        self.platform_port = self.ports.reserve(1)[0]
        self.platform = self._standin("platform", "--port", self.platform_port)
        self.worker_ports = self.ports.reserve(workers)
        self.runner_ports = self.ports.reserve(runners)
        self.workers = self._standin("workers", "--platform", self._platform(), "--count", workers, "--port",
                                     self.worker_ports[0], "--cpu", cpu, "--memory", memory, "--lease-ms", lease_ms) if workers else None
        self.runners = self._standin("runners", "--platform", self._platform(), "--count", runners, "--port",
                                     self.runner_ports[0], "--slots", slots, "--work-ms", work_ms, "--service", service) if runners else None
        for n in range(nodes if relays else 0):
            self.relays[n] = Relay(self.ports.reserve(1)[0], self.platform_port)
        for n in range(nodes):
            self.callers[n], self.inner[n] = self.ports.reserve(2)
            self.start_node(n)
        if configuration:
            self.wait_until(lambda: self.configure(os.path.join(SOURCE, configuration), "ordinary") == 200, "configuration accepted")
            self.wait_until(self.is_ready, "ready")

    def _make_certificate(self):
        """Writes a key and a self-signed certificate for the nodes. Returns the context in which callers connect."""
        subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-subj", "/CN=localhost", "-days", "2",
                        "-keyout", os.path.join(self.folder, "key.pem"), "-out", os.path.join(self.folder, "certificate.pem")],
                       check=True, capture_output=True)
        context = ssl.create_default_context()
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        return context

    def _platform(self, node=None):
        port = self.relays[node].port if node in self.relays else self.platform_port
        return "127.0.0.1:%d" % port

    def _standin(self, *arguments):
        return self._start("sardinerun-standins", os.path.join(BUILD, "standins", "sardinerun-standins"), *arguments)

    def _start(self, name, *arguments):
        log = os.path.join(self.folder, "%s-%d.log" % (name, len(self.processes)))
        process = Process([str(it) for it in arguments], log)
        self.processes.append(process)
        return process

    def start_node(self, n):
        path = os.path.join(self.folder, "node-%d.yaml" % n)
        tls = ", certificate: %s/certificate.pem, key: %s/key.pem" % (self.folder, self.folder) if self.tls else ""
        with open(path, "w") as out:
            out.write("node: n%d\nfailureDomain: d%d\ncallers: { address: 127.0.0.1:%d%s }\ninner: 127.0.0.1:%d\n"
                      "platform: %s\ninnerSecret: 0123456789abcdef\nadministerFromLoopback: true\npartitions: %d\n"
                      "workers: { leaseMs: %d, patienceMs: 1500 }\n%s\n" % (
                          n, n % 3, self.callers[n], tls, self.inner[n], self._platform(n), self.partitions, self.lease_ms, self.settings))
        self.nodes[n] = self._start("node-%d" % n, os.path.join(BUILD, "src", "app", "sardinerun"), "serve", "--config", path)

    def add_workers(self, count):
        """Starts further workers, which register themselves."""
        ports = self.ports.reserve(count)
        self.worker_ports += ports
        self._standin("workers", "--platform", self._platform(), "--count", count, "--port", ports[0], "--cpu", 8000,
                      "--memory", 32768, "--lease-ms", self.lease_ms, "--prefix", "added")

    # --- Requests to nodes

    def call(self, node, *arguments, **named):
        return call(self.callers[node], *arguments, tls=self.tls, **named)

    def configure(self, path, preset, node=0, expected=None):
        with open(path) as document:
            query = "?preset=" + preset + ("" if expected is None else "&expected=%d" % expected)
            return self.call(node, "PUT", "/v1/config" + query, document.read())[0]

    def in_force(self, node):
        return self.call(node, "GET", "/v1/preset")[1]

    def is_ready(self):
        live = [n for n in self.nodes if self.nodes[n].process.poll() is None]
        for n in live:
            if self.call(n, "GET", "/readyz")[0] != 200 or self.in_force(n).get("here") == "none":
                return False
        views = []
        for n in live:
            views += self.call(n, "GET", "/v1/partitions")[1]["partitions"]
        ready = sum(it["readyWorkers"] for it in views)
        return len(views) == self.partitions and all(it["recovered"] for it in views) and ready >= len(self.worker_ports)

    def has_partitions_on_every_node(self):
        """Returns whether every node owns partitions."""
        nodes = self.call(0, "GET", "/v1/nodes")[1]["nodes"]
        return len(nodes) == len(self.nodes) and all(it["partitions"] for it in nodes)

    def submit(self, node, key=None, **spec):
        body = {"workload": "w", "tasks": 1, "each": {"cpuMilli": 1000, "memoryMib": 256}, "runMs": 300}
        body.update(spec)
        headers = {"Idempotency-Key": key} if key else {}
        return self.call(node, "POST", "/v1/jobs", body, token=SUBMITTER, headers=headers)

    def job(self, node, job):
        return self.call(node, "GET", "/v1/jobs/" + job)[1]

    def wait_job(self, node, job, timeout=30):
        until = time.time() + timeout
        while time.time() < until:
            status, it, _ = self.call(node, "GET", "/v1/wait/%s?ms=2000" % job)
            if status == 200 and it["state"] not in ("waiting", "running"):
                return it
            if status is None:
                time.sleep(0.2)
        return self.job(node, job)

    def worker_stats(self):
        return call(self.worker_ports[0], "GET", "/control/stats")[1]

    def runner_stats(self):
        return call(self.runner_ports[0], "GET", "/control/stats")[1]

    def platform_faults(self, **faults):
        return call(self.platform_port, "POST", "/control/faults", faults)

    def wait_until(self, condition, description, timeout=30):
        until = time.time() + timeout
        while time.time() < until:
            if condition():
                return
            time.sleep(0.1)
        self.dump()
        raise AssertionError("not in time: " + description)

    def logged(self, event):
        """Returns the lines of an event in the logs of all nodes."""
        lines = []
        for name in sorted(os.listdir(self.folder)):
            if name.startswith("node-") and name.endswith(".log"):
                with open(os.path.join(self.folder, name), errors="replace") as text:
                    lines += [json.loads(it) for it in text if '"event":"%s"' % event in it and it.endswith("\n")]
        return lines

    def dump(self):
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log"):
                with open(os.path.join(self.folder, name), errors="replace") as text:
                    lines = text.readlines()[-15:]
                sys.stderr.write("--- " + name + "\n" + "".join(lines))

    def close(self):
        for it in reversed(self.processes):
            if it.process.poll() is None:
                it.kill()
            it.log.close()
        for it in self.relays.values():
            it.close()
        self.ports.close()

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        if kind:
            self.dump()
        self.close()
