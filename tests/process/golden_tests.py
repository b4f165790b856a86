"""A caller's and an operator's whole session over HTTP, exchange by exchange, against a file.

SARDINERUN_RECORD=1 writes the file anew. Ids and times are numbered or left out, all else must be the same.
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
    def __init__(self, port):
        self.port = port
        self.lines = []
        self.names = {}

    def ask(self, method, target, body=None, token=None, headers=None):
        status, answer, received = call(self.port, method, target, body, token, headers)
        shown = {name.lower(): value for name, value in received.items() if name.lower() in SHOWN_HEADERS}
        text = json.dumps(body, sort_keys=True) if isinstance(body, dict) else body or ""
        self.lines.append("> %s %s %s %s" % (method, target, json.dumps(headers or {}, sort_keys=True), text))
        self.lines.append("< %s %s" % (status, json.dumps(shown, sort_keys=True)))
        self.lines.append("  " + json.dumps(self.steady(answer), sort_keys=True))
        return answer

    def steady(self, value, name=""):
        if isinstance(value, dict):
            return {key: self.steady(it, key) for key, it in value.items()}
        if isinstance(value, list):
            return [self.steady(it, name) for it in value]
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
        accepted = session.ask("POST", "/v1/jobs", job, SUBMITTER, key)
        session.ask("POST", "/v1/jobs", job, SUBMITTER, key)
        session.ask("POST", "/v1/jobs", dict(job, tasks=3), SUBMITTER, key)
        session.ask("GET", "/v1/wait/%s?ms=10000" % accepted["id"], None, SUBMITTER)
        session.ask("DELETE", "/v1/jobs/%s" % accepted["id"], None, SUBMITTER)
        session.ask("POST", "/v1/jobs", dict(job, each={"cpuMilli": 500_000, "memoryMib": 1}), SUBMITTER)
        session.ask("POST", "/v1/jobs", dict(job, odd=1), SUBMITTER)
        session.ask("POST", "/v1/jobs", "{", SUBMITTER)
        session.ask("GET", "/lid-orders/status/7", None, CALLER)
        fit = {"Idempotency-Key": "fit-1"}
        session.ask("POST", "/lid-orders/fit-checks", "crock 9", CALLER, fit)
        session.ask("POST", "/lid-orders/fit-checks", "crock 9", CALLER, fit)
        session.ask("POST", "/lid-orders/fit-checks", "crock 10", CALLER, fit)
        session.ask("POST", "/lid-orders/fit-checks", "crock 9", CALLER)
        session.ask("GET", "/v1/preset", None, OPERATOR)
        session.ask("PUT", "/v1/preset?expected=1", {"preset": "peak"}, OPERATOR)
        session.ask("PUT", "/v1/preset?expected=1", {"preset": "maintenance"}, OPERATOR)
        session.ask("PUT", "/v1/preset?expected=2", {"preset": "peak"}, CALLER)
        session.ask("GET", "/v1/jobs", None, "wrong")
        session.ask("GET", "/nowhere", None, CALLER)


if __name__ == "__main__":
    unittest.main(verbosity=2)
