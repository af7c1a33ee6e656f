"""One job that can never be done, a gang larger than the whole service, keeps all runners reserved.
Ordinary jobs wait although nearly all capacity is free, and a lasting task is not started again."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FINISH_S = 14.0      # finish_s of the pages
RUNNERS = 48         # of 64 cores and 256 GB, as in the site file
JOBS = 20


def one(count, cpu, estimate_ms, **more):
    return [dict(count=count, cpu=cpu, mem_mb=1000, estimate_ms=estimate_ms, **more)]


async def watch(cell, job, for_s):
    """Samples for `for_s` whether a job that has not ended has nothing running. Returns for how
    long it had nothing running at the end, s."""
    end, since = time.monotonic() + for_s, time.monotonic()
    while time.monotonic() < end:
        state = await cell.state(job)
        if state in ("completed", "failed", "canceled") or cell.runs_of(job):
            since = time.monotonic()
        await asyncio.sleep(0.1)
    return time.monotonic() - since


async def main():
    cell = standin.Cell(HERE, RUNNERS, dict(cpu=64000, mem_mb=262144, gpu=0))
    try:
        await cell.start(3)
        await asyncio.sleep(2)
        # A task that lasts, and fails once, as such tasks may at any time.
        lasting = standin.job_id()
        if not await cell.submit(lasting, one(1, 2000, 2000, long_running=True), 2000):
            return 2
        await asyncio.sleep(1)
        if TROUBLE:
            # Each member fits a runner, and there are fewer runners than members.
            cell.record.write("a gang of 64 members of 60 cores, for 48 runners of 64 cores")
            if not await cell.submit(standin.job_id(), one(64, 60000, 10000, gang=True), 10000):
                return 2
        await asyncio.sleep(1)
        jobs = [standin.job_id() for _ in range(JOBS)]
        for job in jobs:
            if not await cell.submit(job, one(1, 2000, 10000), 9000):
                return 2
            await asyncio.sleep(0.1)
        cell.record.write("the traffic ends; %d s until the jobs are asked for" % FINISH_S)
        await asyncio.sleep(FINISH_S)
        waits = await asyncio.gather(*(watch(cell, job, 4.0) for job in jobs))
        used = sum(2 for r in cell.runners for _ in r.runs)
        cell.record.write("%d of %d cores are in use" % (used, 64 * RUNNERS))
        stuck = [job for job, s in zip(jobs, waits) if s >= 3.0]
        for job in stuck:
            cell.record.write("client: GET %s: %s; nothing of it runs" %
                              (job, await cell.state(job)))
        # The lasting task fails some 40 s after it was submitted, and must be started again.
        while cell.record.since() < 42:
            await asyncio.sleep(0.1)
        runs = list(cell.runs_of(lasting).items())
        if not runs:
            cell.record.write("the lasting task does not run")
            return 2
        (task, attempt), runner = runs[0]
        runner.end(task, attempt, "failed")
        idle = await watch(cell, lasting, 12.0)
        cell.record.write("the lasting task was shown as %s, and had not run for %.1f s, 12 s "
                          "after its last run" % (await cell.state(lasting), idle))
        used = sum(2 for r in cell.runners for _ in r.runs)
        cell.record.write("%d of %d cores are in use" % (used, 64 * RUNNERS))
        broken = []
        if stuck:
            broken.append("%d of %d accepted jobs had nothing running for 3 s, %d s after the "
                          "traffic" % (len(stuck), JOBS, FINISH_S))
        if idle >= 9.0:
            broken.append("the lasting task was not started again")
        for why in broken:
            cell.record.write("LOST: " + why)
        cell.record.write("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0
    finally:
        cell.close()


standin.run(main)
