"""Callers that continuously send jobs and requests, and record the answers."""

import threading
import time

from cell import CALLER, SUBMITTER, call


class Load:
    """Threads that submit jobs and send requests until they are stopped."""

    def __init__(self, cell, threads=4, pause=0.02, run_ms=200):
        self.cell = cell
        self.pause = pause
        self.run_ms = run_ms
        self.accepted = {}  # job id -> key
        self.unaccepted_jobs = set()  # keys of jobs that no node accepted in all attempts
        self.answered = {}  # request key -> body
        self.unknown_requests = set()
        self.differing = []  # requests whose answer belongs to another request
        self.cut = []  # exchanges with a ready node that ended without a complete answer
        self.statuses = {}
        self.avoid = set()  # nodes that are stopping, stopped or cut off
        self.stopping = False
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.work, args=(n,), daemon=True) for n in range(threads)]

    def start(self):
        for it in self.threads:
            it.start()
        return self

    def stop(self):
        self.stopping = True
        for it in self.threads:
            it.join(60)

    def nodes(self):
        """Returns the nodes that the platform's load balancer would use."""
        return [n for n in sorted(self.cell.nodes) if n not in self.avoid]

    def work(self, thread):
        n = 0
        while not self.stopping:
            n += 1
            key = "%d-%d" % (thread, n)
            self.job(key, n)
            self.request(key, n)
            time.sleep(self.pause)

    def exchange(self, n, method, target, body, token, key):
        """Sends a request, and resends it to other nodes until there is an answer that a caller would accept."""
        status, answer = None, None
        for attempt in range(40):
            nodes = self.nodes()
            node = nodes[(n + attempt) % len(nodes)]
            status, answer, _ = call(self.cell.callers[node], method, target, body, token=token,
                                     headers={"Idempotency-Key": key}, timeout=10)
            with self.lock:
                self.statuses[status] = self.statuses.get(status, 0) + 1
            if status is None and node not in self.avoid:
                self.cut.append((node, key, answer))
            run = answer.get("run") if isinstance(answer, dict) else None
            if status is not None and (status < 300 or status == 422 or run in ("yes",)):
                return status, answer
            if self.stopping and attempt > 20:
                break
            time.sleep(0.25)
        return status, answer

    def job(self, key, n):
        spec = {"workload": "load", "tasks": 1 + n % 3, "each": {"cpuMilli": 500, "memoryMib": 128}, "runMs": self.run_ms}
        status, answer = self.exchange(n, "POST", "/v1/jobs", spec, SUBMITTER, "job-" + key)
        with self.lock:
            if status == 202:
                self.accepted[answer["id"]] = key
            else:
                self.unaccepted_jobs.add(key)

    def request(self, key, n):
        status, answer = self.exchange(n, "POST", "/lid-orders/fit-checks", "crock " + key, CALLER, "fit-" + key)
        with self.lock:
            if status == 200:
                self.answered["fit-" + key] = answer
                if answer.get("body") != "crock " + key:
                    self.differing.append((key, answer))
            else:
                self.unknown_requests.add(key)

    def check(self, test, may_be_unknown=0):
        """Waits until all accepted jobs end, then checks that no guarantee was violated."""
        deadline = time.time() + 60
        open_jobs = dict(self.accepted)
        states = {}
        while open_jobs and time.time() < deadline:
            for job in list(open_jobs):
                it = self.cell.job(self.nodes()[0], job)
                state = it.get("state") if isinstance(it, dict) else None
                if state in ("succeeded", "failed", "unknown", "cancelled"):
                    states[state] = states.get(state, 0) + 1
                    del open_jobs[job]
            time.sleep(0.2)
        workers, runners = self.cell.worker_stats(), self.cell.runner_stats()
        print("accepted", len(self.accepted), "ended", states, "answered", len(self.answered), "unaccepted",
              len(self.unaccepted_jobs), "unknown", len(self.unknown_requests), "cut", len(self.cut),
              "statuses", self.statuses, flush=True)
        print("workers", {k: v for k, v in workers.items() if k != "jobs"}, "runners", runners, flush=True)
        test.assertFalse(open_jobs, "accepted jobs that did not end: %s" % list(open_jobs)[:5])
        test.assertEqual(states.get("succeeded", 0), len(self.accepted), "not all accepted jobs succeeded")
        test.assertEqual(workers["runningTwice"], 0, "tasks that ran twice at the same time")
        test.assertEqual(workers["overfull"], 0, "workers over their capacity")
        test.assertEqual(runners["doubled"], 0, "requests that ran twice")
        test.assertEqual(runners["overfull"], 0, "runners with more requests than slots")
        test.assertEqual(self.differing, [], "answers that belong to other requests")
        test.assertLessEqual(len(self.unknown_requests), may_be_unknown, "requests with an unknown outcome")
        test.assertLessEqual(len(self.unaccepted_jobs), may_be_unknown, "jobs that were refused for ten seconds")
        test.assertGreater(len(self.accepted), 10)
        test.assertGreater(len(self.answered), 10)
