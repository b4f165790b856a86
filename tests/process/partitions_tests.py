"""Tests of `sardinerun dispatch` with two leaders, each cut off from some of the workers: see issue 37."""

import time
import unittest

from cell import call
from dispatch_tests import Deployment, DispatchCase, new_id, step

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


class StandinChecks(unittest.TestCase):
    """Guards against second runs that the stand-in's own check does not see."""

    FENCE = 100  # higher than that of any leader in the test, which the workers do not hear

    def order(self, cell, worker, path, **body):
        status, answer, _ = call(cell.store + 2 + worker, "POST", path, dict(body, fence_token=self.FENCE),
                                 headers={"X-Expect-Instance": "w%d" % worker})
        self.assertEqual(status, 200)
        return answer

    def start(self, cell, worker, task, run, lease_ms):
        clock = self.order(cell, worker, "/hold", last_seen=0, wait_ms=0)["clock_ms"]
        self.order(cell, worker, "/run-start", task=task, run=run, spec="100", last_checkpoint="", deadline_ms=clock + lease_ms)

    def tasks_that_ran_twice(self, lease_ms, gap_s):
        """Runs a task on a worker, then on another, and acknowledges the first end only after that."""
        with Deployment(nodes=1) as cell:
            for n in range(4):
                # Restarted, so that the leader has extended no lease.
                cell.control("worker", {"number": n, "silentToFences": list(range(self.FENCE)), "reborn": True})
            task = new_id() + ".0.0.0"
            self.start(cell, 0, task, 1, lease_ms)
            time.sleep(gap_s)
            self.start(cell, 1, task, 2, 5000)
            self.assertEqual(cell.stats()["twice"], [])
            ended = self.order(cell, 0, "/hold", last_seen=0, wait_ms=0)["ended_runs"]
            self.assertEqual([it[3] for it in ended], ["done"])
            self.order(cell, 0, "/hold", last_seen=ended[0][0], wait_ms=0)
            return cell.stats()["twice"], task

    def test_an_end_that_is_acknowledged_after_a_second_start_is_recorded(self):
        twice, task = self.tasks_that_ran_twice(lease_ms=5000, gap_s=0.5)
        self.assertEqual(twice, [task])

    def test_an_end_does_not_count_if_the_lease_was_over_before_the_acknowledgement(self):
        self.assertEqual(self.tasks_that_ran_twice(lease_ms=400, gap_s=1)[0], [])


if __name__ == "__main__":
    unittest.main(verbosity=2)
