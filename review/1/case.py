"""A scheduled job with many occurrences beside the short jobs of other callers."""

import asyncio
import json
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import deployment

OCCURRENCES = 10000  # once a minute for a week
INTERVAL_MS = 60000
WORK_MS = 500
BATCH_JOBS = 20  # accepted right before the scheduled job
BATCH_MS = 6000
BATCH_STEPS = [{"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": BATCH_MS}]
CANCELLED_JOBS = 15  # long ones, accepted right before the scheduled job and cancelled one after the other
CANCELLED_MS = 100000
BEFORE_S = 5  # traffic before the scheduled job is handed in
AFTER_S = 30  # traffic after it
FINISH_S = 14  # bounds.finish_s
ASKED_FOR_S = 10
ACK_TIMEOUT_S = 4  # bounds.ack_timeout_ms; the store is sound and no link is disrupted all the while


async def submit_scheduled(case):
    """Hands in a job of two steps of one task each; the first occurrence is due in a second."""
    job = deployment.new_id()
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": WORK_MS},
             {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": WORK_MS, "after": [0]}]
    case.rooms[job] = [it["cpu"] for it in steps]
    body = {"spec": json.dumps({"ms": WORK_MS}), "steps": steps, "interval_ms": INTERVAL_MS,
            "repeat_count": OCCURRENCES if case.has_trouble else 100, "start_at_ms": int(time.time() * 1000) + 1000}
    answer = await deployment.request(random.choice(case.nodes).ports[0], "POST", deployment.PREFIX + job, body)
    case.note("post", job=job, status=answer[0] if answer else None, repeat_count=body["repeat_count"])
    return job, answer[0] if answer else None


async def short_jobs(case, for_s, jobs):
    until = time.monotonic() + for_s
    steps = [{"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": WORK_MS}]
    while time.monotonic() < until:
        jobs.append(await case.submit(steps, json.dumps({"ms": WORK_MS}), attempts=1))
        await asyncio.sleep(0.3)


async def cancel(case, job, after_s):
    """Cancels a job, again and again at any node until it is acknowledged or `ack_timeout_ms` has passed."""
    await asyncio.sleep(after_s)
    until = time.monotonic() + ACK_TIMEOUT_S
    while time.monotonic() < until:
        answer = await case.ask(job, method="DELETE")
        if answer is not None and (answer[0] == 410 or answer[0] // 100 == 2):
            return time.monotonic() < until
        await asyncio.sleep(0.3)
    return False


async def state_of(case, job, until):
    """Asks all nodes in turn until one tells the job's state. Returns it, or nothing if none does in time."""
    state = None
    while time.monotonic() < until:
        for node in case.live_nodes():
            answer = await case.ask(job, node=node)
            if answer is not None and answer[0] == 200:
                state = answer[1]["state"]
            if state == "completed":
                return state
        await asyncio.sleep(0.5)
    return state


async def play(case):
    await case.begin(nodes=3, runners=[("runner-a", 32000), ("runner-b", 32000)])
    await asyncio.sleep(2)
    before, after = [], []
    await short_jobs(case, BEFORE_S, before)
    batch = [await case.submit(BATCH_STEPS, json.dumps({"ms": BATCH_MS}), attempts=1) for _ in range(BATCH_JOBS)]
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": CANCELLED_MS}]
    long_jobs = [await case.submit(steps, json.dumps({"ms": CANCELLED_MS})) for _ in range(CANCELLED_JOBS)]
    scheduled, status = await submit_scheduled(case)
    if status != 200:
        raise RuntimeError("the scheduled job was not accepted: %s" % status)
    cancels = [case.spawn(cancel(case, it, 6 + n * 1.1)) for n, (it, status) in enumerate(long_jobs) if status == 200]
    await short_jobs(case, AFTER_S, after)
    cancelled = await asyncio.gather(*cancels)
    await asyncio.sleep(FINISH_S)
    accepted = [it for it, status in before + batch + after if status == 200]
    until = time.monotonic() + ASKED_FOR_S
    states = await asyncio.gather(*[state_of(case, it, until) for it in accepted])
    now = time.monotonic() - case.began
    noted = {(it["runner"], it["number"]): it["at"] for it in case.of("noted")}
    listed = [it for it in case.of("end") if it["at"] < now - ACK_TIMEOUT_S]
    not_noted = [it for it in listed if noted.get((it["runner"], it["number"]), now) > it["at"] + ACK_TIMEOUT_S]
    never = [it for it in not_noted if (it["runner"], it["number"]) not in noted]
    unfinished = [it for it in states if it != "completed"]
    missing = cancelled.count(False)
    is_broken = missing >= 3 and missing * 10 > len(cancelled) or len(not_noted) * 5 > len(listed)
    return is_broken, [
        "cancels of accepted jobs: %d, without 2xx or 410 after %d s: %d" % (len(cancelled), ACK_TIMEOUT_S, missing),
        "jobs accepted: %d; not shown as completed %d s after the end of the traffic, nor in the next %d s: %d (%s)" % (
            len(accepted), FINISH_S, ASKED_FOR_S, len(unfinished), ", ".join(sorted({str(it) for it in unfinished}))),
        "short jobs sent before the scheduled job: %d, accepted: %d; sent after it: %d, accepted: %d" % (
            len(before), [it for _, it in before].count(200), len(after), [it for _, it in after].count(200)),
        "batch jobs sent just before it: %d, accepted: %d" % (len(batch), [it for _, it in batch].count(200)),
        "ends listed by runners: %d, of these not taken note of within %d s: %d, never: %d" % (
            len(listed), ACK_TIMEOUT_S, len(not_noted), len(never)),
        "transactions that the store rejected for a row of more than %d bytes: %d" % (
            deployment.ROW_BYTES, case.store.rejected_writes)]


deployment.main(FOLDER, play)
