"""Runs the four cases of the README with nodes as separate processes."""

import time
import unittest

from cell import CALLER, Cell


class Cases(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cell = Cell()
        # Requests may be refused while partitions and slots move to nodes that have just started (see API.md).
        cls.cell.wait_until(cls.cell.has_partitions_on_every_node, "partitions on all nodes")
        time.sleep(1)

    @classmethod
    def tearDownClass(cls):
        cls.cell.close()

    def test_batch_run(self):
        status, answer, _ = self.cell.submit(0, tasks=6)
        self.assertEqual(status, 202)
        self.assertEqual(self.cell.wait_job(1, answer["id"])["state"], "succeeded")

    def test_request_is_answered_completely(self):
        status, answer, _ = self.cell.call(1, "GET", "/lid-orders/status/7", token=CALLER)
        self.assertEqual((status, answer["path"]), (200, "/status/7"))

    def test_a_long_answer_is_forwarded_completely(self):
        size = 20_000_000  # more than a node buffers
        status, answer, _ = self.cell.call(1, "GET", "/lid-orders/status/7?bytes=%d" % size, token=CALLER)
        self.assertEqual((status, len(answer["filling"])), (200, size))

    def test_gang_succeeds(self):
        status, answer, _ = self.cell.submit(2, kind="allAtOnce", tasks=5, each={"cpuMilli": 8000, "memoryMib": 256})
        self.assertEqual(status, 202)
        self.assertEqual(self.cell.wait_job(0, answer["id"])["tasks"]["succeeded"], 5)

    def test_refusal_states_its_reason(self):
        status, answer, _ = self.cell.submit(0, each={"cpuMilli": 80000, "memoryMib": 256})
        self.assertEqual((status, answer["run"]), (422, "no"))
        self.assertIn("no worker is large enough", answer["detail"])

    def test_a_resend_to_another_node_gets_the_same_answer(self):
        answers = [self.cell.call(n, "POST", "/lid-orders/fit-checks", "crock", token=CALLER,
                                  headers={"Idempotency-Key": "same"})[1] for n in (0, 1, 2)]
        self.assertEqual(answers[0], answers[1])
        self.assertEqual(answers[0], answers[2])
        self.assertEqual(self.cell.runner_stats()["doubled"], 0)

    def test_a_resent_job_is_the_same_job(self):
        ids = {self.cell.submit(n, key="plan-1", tasks=2)[1]["id"] for n in (0, 1, 2)}
        self.assertEqual(len(ids), 1)
        self.assertEqual(self.cell.submit(0, key="plan-1", tasks=3)[0], 422)

    def test_tokens_and_bad_input(self):
        port = self.cell.callers[0]
        from cell import call
        self.assertEqual(call(port, "GET", "/lid-orders/status/7")[0], 200)  # loopback may administer in this test
        self.assertEqual(call(port, "GET", "/v1/config", token="wrong")[0], 401)
        self.assertEqual(call(port, "GET", "/v1/config", token=CALLER)[0], 403)
        self.assertEqual(call(port, "POST", "/v1/jobs", "{", token="mixing-room-token")[0], 400)
        self.assertEqual(call(port, "POST", "/v1/jobs", {"workload": "w", "odd": 1}, token="mixing-room-token")[0], 400)
        self.assertEqual(call(port, "PATCH", "/v1/jobs", token="mixing-room-token")[0], 405)
        self.assertEqual(call(port, "GET", "/nowhere", token=CALLER)[0], 404)
        self.assertIn(call(port, "POST", "/v1/jobs", "x" * 3000000, token="mixing-room-token")[0], (413, None))


if __name__ == "__main__":
    unittest.main(verbosity=2)
