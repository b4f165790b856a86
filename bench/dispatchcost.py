"""Measures the processor time that a leader spends for each start of a task, beside a fleet of stand-in workers.

Arguments: workers, jobs per second, seconds. With PERF=FILE, also records a profile of the leader with perf.
"""

import http.client
import json
import os
import random
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "tests", "process"))
from dispatch_tests import Deployment, PREFIX, new_id, step  # noqa: E402

CALLERS = 16
WARM_UP_S = 5
HEADERS = {"Host": "lids.example", "X-Deadline-Ms": "3000", "Content-Type": "application/json"}
# Share of the jobs, step, run time in ms
KINDS = [(0.85, step(4, 3000, 1000), 1000), (0.09, step(40, 2500, 2700), 2700),
         (0.06, step(26, 4000, 4000, gang=True), 4000)]


def send_jobs(ports, rate, until, seed, statuses):
    """Submits jobs at a rate, and asks for the state of each a little later."""
    connections = [http.client.HTTPConnection("127.0.0.1", it, timeout=5) for it in ports]
    choice = random.Random(seed)
    following = time.time() + choice.random() / rate
    sent = []
    while time.time() < until:
        time.sleep(max(0, following - time.time()))
        following += 1 / rate
        _, spec, run_ms = choice.choices(KINDS, [it[0] for it in KINDS])[0]
        job = new_id()
        connection = connections[choice.randrange(len(connections))]
        try:
            connection.request("POST", PREFIX + job, json.dumps({"spec": str(run_ms), "steps": [spec]}), HEADERS)
            response = connection.getresponse()
            response.read()
            statuses[response.status] = statuses.get(response.status, 0) + 1
            sent.append(job)
            if len(sent) > 3:
                connection.request("GET", PREFIX + sent.pop(0), headers=HEADERS)
                connection.getresponse().read()
        except (OSError, http.client.HTTPException) as error:
            statuses[type(error).__name__] = statuses.get(type(error).__name__, 0) + 1
            connection.close()


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as text:
        fields = text.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main():
    workers, rate, seconds = (float(it) for it in (sys.argv[1:] + ["1100", "180", "10"][len(sys.argv) - 1:]))
    with Deployment(nodes=3, workers=int(workers), cpu=32000, advice=True) as cell:
        ports = [it[0] for it in cell.node_ports]
        statuses = {}
        until = time.time() + WARM_UP_S + seconds
        callers = [threading.Thread(target=send_jobs, args=(ports, rate / CALLERS, until, n, statuses)) for n in range(CALLERS)]
        for it in callers:
            it.start()
        time.sleep(WARM_UP_S)
        leader = cell.nodes[cell.leader()].process.pid
        starts, cpu, began = cell.stats()["starts"], cpu_seconds(leader), time.time()
        if os.environ.get("PERF"):
            subprocess.run(["perf", "record", "-q", "-F", "997", "-g", "-o", os.environ["PERF"], "-p", str(leader), "--", "sleep",
                            str(seconds - 1)], check=True)
        for it in callers:
            it.join()
        starts, cpu, took = cell.stats()["starts"] - starts, cpu_seconds(leader) - cpu, time.time() - began
        print("%d workers: %.0f starts/s, leader %.3f cores, %.0f us for each start, statuses %s"
              % (workers, starts / took, cpu / took, 1e6 * cpu / max(1, starts), statuses))


if __name__ == "__main__":
    main()
