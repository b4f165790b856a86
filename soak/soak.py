"""A randomized soak test of `sardinerun dispatch`: real processes, injected faults, guarantees checked while it runs.

    soak.py [--seed N] [--seconds S] [--nodes N] [--workers N] [--teams]

Faults overlap: nodes are killed, paused, stopped with SIGTERM, and started again; connections to the store are cut; the
store is down or loses answers; workers are silent, restart, and lose answers to start orders; the leader is cut off from the
store and from some workers, and the next leaders from others; crowds of untrusted callers fill nodes. Callers submit jobs to random nodes and resend them when there is
no answer; some jobs are at the limits of what a caller may send. Checks that no task runs twice, that no job starts that was
refused or never submitted, that every accepted job completes in the end, that cancels are acknowledged, and that no node needs
more memory than a VM has. With --teams each caller has a team; keys are withdrawn, caps change and the last team floods
now and then. Then it also checks that no team runs more than its cap and that keys are accepted as configured. Stops only the processes that it started, by their ids.
"""

import argparse
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests", "process"))

import crowds  # noqa: E402
import untrusted_tests as untrusted  # noqa: E402
from dispatch_tests import Deployment, new_id, step  # noqa: E402
from teams import Teams  # noqa: E402

ACCEPTED, REFUSED, UNKNOWN = "accepted", "refused", "unknown"
ATTEMPTS = 12
SETTLE_SECONDS = 60  # covers two takeovers, a lease of ten seconds, and the pending jobs
CANCEL_SECONDS = 6  # for the acknowledgement of a cancel once all faults have ended
MEMORY_MB = 260
ODD_SHARE = 0.12  # of the jobs
ENDS_PER_REPORT = 500  # a worker lists further ends once these are acknowledged
CROWD = 60  # connections of untrusted callers
LATER_TERMS = 40  # that a worker can be silent to
MAX_ATTEMPTS = [3, 1_000_001, 2_147_483_647, 4_294_967_295]


def odd_job(pick, workers):
    """Returns the steps, the work time and the schedule of a job at a limit of what a caller may send."""
    kind = pick.choice(["nothing requested", "wide", "scheduled", "many steps"])
    if kind == "nothing requested":
        return [{"count": pick.choice([1, 2, 40]), "estimate_ms": 300, "gang": pick.random() < 0.7}], 300, {}
    if kind == "wide":
        return [step(pick.choice([ENDS_PER_REPORT, ENDS_PER_REPORT + 40]) * workers, 5, 1200, mem_mb=1)], 1200, {}
    if kind == "scheduled":
        schedule = {"repeat_count": 10_000, "interval_ms": 60_000, "start_at_ms": int(time.time() * 1000)}
        return [step(1, 100, 100), step(1, 100, 100, after=[0])], 100, schedule
    return [step(1, 50, 20, after=[n - 1] if n else []) for n in range(20)], 20, {}


class Caller(threading.Thread):
    """Submits jobs until the time `until`; resends a job under the same id while its outcome is unknown."""

    def __init__(self, cell, seed, until, teams=None, number=0):
        super().__init__(daemon=True)
        self.teams, self.number = teams, number
        self.steps = {}  # of each job
        self.cell, self.random, self.until = cell, random.Random(seed), until
        self.odd = random.Random("odd-%s" % seed)  # of its own, so that the other jobs are those of the seed
        self.jobs = {}
        self.scheduled = set()  # jobs that do not complete within the run
        self.wide = 0

    def run(self):
        while time.time() < self.until:
            job = new_id()
            self.jobs[job] = UNKNOWN
            self.jobs[job] = self.submit_odd(job) if self.odd.random() < ODD_SHARE else self.submit(job)
            time.sleep(self.pause())

    def pause(self):
        is_flood = self.teams and self.number == 3 and time.time() % 8 < 3
        return 0.002 if is_flood else self.random.uniform(0.02, 0.3)

    def key(self):
        return self.teams.key(self.number) if self.teams else None

    def submit(self, job):
        pick = self.random
        steps = [step(pick.randint(1, 5), pick.choice([500, 1000, 2000]), 400, gang=pick.random() < 0.3)]
        if pick.random() < 0.4:
            steps.append(step(pick.randint(1, 3), 1000, 200, after=[0]))
        return self.send(job, steps, pick.choice([50, 300, 1500]), {}, pick)

    def submit_odd(self, job):
        steps, work_ms, schedule = odd_job(self.odd, self.cell.worker_count)
        if schedule:
            self.scheduled.add(job)
        if steps[0]["count"] > ENDS_PER_REPORT:
            if self.wide:
                return self.submit(job)
            self.wide += 1
        return self.send(job, steps, work_ms, schedule, self.odd)

    def send(self, job, steps, work_ms, schedule, pick):
        may_be_accepted = False
        self.steps[job] = steps
        for _ in range(ATTEMPTS):
            node = pick.randrange(len(self.cell.nodes))
            status = self.cell.submit(node, *steps, work_ms=work_ms, job=job, key=self.key(), **schedule)[1]
            if status == 200:
                return ACCEPTED
            if status in (429, 503) and not may_be_accepted:
                return REFUSED
            assert status != 403, "its own job belongs to another team: " + job
            may_be_accepted = may_be_accepted or status not in (401, 429, 503)
            time.sleep(pick.uniform(0.1, 0.5))
        return UNKNOWN


class Faults:
    """Injects random faults and ends each after a random time."""

    def __init__(self, cell, seed):
        self.cell, self.random = cell, random.Random(seed)
        self.parting = random.Random("parting-%d" % seed)  # of its own, so that the other faults are those of the seed
        self.next_parting_at = time.time() + self.parting.uniform(2, 6)
        self.crowding = random.Random("crowd-%d" % seed)  # likewise
        self.next_crowd_at = time.time() + self.crowding.uniform(1, 8)
        self.cuts = set()  # (number of a node, fault that cuts it off from the store)
        self.silent_to = {}  # fences, by the number of the worker
        self.store_answer_delay_ms = 0
        self.parted_leader = None  # no other fault ends its leadership
        self.busy = set()  # names of the nodes and workers with a fault in progress
        self.pending = []  # (time, action that ends the fault, name)
        self.log = open(os.path.join(cell.folder, "faults.log"), "w")

    def inject(self):
        kinds = [self.kill, self.pause, self.stop, self.hup, self.cut, self.store_down, self.store_loses, self.silence_worker,
                 self.restart_worker, self.lose_starts]
        kind = self.random.choice(kinds)
        self.write_log(kind.__name__)
        kind()

    def inject_parting_if_due(self):
        if time.time() >= self.next_parting_at and "parting" not in self.busy:
            self.part_leader_and_workers()

    def inject_crowd_if_due(self):
        if time.time() < self.next_crowd_at or "crowd" in self.busy:
            return
        pick = self.crowding
        kinds = pick.sample(crowds.ALL + [crowds.MANY_STEPS], 3)
        node = pick.randrange(len(self.cell.nodes))
        crowd = pick.choice([untrusted.Crowd, crowds.EndlessCrowd])(self.cell.node_ports[node], kinds, count=CROWD)
        self.end_after(pick.uniform(1, 6), lambda: self.end_crowd(crowd), "crowd")

    def end_crowd(self, crowd):
        crowd.close()
        self.next_crowd_at = time.time() + self.crowding.uniform(1, 6)

    def write_log(self, text):
        now = time.time()
        self.log.write("%s.%03d %s\n" % (time.strftime("%H:%M:%S", time.gmtime(now)), now % 1 * 1000, text))
        self.log.flush()

    def end_after(self, seconds, action, name):
        self.write_log("%s for %.1f s" % (name, seconds))
        self.busy.add(name)
        self.pending.append((time.time() + seconds, action, name))

    def end_due(self, everything=False):
        for it in list(self.pending):
            if everything or time.time() >= it[0]:
                self.pending.remove(it)
                self.write_log("%s: fault ended" % it[2])
                it[1]()
                self.busy.discard(it[2])

    def pick_node(self):
        n = self.random.randrange(len(self.cell.nodes))
        if n == self.parted_leader:
            return None
        return None if "node %d" % n in self.busy or self.cell.nodes[n].process.poll() is not None else n

    def pick_worker(self):
        n = self.random.randrange(self.cell.worker_count)
        return None if "worker %d" % n in self.busy else n

    def kill(self):
        n = self.pick_node()
        if n is not None:
            self.cell.nodes[n].kill()
            self.end_after(self.random.uniform(0, 2), lambda: self.cell.start_node(n), "node %d" % n)

    def pause(self):
        n = self.pick_node()
        if n is not None:
            self.cell.nodes[n].send(signal.SIGSTOP)
            self.end_after(self.random.uniform(0.3, 6), lambda: self.cell.nodes[n].send(signal.SIGCONT), "node %d" % n)

    def stop(self):
        n = self.pick_node()
        if n is not None:
            self.cell.nodes[n].send(signal.SIGTERM)
            self.end_after(6.5, lambda: self.restart_node(n), "node %d" % n)

    def restart_node(self, n):
        if self.cell.nodes[n].process.poll() is None:
            raise AssertionError("node %d did not exit within 6.5 s of SIGTERM" % n)
        self.cell.start_node(n)

    def hup(self):
        n = self.pick_node()
        if n is not None:
            self.cell.nodes[n].send(signal.SIGHUP)

    def cut(self):
        n = self.pick_node()
        if n is not None:
            self.set_cut(n, "cut", True)
            self.end_after(self.random.uniform(0.5, 4), lambda: self.set_cut(n, "cut", False), "node %d" % n)

    def set_cut(self, n, fault, is_cut):
        (self.cuts.add if is_cut else self.cuts.discard)((n, fault))
        self.cell.relays[n].set_cut(any(it[0] == n for it in self.cuts))

    def store_down(self):
        if "store" not in self.busy:
            self.set_store(down=True)
            self.end_after(self.random.uniform(0.3, 3), self.set_store, "store")

    def store_loses(self):
        if "store" not in self.busy:
            self.set_store(losesAnswers=self.random.randint(1, 4))

    def set_store(self, **fault):
        self.cell.control("rows", dict({"commitAnswerDelayMs": self.store_answer_delay_ms}, **fault))

    def silence_worker(self):
        n = self.pick_worker()
        if n is not None:
            self.set_worker(n, silent=True)
            self.end_after(self.random.uniform(0.5, 9), lambda: self.set_worker(n), "worker %d" % n)

    def restart_worker(self):
        n = self.pick_worker()
        if n is not None:
            self.write_log("worker %d restarts" % n)
            self.set_worker(n, reborn=True)

    def lose_starts(self):
        n = self.pick_worker()
        if n is not None:
            self.set_worker(n, losesStarts=2)

    def set_worker(self, n, **fault):
        self.cell.control("worker", dict({"number": n, "silentToFences": self.silent_to.get(n, [])}, **fault))

    def part_leader_and_workers(self):
        """Cuts the leader off from the store and some workers, later leaders from others. Lost answers to starts end then."""
        leader, stats = self.cell.leader(), self.cell.stats()
        if leader is None or not isinstance(stats, dict):
            return
        term, pick = stats["highestFence"], self.parting
        later = list(range(term + 1, term + 1 + LATER_TERMS))
        # A worker that both reach soon tells the former leader that it is one.
        choices = [[term], later, []] if pick.random() < 0.25 else [[term], later]
        self.silent_to = {n: pick.choice(choices) for n in range(self.cell.worker_count)}
        self.store_answer_delay_ms = pick.choice([0, 20, 100])
        self.write_log("node %d, term %d, reaches workers %s, later leaders %s; store answers %d ms late" % (
            leader, term, [n for n, it in self.silent_to.items() if term not in it],
            [n for n, it in self.silent_to.items() if not it or term in it], self.store_answer_delay_ms))
        self.parted_leader = leader
        self.apply_parting()
        self.set_cut(leader, "parting", True)
        self.end_after(pick.uniform(5, 25), lambda: self.end_parting(leader), "parting")

    def apply_parting(self):
        for n in range(self.cell.worker_count):
            self.set_worker(n, silent="worker %d" % n in self.busy)
        self.set_store(down="store" in self.busy)

    def end_parting(self, leader):
        self.silent_to = {}
        self.parted_leader = None
        self.store_answer_delay_ms = 0
        self.set_cut(leader, "parting", False)
        self.apply_parting()
        self.next_parting_at = time.time() + self.parting.uniform(2, 8)


def memory_mb(pid):
    try:
        with open("/proc/%d/status" % pid) as text:
            return next(int(it.split()[1]) // 1024 for it in text if it.startswith("VmRSS"))
    except (OSError, StopIteration):
        return 0


def check_cancels(cell, callers):
    """Cancels the scheduled jobs that were accepted, which would run for days."""
    for caller, job in [(caller, it) for caller in callers for it in caller.scheduled if caller.jobs[it] == ACCEPTED]:
        until = time.time() + CANCEL_SECONDS
        status = None
        while time.time() < until and status not in (200, 202, 204, 410):
            status = cell.call(0, "DELETE", job, key=caller.key())[0]
            time.sleep(0.1)
        assert status in (200, 202, 204), "cancel of the accepted job %s: %s" % (job, status)


def check_while_running(cell, callers):
    for it in cell.nodes:
        assert memory_mb(it.process.pid) <= MEMORY_MB, "a node needs %d MB" % memory_mb(it.process.pid)
    stats = cell.stats()
    if not isinstance(stats, dict):
        return
    assert not stats["twice"], "ran twice: %s" % stats["twice"]
    if callers[0].teams:
        callers[0].teams.check_caps(stats["runningTasks"], callers)
    started = set(stats["startedJobs"])
    for it in callers:
        refused = {job for job, outcome in list(it.jobs.items()) if outcome == REFUSED}
        assert not refused & started, "refused, but started: %s" % (refused & started)


def check_end(cell, callers):
    accepted = {job: it for it in callers for job, outcome in it.jobs.items()
                if outcome == ACCEPTED and job not in it.scheduled}
    until = time.time() + SETTLE_SECONDS
    left = set(accepted)
    while left and time.time() < until:
        left = {job for job in left if cell.state(0, job, accepted[job].key()) != "completed"}
        time.sleep(0.2)
    assert not left, "accepted, but not completed: %s" % {job: cell.state(1, job, accepted[job].key()) for job in left}
    submitted = {job for it in callers for job in it.jobs}
    unexpected = set(cell.stats()["startedJobs"]) - submitted
    assert not unexpected, "started, but never submitted: %s" % unexpected
    check_while_running(cell, callers)
    return len(accepted), len(submitted)


def run(seed, seconds, nodes, workers, has_teams):
    with Deployment(nodes=nodes, workers=workers, cpu=8000, relays=True) as cell:
        cell.worker_count = workers
        max_attempts = random.Random("config-%d" % seed).choice(MAX_ATTEMPTS)
        teams = Teams(cell, seed, max_attempts) if has_teams else None
        if teams:
            teams.check_keys()
        else:
            cell.configure(2, max_attempts=max_attempts)
        try:
            until = time.time() + seconds
            callers = [Caller(cell, "%d-%d" % (seed, n), until, teams, n) for n in range(4)]
            for it in callers:
                it.start()
            faults = Faults(cell, seed)
            next_at = time.time() + 1
            while time.time() < until:
                if time.time() >= next_at:
                    faults.inject()
                    next_at = time.time() + faults.random.uniform(0.2, 1.5)
                faults.inject_parting_if_due()
                faults.inject_crowd_if_due()
                faults.end_due()
                if teams:
                    teams.change_if_due()
                check_while_running(cell, callers)
                time.sleep(0.1)
            while faults.pending:
                faults.end_due()
                check_while_running(cell, callers)
                time.sleep(0.1)
            for it in callers:
                it.join()
            cell.control("rows", {})
            if teams:
                teams.restore_caps()
                teams.check_keys()
            check_cancels(cell, callers)
            accepted, submitted = check_end(cell, callers)
            print("seed %d: passed, %d of %d jobs accepted, %d starts" % (seed, accepted, submitted, cell.stats()["starts"]))
        except AssertionError as error:
            print("seed %d: FAILED, %s; logs in %s" % (seed, error, cell.folder))
            raise SystemExit(1)


def main():
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--seed", type=int, default=int(time.time()))
    options.add_argument("--seconds", type=float, default=20)
    options.add_argument("--nodes", type=int, default=3)
    options.add_argument("--workers", type=int, default=6)
    options.add_argument("--teams", action="store_true")
    chosen = options.parse_args()
    run(chosen.seed, chosen.seconds, chosen.nodes, chosen.workers, chosen.teams)


if __name__ == "__main__":
    main()
