"""A wide job whose progress outgrows a row of the store, and jobs of others that no longer run."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import platform2 as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS, INSTANCES = 48, 3
TASKS = int(os.environ.get("TASKS", "2000"))
WIDE_AT_S, TRAFFIC_S, FINISH_S = 8.0, 50.0, 14.0
LOOKUPS_PER_S = 10.0

LOOKUP = p.route("lookup", 0, 2, 1.5, 250)
REFRESH = p.route("refresh", 2, 3, 4.0, 3000)
WIDE = set()


def work(task):
    """Seconds of work of a task and whether it writes checkpoints."""
    seed = random.Random(task)
    job, _, step, index = task.split(".")
    if job in WIDE:
        # One task ends early; the others work on beyond the end of the case.
        return 5.0 if (step, index) == ("0", "0") else seed.uniform(100.0, 300.0), True
    return 0.64 * seed.uniform(0.5, 1.5), False


async def lookups(client, until):
    loop, jobs = asyncio.get_running_loop(), []
    value = {"spec": "lookup", "phases": [{"count": 2, "cpu": 1400, "mem_mb": 512, "estimate_ms": 640}]}
    while loop.time() < until:
        jobs.append(asyncio.create_task(client.submit(LOOKUP, value)))
        await asyncio.sleep(random.expovariate(LOOKUPS_PER_S))
    await asyncio.gather(*jobs)


async def wide_job(client):
    """A batch job of small tasks that take minutes: 0.1 cores each, 200 of the cell's 768."""
    await asyncio.sleep(WIDE_AT_S)
    half = TASKS // 2
    phase = {"count": half, "cpu": 100, "mem_mb": 64, "estimate_ms": 100_000, "checkpointing": True}
    id = p.job_id()
    WIDE.add(id)
    value = {"spec": "wide", "phases": [phase, dict(phase, count=TASKS - half)]}
    got = await p.call(
        client.front(), "POST", REFRESH["path_prefix"] + id,
        {"Host": REFRESH["host"], "X-Deadline-Ms": "3000"}, value,
    )
    client.cell.record.line(f"client: POST {id}, {TASKS} tasks: {got}")
    return id


async def main():
    cell = p.Cell(HERE, RUNNERS, INSTANCES, work)
    try:
        await cell.start([LOOKUP, REFRESH])
        client = p.Client(cell)
        until = asyncio.get_running_loop().time() + TRAFFIC_S
        tasks = [lookups(client, until)]
        if TROUBLE:
            tasks.append(wide_job(client))
        await asyncio.gather(*tasks)
        await asyncio.sleep(FINISH_S)
        waiting, counts = [], {}
        used = sum(100 if t.split(".")[0] in WIDE else 1400 for r in cell.runners for t in r.life.active)
        ids = list(client.jobs)
        for at in range(0, len(ids), 50):
            part = ids[at:at + 50]
            for id, state in zip(part, await asyncio.gather(*(client.state(id) for id in part))):
                counts[state] = counts.get(state, 0) + 1
                if state != "completed":
                    started = [t for t in cell.starts if t.startswith(id)]
                    waiting.append((id, state, time.monotonic() - client.jobs[id][1], len(started)))
        cell.record.line(f"lookups by state {FINISH_S:.0f} s after the last: {counts}")
        total = RUNNERS * 16_000
        cell.record.line(f"processors in use: {used} of {total} thousandths of a core")
        broken = [w for w in waiting if w[2] > FINISH_S - 1 and w[3] == 0]
        for id, state, age, _ in broken:
            cell.record.line(f"BROKEN: job {id}, accepted {age:.1f} s ago, is {state}; no task was started")
        print(f"{len(ids)} lookups {counts}; {len(broken)} accepted {FINISH_S:.0f} s ago or earlier of"
              f" which nothing has run; {used * 100 // total} % of the processors in use;"
              f" {cell.store.refused} calls refused by the store, largest row {cell.store.largest} bytes")
        return 1 if broken and used * 2 < total else 0
    finally:
        cell.stop()


p.run_case(main, HERE)
