"""Tests of `sardinerun dispatch` with two leaders, each cut off from some of the workers: see issue 37."""

import time
import unittest

from dispatch_tests import Deployment, DispatchCase, step

TERMS = 8  # later terms that a worker can be silent to; each new election begins the next one
CUT_SECONDS = 12
STORE_ANSWER_DELAY_MS = 100  # the nodes are told of a change before the writer has its answer


class Partitions(DispatchCase):
    """Guards against a task that a former leader and the next one both start, each on workers that only it reaches."""

    def submit_to_half(self, cell, work_ms):
        """Submits a job with a task for each of two workers. Returns its id, the leader and the numbers of the workers."""
        job = cell.submit_until_accepted(0, step(2, cpu=8000, ms=work_ms), work_ms=work_ms)
        cell.wait_until(lambda: cell.stats()["running"] == 2, "all run")
        return job, cell.leader(), {int(it[1:]) for it in cell.stats()["workersAtWork"]}

    def part(self, cell, leader, its_workers):
        """Cuts the leader off from the store and from all but its workers, the next leaders from these."""
        term = cell.stats()["highestFence"]
        later = list(range(term + 1, term + 1 + TERMS))
        cell.control("rows", {"commitAnswerDelayMs": STORE_ANSWER_DELAY_MS})
        for n in range(4):
            cell.control("worker", {"number": n, "silentToFences": later if n in its_workers else [term]})
        cell.relays[leader].set_cut(True)

    def heal(self, cell, leader):
        cell.relays[leader].set_cut(False)
        cell.control("rows", {})
        for n in range(4):
            cell.control("worker", {"number": n})

    def check_parted(self, cell, leader, its_workers, job):
        """Parts the cell for a while. Checks that another node leads then, that no task runs twice, that the job completes."""
        self.part(cell, leader, its_workers)
        time.sleep(CUT_SECONDS)
        self.check_no_task_ran_twice(cell)
        others = [n for n in range(3) if n != leader]
        self.assertTrue(any(it["event"] == "lead-won" for n in others for it in cell.log_records(n)))
        self.heal(cell, leader)
        cell.wait_state(others[0], job, timeout=60)
        self.check_no_task_ran_twice(cell)

    def test_the_next_leader_does_not_start_what_the_former_one_keeps_alive(self):
        with Deployment(relays=True) as cell:
            job, leader, at_work = self.submit_to_half(cell, work_ms=20000)
            self.check_parted(cell, leader, at_work, job)

    def test_a_former_leader_does_not_start_what_has_ended_out_of_its_sight(self):
        with Deployment(relays=True) as cell:
            job, leader, at_work = self.submit_to_half(cell, work_ms=3000)
            self.check_parted(cell, leader, set(range(4)) - at_work, job)
            self.assertEqual(cell.stats()["starts"], 2)


if __name__ == "__main__":
    unittest.main(verbosity=2)
