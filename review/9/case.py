"""A gang that waits for room held by services keeps accepted jobs from ever starting, beside free runners."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from cell import TROUBLE, main  # noqa: E402

SERVICE, GANGS, BATCH = "/services/", "/kilns/", "/plans/"
SERVICES = "8e00000000000001"
GANG = "8e000000000000ff"
JOBS = ["8e000000000001%02x" % n for n in range(4)]
FINISH_S = 14  # bounds.finish_s: after the end of the traffic
WINDOW_S = 3

CONFIG = {"version": 3, "routes": [
    {"name": "services", "host": "lids.example", "path_prefix": SERVICE, "service": "lid-orders", "priority": 0, "max_attempts": 4,
     "stretch": 1.5, "target_latency_ms": 3000},
    {"name": "kilns", "host": "lids.example", "path_prefix": GANGS, "service": "lid-orders", "priority": 1, "max_attempts": 4,
     "stretch": 2.2, "target_latency_ms": 1000},
    {"name": "plans", "host": "lids.example", "path_prefix": BATCH, "service": "lid-orders", "priority": 2, "max_attempts": 4,
     "stretch": 1.5, "target_latency_ms": 1000}],
    "services": [{"name": "lid-orders", "enforces_capacity": False}], "limits": {}}


async def script(cell):
    await cell.start(CONFIG)
    steps = [{"count": 4, "cpu": 7500, "mem_mb": 1024, "estimate_ms": 1000, "long_running": True}]
    if await cell.submit(SERVICE, SERVICES, steps, {}) != 200:
        raise RuntimeError("the services are not accepted")

    async def are_services_running():
        return all(cell.where("%s.0.0.%d" % (SERVICES, n)) for n in range(4))

    await cell.until(are_services_running, 10, "the services run")
    await asyncio.sleep(5)
    for n in range(19):  # ordinary gangs
        await cell.submit(GANGS, "8e000000000002%02x" % n, [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500, "gang": True}],
                          {"work_ms": 500})
        await asyncio.sleep(0.1)
    if TROUBLE:  # and one that has room only when the services end
        steps = [{"count": 40, "cpu": 1000, "mem_mb": 256, "estimate_ms": 4000, "gang": True}]
        if await cell.submit(GANGS, GANG, steps, {"work_ms": 4000}) != 200:
            raise RuntimeError("the large gang is not accepted")
        await asyncio.sleep(1)
    for job in JOBS:
        status = await cell.submit(BATCH, job, [{"count": 1, "cpu": 2000, "mem_mb": 512, "estimate_ms": 1000}], {"work_ms": 1000})
        if status != 200:
            raise RuntimeError("a job is not accepted")
        await asyncio.sleep(0.5)
    cell.record("end of the traffic")
    await asyncio.sleep(FINISH_S)
    broken = []
    idle_since = {}
    end = time.monotonic() + 10
    while time.monotonic() < end:
        rooms = [it.room() for it in cell.runners.values()]
        in_use = 1 - sum(cpu for cpu, _ in rooms) / (cell.cpu * len(rooms))
        for job in JOBS:
            task, need = job + ".0.0.0", cell.jobs[job][0]
            copies = sum(min(cpu // need["cpu"], mem // need["mem_mb"]) for cpu, mem in rooms)
            has_ended = any(row[1] == task for it in cell.runners.values() for row in it.all_ends)
            could_run = not has_ended and not cell.where(task) and copies >= 2 and in_use < 0.5
            idle_since[job] = (idle_since.get(job) or time.monotonic()) if could_run else None
            if idle_since[job] and time.monotonic() - idle_since[job] >= WINDOW_S and job not in broken:
                broken.append(job)
                cell.record("LOST: %s could run and doesn't; room for %d such tasks is free, %.0f %% of the cores are in use"
                            % (task, copies, 100 * in_use))
        await asyncio.sleep(0.1)
    for job in JOBS + ([GANG] if TROUBLE else []):
        await cell.call(0, "GET", GANGS if job == GANG else BATCH, job)
    if TROUBLE:
        await cell.call(0, "DELETE", GANGS, GANG)
        await asyncio.sleep(3)
        for job in JOBS:
            await cell.call(0, "GET", BATCH, job)
    return broken


sys.exit(main(script, FOLDER))
