"""A gang whose tasks name no resources is handed in."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import deployment

MEMORY_MB = 260  # limits.memory_mb
RESTART_S = 3.0  # "restarted after a short delay"
WORK_MS = 500
LENGTH_S = 60
EVERY_S = 0.25


async def play(case):
    await case.begin(nodes=3, runners=[("runner-a", 32000), ("runner-b", 32000)])
    for node in case.nodes:
        case.spawn(node.supervise(MEMORY_MB, RESTART_S))
    await asyncio.sleep(2)
    step = {"count": 2, "estimate_ms": WORK_MS, "gang": True}
    if not case.has_trouble:
        step.update(cpu=1000, mem_mb=64)
    else:
        step.update(cpu=0)  # only for the record of the stand-in; a field of value 0 is omitted on the wire
    jobs = []
    until = time.monotonic() + LENGTH_S
    while time.monotonic() < until and (case.has_trouble or len(jobs) < 80):
        jobs.append(await submit(case, step))
        await asyncio.sleep(EVERY_S)
    ended = case.of("node-ended")
    per_machine = {node.name: len([it for it in ended if it["node"] == node.name]) for node in case.nodes}
    often = [name for name, count in per_machine.items() if count >= 3]
    accepted = [status for status in jobs if status == 200]
    return len(often) >= 2, [
        "machines: %d, processes that ended by themselves: %d (%s)" % (
            len(case.nodes), len(ended), ", ".join("%s %d" % it for it in per_machine.items())),
        "how: %s" % ", ".join(sorted({it["why"] for it in ended})),
        "gangs handed in: %d, accepted: %d" % (len(jobs), len(accepted))]


async def submit(case, step):
    wire = {name: value for name, value in step.items() if value}
    live = case.live_nodes()
    if not live:
        return None
    job = deployment.new_id()
    case.rooms[job] = [step["cpu"]]
    node = live[len(case.events) % len(live)]
    answer = await deployment.request(node.ports[0], "POST", deployment.PREFIX + job,
                                      {"spec": json.dumps({"ms": WORK_MS}), "steps": [wire]})
    case.note("post", job=job, node=node.name, status=answer[0] if answer else None)
    return answer[0] if answer else None


deployment.main(FOLDER, play)
