"""A configuration removes or replaces a route, and jobs accepted on it before are never run."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import platform2 as p  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS, INSTANCES = 48, 3
JOBS, WORK_S, CHANGE_AT_S, TRAFFIC_S, FINISH_S = 20, 3.0, 1.0, 20.0, 14.0

# Three queues of one service. Configuration 9 removes SPLIT, and has NEW in the place of REFRESH: the
# same host, path and service under another name. LOOKUP stays as it is.
LOOKUP = p.route("lookup", 0, 2, 1.5, 250)
REFRESH = p.route("refresh", 2, 3, 4.0, 3000)
SPLIT = p.route("split", 1, 3, 2.2, 1000)
NEW = dict(REFRESH, name="r-refresh2")


def work(task):
    """No task fails."""
    return WORK_S, False


async def hand_in(client, route):
    """Jobs of two steps: the second starts when the first is done, after the change."""
    phase = {"count": 4, "cpu": 500, "mem_mb": 512, "estimate_ms": 3000}
    value = {"spec": "x", "phases": [phase, dict(phase, after=[0])]}
    return await asyncio.gather(*(client.submit(route, value) for _ in range(JOBS)))


async def lookups(client, until):
    """Traffic on the queue that stays: it is served all the time."""
    value = {"spec": "x", "phases": [{"count": 2, "cpu": 1400, "mem_mb": 512, "estimate_ms": 3000}]}
    ids = []
    while time.monotonic() < until:
        ids.append(await client.submit(LOOKUP, value))
        await asyncio.sleep(0.1)
    return ids


def unfinished(cell, ids):
    """Jobs of which not all eight tasks have ended `done`, and nothing runs."""
    done = {task for task, _, how in cell.ends if how == "done"}
    active = {t for r in cell.runners for t in r.life.active}
    tasks = lambda id: [f"{id}.0.{step}.{n}" for step in (0, 1) for n in range(4)]
    return [
        id for id in ids
        if not done.issuperset(tasks(id)) and not active.intersection(tasks(id))
    ]


async def main():
    cell = p.Cell(HERE, RUNNERS, INSTANCES, work)
    try:
        await cell.start([LOOKUP, REFRESH, SPLIT])
        client = p.Client(cell)
        await asyncio.sleep(2)
        until = time.monotonic() + TRAFFIC_S
        traffic = asyncio.create_task(lookups(client, until))
        await asyncio.sleep(2)
        replaced, removed = await asyncio.gather(hand_in(client, REFRESH), hand_in(client, SPLIT))
        if None in replaced + removed:
            raise RuntimeError("a job was not accepted")
        await asyncio.sleep(CHANGE_AT_S)
        if TROUBLE:
            cell.configure(9, [LOOKUP, NEW])
            cell.record.line("operator: configuration 9, r-refresh2 in the place of r-refresh, without r-split")
        others = await traffic
        quiet = None
        end = time.monotonic() + FINISH_S
        while time.monotonic() < end:
            # Since when nothing runs of any of the jobs that are not done.
            left = unfinished(cell, replaced + removed)
            quiet = (quiet or time.monotonic()) if left else None
            await asyncio.sleep(0.1)
        idle_s = time.monotonic() - quiet if quiet else 0.0
        used = sum(500 for r in cell.runners for _ in r.life.active) / (RUNNERS * 16_000)
        counts = []
        for name, ids in (("replaced", replaced), ("removed", removed)):
            left = unfinished(cell, ids)
            counts.append(len(left))
            states = await asyncio.gather(*(client.state(id) for id in ids))
            shown = {s: states.count(s) for s in set(states)}
            cell.record.line(
                f"{'BROKEN: ' if left else ''}route {name}: of {len(ids)} accepted jobs {len(left)} are not"
                f" done and have nothing running, for {idle_s:.1f} s; GET shows {shown}; {left[:3]}"
            )
            print(f"route {name}: {len(left)} of {len(ids)} accepted jobs stand still, shown as {shown}")
        served = await asyncio.gather(*(client.state(id) for id in others if id))
        print(f"route unchanged: {served.count('completed')} of {len(served)} completed; {used:.0%} of the"
              f" processors in use; nothing of the others has run for {idle_s:.1f} s")
        return 1 if sum(counts) and idle_s > 3.0 else 0
    finally:
        cell.stop()


p.run_case(main, HERE)
