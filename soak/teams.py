"""Teams of a soak: their keys and caps change while it runs, and one of them floods."""

import random
import threading
import time

from dispatch_tests import new_id, team

LARGEST_TASK = 2000  # thousandths of a core
# A lowered cap is in force everywhere 9 s after it was written. A leader may be paused for 6 s, and what runs then ends in 2 s.
CAP_SECONDS = 20
KEY_SECONDS = 9  # until a configuration is in force everywhere
WEIGHTS = [100, 100, 100, 2]  # the last team floods
CAPS = [[6000, 4000, 9000], [12000, 3000], [0], [0]]  # in thousandths of a core; 0: no limit


class Teams:
    def __init__(self, cell, seed, max_attempts):
        self.cell, self.random, self.max_attempts = cell, random.Random("teams-%d" % seed), max_attempts
        self.lock = threading.Lock()
        self.names = ["t%d" % n for n in range(len(WEIGHTS))]
        self.keys = [new_id() for _ in self.names]
        self.caps = [it[0] for it in CAPS]
        self.withdrawn = [new_id()]  # the first one was never valid
        self.cap_history = [(time.time(), list(self.caps))]
        self.version = 2
        self.write()
        self.next_change_at = time.time() + 4

    def key(self, number):
        with self.lock:
            return self.keys[number]

    def write(self):
        self.cell.configure(self.version, max_attempts=self.max_attempts, tenants=[
            team(*it[:2], weight=it[2], cpu=it[3]) for it in zip(self.names, self.keys, WEIGHTS, self.caps)])

    def change_if_due(self):
        """Withdraws the key of a team, and lowers or raises the caps, in turn."""
        if time.time() < self.next_change_at:
            return
        self.next_change_at = time.time() + self.random.uniform(2, 5)
        self.version += 1
        with self.lock:
            if self.version % 2:
                number = self.random.randrange(len(self.names))
                self.withdrawn.append(self.keys[number])
                self.keys[number] = new_id()
            else:
                self.caps = [self.random.choice(it) for it in CAPS]
                self.cap_history.append((time.time(), list(self.caps)))
            self.write()

    def restore_caps(self):
        """A gang that was accepted under a higher cap waits as long as it does not fit its team's cap."""
        with self.lock:
            self.version += 1
            self.caps = [max(it) for it in CAPS]
            self.cap_history.append((time.time(), list(self.caps)))
            self.write()

    def check_caps(self, running, callers):
        """Checks what the workers run, by the highest cap that may be in force."""
        now = time.time()
        ended = [until for until, _ in self.cap_history[1:]] + [now]
        caps = [caps for (_, caps), until in zip(self.cap_history, ended) if now - until < CAP_SECONDS]
        for number, caller in enumerate(callers):
            used = 0
            for task in running:
                job, _, stage, _ = task.split(".")
                if job in caller.steps:
                    used += caller.steps[job][int(stage)].get("cpu", 0)
            highest = max(it[number] for it in caps)
            if min(it[number] for it in caps) > 0:
                assert used <= highest * 1.1 + LARGEST_TASK, "team %d runs %d of %d" % (number, used, highest)

    def check_keys(self):
        """Checks on all nodes that no withdrawn key is accepted and no other key is rejected. No faults may be in progress."""
        until = time.time() + KEY_SECONDS
        wrong = ["not asked"]
        while wrong and time.time() < until:
            time.sleep(0.2)
            wrong = [(n, key, status) for n in range(len(self.cell.nodes))
                     for key, expected in [(it, 401) for it in self.withdrawn] + [(it, 410) for it in self.keys]
                     for status in [self.cell.call(n, "GET", "0" * 16, key=key)[0]] if status != expected]
        assert not wrong, "keys after the last configuration (node, key, status): %s" % wrong
