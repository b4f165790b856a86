"""Runs four example cases with three nodes, a platform, workers and runners on loopback. Called by scripts/quickstart."""

import os
import subprocess
import sys

SOURCE = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(SOURCE, "tests", "process"))
from cell import BUILD, Cell  # noqa: E402

PROGRAM = os.path.join(BUILD, "src", "app", "sardinerun")


def run_command(cell, node, *arguments):
    line = [PROGRAM, *arguments, "--node", "127.0.0.1:%d" % cell.callers[node]]
    return subprocess.run(line, capture_output=True, text=True, timeout=60)


def report_case(title, passed, text):
    print("%s  %s\n      %s" % ("PASS" if passed else "FAIL", title, text.strip().replace("\n", "\n      ")), flush=True)
    return passed


def main():
    jobs = os.path.join(SOURCE, "examples", "jobs")
    with Cell(workers=8, cpu=32000, memory=131072, runners=4, slots=8) as cell:
        print("Three nodes are running; callers reach them at " + ", ".join("127.0.0.1:%d" % it for it in cell.callers.values()))
        print("Their logs and settings are in " + cell.folder + "\n")
        result = run_command(cell, 0, "submit", os.path.join(jobs, "glaze-run.json"), "--wait")
        all_passed = report_case("a batch run is accepted, placed, run and reported", result.returncode == 0,
                                 result.stdout + result.stderr)
        status, answer, _ = cell.call(1, "GET", "/lid-orders/status/77")
        all_passed &= report_case("a request to a service is answered whole", status == 200 and answer["path"] == "/status/77",
                                  str(answer))
        result = run_command(cell, 2, "submit", os.path.join(jobs, "kiln-firing.json"), "--wait")
        all_passed &= report_case("an all-at-once job starts its tasks together", result.returncode == 0,
                                  result.stdout + result.stderr)
        result = run_command(cell, 0, "submit", os.path.join(jobs, "too-large.json"))
        all_passed &= report_case("a job that can never run is refused with its reason", result.returncode == 3, result.stderr)
        result = run_command(cell, 1, "nodes")
        report_case("the nodes and their partitions", result.returncode == 0, result.stdout)
        for n in sorted(cell.nodes):
            all_passed &= cell.nodes[n].stop() == 0
        print("\nAll nodes were stopped by SIGTERM.", flush=True)
    return 0 if all_passed else 1


if __name__ == "__main__":
    sys.exit(main())
