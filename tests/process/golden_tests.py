"""Compares a complete HTTP session of a caller and an operator with a golden file.

SARDINERUN_RECORD=1 writes the file again. Ids are numbered and varying values replaced; everything else must match.
"""

import json
import os
import re
import unittest

from cell import CALLER, OPERATOR, SOURCE, SUBMITTER, Cell, call

GOLDEN = os.path.join(SOURCE, "tests", "process", "golden", "callers.txt")
SHOWN_HEADERS = ("content-type", "retry-after", "idempotency-replayed")
VARYING = re.compile(r"(At|Ms|Seconds|url|address|port)$")
IDENTIFIER = re.compile(r"[0-9a-f]{16,}")


class Session:
    """Sends requests to one node and records each exchange as text."""

    def __init__(self, port):
        self.port = port
        self.lines = []
        self.names = {}

    def exchange(self, method, target, body=None, token=None, headers=None):
        status, answer, received = call(self.port, method, target, body, token, headers)
        shown = {name.lower(): value for name, value in received.items() if name.lower() in SHOWN_HEADERS}
        text = json.dumps(body, sort_keys=True) if isinstance(body, dict) else body or ""
        self.lines.append("> %s %s %s %s" % (method, target, json.dumps(headers or {}, sort_keys=True), text))
        self.lines.append("< %s %s" % (status, json.dumps(shown, sort_keys=True)))
        self.lines.append("  " + json.dumps(self.mask_varying(answer), sort_keys=True))
        return answer

    def mask_varying(self, value, name=""):
        if isinstance(value, dict):
            return {key: self.mask_varying(it, key) for key, it in value.items()}
        if isinstance(value, list):
            return [self.mask_varying(it, name) for it in value]
        if VARYING.search(name):
            return "..."
        return value

    def text(self):
        def number(match):
            return self.names.setdefault(match.group(), "id%d" % (len(self.names) + 1))
        return IDENTIFIER.sub(number, "\n".join(self.lines)) + "\n"


class Golden(unittest.TestCase):
    def test_session_of_a_caller_and_an_operator(self):
        cell = Cell(nodes=1, workers=1, runners=1, partitions=1)
        try:
            session = Session(cell.callers[0])
            self.run_session(session)
        finally:
            cell.close()
        if os.environ.get("SARDINERUN_RECORD"):
            with open(GOLDEN, "w") as out:
                out.write(session.text())
        with open(GOLDEN) as recorded:
            self.maxDiff = None
            self.assertEqual(session.text(), recorded.read())

    def run_session(self, session):
        job = {"workload": "glaze-run", "kind": "batch", "urgency": "normal", "tasks": 2,
               "each": {"cpuMilli": 500, "memoryMib": 256}, "runMs": 100}
        key = {"Idempotency-Key": "plan-1"}
        accepted = session.exchange("POST", "/v1/jobs", job, SUBMITTER, key)
        session.exchange("POST", "/v1/jobs", job, SUBMITTER, key)
        session.exchange("POST", "/v1/jobs", dict(job, tasks=3), SUBMITTER, key)
        session.exchange("GET", "/v1/wait/%s?ms=10000" % accepted["id"], None, SUBMITTER)
        session.exchange("DELETE", "/v1/jobs/%s" % accepted["id"], None, SUBMITTER)
        session.exchange("POST", "/v1/jobs", dict(job, each={"cpuMilli": 500_000, "memoryMib": 1}), SUBMITTER)
        session.exchange("POST", "/v1/jobs", dict(job, odd=1), SUBMITTER)
        session.exchange("POST", "/v1/jobs", "{", SUBMITTER)
        session.exchange("GET", "/lid-orders/status/7", None, CALLER)
        fit = {"Idempotency-Key": "fit-1"}
        session.exchange("POST", "/lid-orders/fit-checks", "crock 9", CALLER, fit)
        session.exchange("POST", "/lid-orders/fit-checks", "crock 9", CALLER, fit)
        session.exchange("POST", "/lid-orders/fit-checks", "crock 10", CALLER, fit)
        session.exchange("POST", "/lid-orders/fit-checks", "crock 9", CALLER)
        session.exchange("GET", "/v1/preset", None, OPERATOR)
        session.exchange("PUT", "/v1/preset?expected=1", {"preset": "peak"}, OPERATOR)
        session.exchange("PUT", "/v1/preset?expected=1", {"preset": "maintenance"}, OPERATOR)
        session.exchange("PUT", "/v1/preset?expected=2", {"preset": "peak"}, CALLER)
        session.exchange("GET", "/v1/jobs", None, "wrong")
        session.exchange("GET", "/nowhere", None, CALLER)


if __name__ == "__main__":
    unittest.main(verbosity=2)
