"""Measures the latency that a node adds to a request, goodput under overload, and the cost of the idle control plane."""

import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "tests", "process"))
from cell import BUILD, CALLER, Cell, call  # noqa: E402

SENDER = os.path.join(BUILD, "bench", "bench_requests")


def measure_requests(port, target, concurrency, seconds=4, token=""):
    out = subprocess.run([SENDER, "--to", "127.0.0.1:%d" % port, "--target", target, "--token", token, "--concurrency",
                          str(concurrency), "--seconds", str(seconds)], capture_output=True, text=True, timeout=60)
    return json.loads(out.stdout)


def read_metric(cell, node, name):
    text = cell.call(node, "GET", "/metrics")[1]
    return sum(float(it.split()[-1]) for it in text.splitlines() if it.startswith(name) and not it.startswith("#"))


def platform_stats(cell):
    return call(cell.platform_port, "GET", "/control/stats")[1]


def measure_node_overhead():
    with Cell(nodes=3, workers=1, runners=6, slots=8, work_ms=5) as cell:
        print("requests, 1 at a time, runner takes 5 ms:")
        print("  straight to the runner", measure_requests(cell.runner_ports[0], "/status/1", 1))
        print("  through a node        ", measure_requests(cell.callers[0], "/lid-orders/status/1", 1, token=CALLER))
        print("goodput at one node (it holds 16 of 48 slots) by requests in progress:")
        for concurrency in (8, 16, 32, 160):
            before = read_metric(cell, 0, "sardinerun_process_cpu_seconds")
            it = measure_requests(cell.callers[0], "/lid-orders/status/1", concurrency, token=CALLER)
            cpu = read_metric(cell, 0, "sardinerun_process_cpu_seconds") - before
            per_core = sum(v for k, v in it.items() if k.startswith("status")) / max(cpu, 0.001)
            print("  %4d" % concurrency, it, "cpu %.2f s, %.0f exchanges a second of processor" % (cpu, per_core))


def measure_control_plane(workers):
    with Cell(nodes=3, workers=workers, runners=3, partitions=8) as cell:
        time.sleep(2)
        names = ("sardinerun_process_cpu_seconds", "sardinerun_inner_bytes_total")
        before = [[read_metric(cell, n, it) for it in names] for n in range(3)]
        store, begin = platform_stats(cell), time.time()
        time.sleep(20)
        seconds = time.time() - begin
        after = [[read_metric(cell, n, it) for it in names] for n in range(3)]
        now = platform_stats(cell)
        cpu = [100 * (a[0] - b[0]) / seconds for a, b in zip(after, before)]
        inner = [(a[1] - b[1]) / seconds for a, b in zip(after, before)]
        memory = [read_metric(cell, n, "sardinerun_process_memory_bytes") / 1e6 for n in range(3)]
        print("at rest, %d workers: cpu %% of a core %s, inner bytes/s %s, MB %s, store writes/s %.1f reads/s %.1f" % (
            workers, ["%.2f" % it for it in cpu], ["%.0f" % it for it in inner], ["%.0f" % it for it in memory],
            (now["writes"] - store["writes"]) / seconds, (now["reads"] - store["reads"]) / seconds), flush=True)


if __name__ == "__main__":
    measure_node_overhead()
    for count in (50, 200, 400):
        measure_control_plane(count)
