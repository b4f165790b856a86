"""The leader changes while jobs of a queue with a large `max_attempts` are accepted and run."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import deployment

MAX_ATTEMPTS = 2147483647  # an operator's "no limit"
JOBS = 10
WORK_MS = 6000
DOWN_S = 3.0  # as node_kill of the site file
VISIBLE_S = 3.0  # bounds.visible_ms
CONTACT_S = 3.0  # bounds.contact_ms


async def play(case):
    await case.begin(nodes=3, runners=[("runner-a", 32000), ("runner-b", 32000)])
    case.configure(2, max_attempts=MAX_ATTEMPTS)
    await asyncio.sleep(4)
    steps = [{"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": WORK_MS}]
    jobs = [await case.submit(steps, json.dumps({"ms": WORK_MS})) for _ in range(JOBS)]
    accepted = [job for job, status in jobs if status == 200]
    if len(accepted) != JOBS:
        raise RuntimeError("%d jobs were accepted" % len(accepted))
    await asyncio.sleep(1)
    if case.has_trouble:
        leader = case.leader()
        await leader.kill()
        case.spawn(leader.restart(DOWN_S))
    # All machines are in touch again `contact_ms` after the restart of the process; more than `visible_ms` has passed.
    await asyncio.sleep(DOWN_S + CONTACT_S + VISIBLE_S)
    unknown = []
    for job in accepted:
        answers = [await case.ask(job, node=node) for node in case.live_nodes()]
        if any(it is not None and it[0] == 410 for it in answers):
            unknown.append(job)

    async def completed():
        answers = [await case.ask(job) for job in accepted]
        return all(it is not None and it[1].get("state") == "completed" for it in answers)
    is_completed = await case.wait_until(completed, 14)
    done = {it["task"] for it in case.of("end") if it["how"] == "done"}
    return bool(unknown), [
        "accepted jobs: %d, answered 410 later: %d, all completed: %s" % (len(accepted), len(unknown), is_completed),
        "tasks of accepted jobs: %d, ended done: %d, stopped: %d" % (
            2 * JOBS, len(done), len([it for it in case.of("end") if it["how"] == "stopped"]))]


deployment.main(FOLDER, play)
