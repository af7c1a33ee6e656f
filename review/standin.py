"""Stand-ins of the platform for the scripts under review/: its store, runners, the operator and
clients, by the published protocol, on loopback addresses and the real clock. No dependencies."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import traceback
from urllib.parse import parse_qs, unquote, urlsplit

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# Bounds of the small deployment sabgha-cards.
BOUNDS = dict(hold_max_ms=10000, stop_ms=400, gang_wait_ms=3000, restore_ms=600, checkpoint_s=2,
              grace_s=6, status_s=120, max_stretch_ms=5000, config_apply_ms=2000)
ROW_BYTES, TX_BYTES, TX_ENTRIES, PAGE_ROWS, PAGE_BYTES = 65536, 1000000, 100, 500, 1000000
HEARTBEAT_S = 1.5


def now_ms():
    return time.monotonic() * 1000.0


class Record:
    """What was sent, answered and run; one line each, with the time since the start."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), time.monotonic()

    def since(self):
        """Time since the start, s."""
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write("%9.3f %s\n" % (self.since(), text))
        self.file.flush()


# HTTP/1.1 with keep-alive and Content-Length.

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Server:
    """An HTTP server whose handler returns a status and an object, or None to answer nothing."""

    def __init__(self, handler, port=0):
        self.handler, self.port, self.server, self.open = handler, port, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, backlog=512,
                                                 limit=4 << 20, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                res = await self.handler(method, target, headers, body)
                if res is None:
                    continue
                status, value = res
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def abort(self):
        """Closes the port and resets all connections, as the end of a process does."""
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


class Store:
    """The metadata store: rows, conditional transactions and the change feed."""

    def __init__(self, record):
        self.rows, self.log, self.version, self.record = {}, [], 0, record
        self.changed = asyncio.Condition()
        self.rejected, self.largest = 0, 0

    async def write(self, table, part, key, value):
        """A write of the operator or of a runner; no value removes the row."""
        self.version += 1
        self.apply(table, part, key, value)
        async with self.changed:
            self.changed.notify_all()

    def apply(self, table, part, key, value):
        if value is None:
            if self.rows.pop((table, part, key), None) is None:
                return
        else:
            self.rows[(table, part, key)] = (value, self.version)
        self.log.append((self.version, table, part, key))

    def row(self, table, part, key):
        value, version = self.rows[(table, part, key)]
        return {"table": table, "part": part, "key": key, "value": value,
                "schema_version": version}

    def meta(self, **more):
        return dict(more, schema_version=self.version, now_ms=int(now_ms()))

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        q = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if (method, url.path) == ("POST", "/v1/rows-tx"):
            return await self.tx(body)
        if (method, url.path) == ("GET", "/v1/rows-get"):
            await asyncio.sleep(0.002)
            return 200, self.page(q)
        if (method, url.path) == ("GET", "/v1/rows-feed"):
            return await self.feed(q)
        return 400, {}

    async def tx(self, body):
        await asyncio.sleep(0.003)
        call = json.loads(body)
        expected, write = call.get("expected", []), call.get("write", [])
        remove = call.get("remove", [])
        # The limits of a call and of a row.
        if len(expected) + len(write) + len(remove) > TX_ENTRIES or len(body) > TX_BYTES:
            return self.refuse("call of %d bytes, %d entries"
                               % (len(body), len(expected) + len(write) + len(remove)))
        for row in write:
            size = len(base64.b64decode(row["value"]))
            self.largest = max(self.largest, size)
            if size > ROW_BYTES:
                return self.refuse("row %s/%s/%s of %d bytes, in a call with %d rows"
                                   % (row["table"], row.get("part", ""), row["key"], size,
                                      len(write)))
        name = lambda r: (r["table"], r.get("part", ""), r["key"])
        if any(name(r)[0] in ("op", "servers") for r in write + remove):
            return 403, {}
        for row in expected:
            if self.rows.get(name(row), ("", 0))[1] != row["schema_version"]:
                found = [self.row(*name(r)) for r in expected if name(r) in self.rows]
                return 412, self.meta(rows=found)
        self.version += 1
        for row in write:
            self.apply(*name(row), row["value"])
        for row in remove:
            self.apply(*name(row), None)
        answer = self.meta()
        async with self.changed:
            self.changed.notify_all()
        return 200, answer

    def refuse(self, why):
        self.rejected += 1
        if self.rejected <= 20 or self.rejected % 100 == 0:
            self.record.write("store: 400 (no. %d): %s" % (self.rejected, why))
        return 400, {}

    def page(self, q):
        table, part = q["table"], q.get("part", "")
        start, end = q.get("from", ""), q.get("target", "")
        limit = min(int(q.get("limit", PAGE_ROWS)), PAGE_ROWS)
        keys = sorted(k for t, p, k in self.rows
                      if t == table and p == part and k >= start and (not end or k < end))
        rows, size = [], 0
        for key in keys:
            row = self.row(table, part, key)
            size += len(row["value"]) + 200
            if rows and (len(rows) >= limit or size > PAGE_BYTES):
                return self.meta(rows=rows, has_more=True)
            rows.append(row)
        return self.meta(rows=rows, has_more=False)

    async def feed(self, q):
        table, after = q["table"], int(q["after"])
        until = now_ms() + min(int(q.get("wait_ms", 0)), 30000)
        while True:
            names, last, size, cut = {}, self.version, 0, False
            for version, t, part, key in self.since(after):
                if t != table:
                    continue
                if len(names) >= PAGE_ROWS or size > PAGE_BYTES:
                    if version != last_seen:
                        last, cut = last_seen, True
                        break
                last_seen = version
                size += len(self.rows.get((t, part, key), ("", 0))[0]) + 200
                names.pop((t, part, key), None)
                names[(t, part, key)] = version
            if names or now_ms() >= until:
                rows = []
                for name, version in names.items():
                    if name in self.rows:
                        rows.append(self.row(*name))
                    else:
                        rows.append({"table": name[0], "part": name[1], "key": name[2],
                                     "schema_version": version, "deleted": True})
                return 200, dict(rows=rows, schema_version=last, now_ms=int(now_ms()))
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), (until - now_ms()) / 1000.0 + 0.001)
                except asyncio.TimeoutError:
                    pass

    def since(self, after):
        low, high = 0, len(self.log)
        while low < high:
            middle = (low + high) // 2
            if self.log[middle][0] <= after:
                low = middle + 1
            else:
                high = middle
        return self.log[low:]


class Gang:
    """One attempt of a gang: its members work from the moment when all are present. When one ends,
    so do the others: as done with it, and else as broken."""

    def __init__(self, count):
        self.count, self.members, self.began, self.over = count, set(), None, None

    def join(self, task):
        self.members.add(task)
        if len(self.members) == self.count and self.over is None:
            self.began = now_ms()


class Run:
    def __init__(self, work_ms, saved_ms, restore_ms, saves, lasts, gang=None):
        self.began = now_ms()
        self.work, self.base, self.restore = work_ms, saved_ms, restore_ms
        self.saves, self.lasts, self.stopping, self.gang = saves, lasts, None, gang

    def done_ms(self):
        """Work done so far, ms."""
        began = self.gang.began if self.gang else self.began
        if began is None:
            return self.base
        return self.base + max(0.0, now_ms() - began - self.restore)

    def at_work(self):
        return self.gang is None or self.gang.began is not None

    def checkpoint(self, exact=False):
        if not self.saves:
            return ""
        step = BOUNDS["checkpoint_s"] * 1000.0
        done = self.done_ms()
        done = done if exact else self.base + (done - self.base) // step * step
        return "%016x" % int(done) if done > 0 else ""


class Runner:
    """A runner, through its lives; each life has an id, a clock and numbers of its own."""

    def __init__(self, cell, index, rack, capacity):
        self.cell, self.index, self.rack, self.capacity = cell, index, rack, capacity
        self.server, self.up, self.tasks = Server(self.handle), False, []

    async def start(self):
        self.id = "i-%010x" % random.getrandbits(40)
        self.zero = now_ms() - random.randrange(1000, 500000)
        self.fence, self.lease, self.runs, self.blocked = 0, 0.0, {}, {}
        self.finished, self.number, self.sequence, self.up = [], 0, 0, True
        self.event = asyncio.Event()
        await self.server.start()
        self.tasks = [asyncio.create_task(self.beat(self.id)),
                      asyncio.create_task(self.work())]

    def clock(self):
        return int(now_ms() - self.zero)

    async def beat(self, name):
        while True:
            self.sequence += 1
            entry = {"service": self.cell.service, "address": "%s:%d" % (HOST, self.server.port),
                     "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
                     "cold_remaining_ms": 0, "capacity": self.capacity,
                     "labels": ["a", self.rack], "sequence": self.sequence}
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            await self.cell.store.write("servers", "", name, value)
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self, for_s):
        """The process ends: nothing of it is left. It is back after `for_s` under a new id."""
        name, lost = self.id, ["%s/%d" % run for run in self.runs]
        self.cell.record.write("runner %s (%d) crashes for %.1f s; it ran %s"
                               % (name, self.index, for_s, " ".join(lost) or "nothing"))
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.drop()
        self.server.abort()
        asyncio.create_task(self.cell.expire(name))
        await asyncio.sleep(for_s)
        await self.start()
        self.cell.record.write("runner %s (%d) is up, at the address of %s"
                               % (self.id, self.index, name))

    async def gone(self):
        """The runner is lost for good; its address answers nothing any more but resets."""
        self.cell.record.write("runner %s (%d) is lost for good; it ran %s" % (
            self.id, self.index, " ".join("%s/%d" % run for run in self.runs) or "nothing"))
        self.up = False
        self.stop()
        self.drop()
        asyncio.create_task(self.cell.expire(self.id))

    def drop(self):
        """All that runs there is over, without an end that is listed."""
        for run in self.runs.values():
            if run.gang and run.gang.over is None:
                run.gang.over = "lost"
        self.runs = {}

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.server.abort()

    async def work(self):
        """Ends what is done, stopped or without a lease."""
        while True:
            await asyncio.sleep(0.02)
            clock = self.clock()
            for (task, attempt), run in list(self.runs.items()):
                if clock > self.lease:
                    self.end(task, attempt, "lapsed")
                elif run.stopping is not None and now_ms() >= run.stopping:
                    self.end(task, attempt, "stopped")
                elif run.gang and run.gang.over not in (None, "done"):
                    self.end(task, attempt, "broken")
                elif not run.at_work() and now_ms() - run.began > BOUNDS["gang_wait_ms"]:
                    self.end(task, attempt, "alone")
                elif not run.lasts and (run.done_ms() >= run.work
                                        or run.gang and run.gang.over == "done"):
                    self.end(task, attempt, "done")

    def end(self, task, attempt, how):
        run = self.runs.pop((task, attempt))
        if run.gang and run.gang.over is None:
            run.gang.over = how
        self.number += 1
        saved = run.checkpoint(exact=how == "stopped") if how != "done" else ""
        self.finished.append([self.number, task, attempt, how, saved])
        self.blocked[task] = max(self.blocked.get(task, 0), attempt)
        self.cell.ended(self, task, attempt, how)
        self.event.set()

    def extend(self, expires):
        if expires is not None:
            self.lease = max(self.lease, min(expires, self.clock() + BOUNDS["hold_max_ms"]))

    async def handle(self, method, target, headers, body):
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, {}
        call = json.loads(body) if body else {}
        if target == "/v1/run-start":
            return self.run_start(call)
        if target == "/v1/run-stop":
            return self.run_stop(call)
        if target == "/v1/hold":
            return await self.hold(call)
        return (200, {}) if method == "GET" else (400, {})

    def refused(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def fenced(self, call):
        if call.get("fencing_token", 0) < self.fence:
            return True
        self.fence = call.get("fencing_token", 0)
        return False

    def run_start(self, call):
        task, attempt = call["task"], call["attempt"]
        if self.fenced(call):
            return self.refused("fence")
        if (task, attempt) in self.runs:
            self.extend(call["expires_ms"])
            return 200, {"clock_ms": self.clock()}
        if attempt <= self.blocked.get(task, 0):
            self.extend(call["expires_ms"])
            return self.refused("old")
        if call["expires_ms"] <= self.clock():
            return self.refused("late")
        self.extend(call["expires_ms"])
        self.runs[(task, attempt)] = self.cell.begin(self, task, attempt, call)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, call):
        task, attempt = call["task"], call["attempt"]
        if self.fenced(call):
            return self.refused("fence")
        self.blocked[task] = max(self.blocked.get(task, 0), attempt)
        run = self.runs.get((task, attempt))
        if run is not None and run.stopping is None:
            run.stopping = now_ms() + BOUNDS["stop_ms"] / 2
        return 200, {"clock_ms": self.clock()}

    async def hold(self, call):
        if self.fenced(call):
            return self.refused("fence")
        self.extend(call.get("expires_ms"))
        acked = call.get("acked", 0)
        for end in self.finished:
            if end[0] <= acked:
                self.cell.noted(self, end)
        self.finished = [e for e in self.finished if e[0] > acked]
        until = now_ms() + min(call.get("wait_ms", 0), 2000)
        while not self.finished and now_ms() < until:
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), (until - now_ms()) / 1000.0 + 0.001)
            except asyncio.TimeoutError:
                pass
        active = []
        for (task, attempt), run in self.runs.items():
            percent = int(min(99, 100 * run.done_ms() / run.work))
            if run.lasts:
                percent = 100 if run.at_work() else 0
            active.append([task, attempt, run.checkpoint(), percent])
        return 200, {"clock_ms": self.clock(), "active": active, "finished": self.finished[:500]}


class Cell:
    """The platform of one case: store, runners, one queue, and the instances under test."""

    def __init__(self, folder, runners, capacity, racks=6, max_attempts=4):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store, self.jobs, self.running = Store(self.record), {}, {}
        self.service, self.queue, self.prefix, self.host = "huvo11a", "r-3hwrr6x", "/lohu930/", \
            "nony24.example"
        self.max_attempts, self.instances, self.logs = max_attempts, [], []
        self.ends, self.starts, self.gangs, self.folder = [], [], {}, folder
        self.runners = [Runner(self, n, "r1-%d" % (n % racks), capacity) for n in range(runners)]

    async def start(self, instances):
        self.store_server = Server(self.store.handle)
        await self.store_server.start()
        route = {"name": self.queue, "host": self.host, "path_prefix": self.prefix,
                 "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 3000,
                 "priority": 1, "service": self.service, "max_attempts": self.max_attempts,
                 "slack_factor": 4.0}
        config = {"version": 7, "routes": [route], "limits": {},
                  "services": [{"name": self.service, "health_path": "/healthz",
                                "admission_control": False, "standby": False}]}
        await self.store.write("op", "", "config",
                               base64.b64encode(json.dumps(config).encode()).decode())
        await asyncio.gather(*(r.start() for r in self.runners))
        for n in range(instances):
            self.instances.append(Instance(self, n))
        await asyncio.gather(*(instance.first_start() for instance in self.instances))

    async def expire(self, name):
        """Removes the entry of a runner that has been silent for three intervals."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.write("servers", "", name, None)

    def begin(self, runner, task, attempt, call):
        job, _, step, _ = task.split(".")
        known = self.jobs.get(job)
        spec = known["phases"][int(step)] if known else {}
        work = known["work_ms"] if known else 1000.0
        saved = int(call["checkpoint"], 16) if call.get("checkpoint") else 0
        restore = BOUNDS["restore_ms"] if saved else 0
        self.starts.append((now_ms(), task, attempt, runner.id))
        self.running.setdefault(job, {})[(task, attempt)] = runner
        if not known or known.get("traced", True):
            self.record.write("runner %s starts %s/%d%s" % (runner.id, task, attempt,
                              " from " + call["checkpoint"] if saved else ""))
        gang = None
        if spec.get("gang"):
            name = (task.rsplit(".", 1)[0], attempt)
            gang = self.gangs.setdefault(name, Gang(spec["count"]))
            gang.join(task)
        return Run(work, saved, restore, spec.get("checkpointing", False),
                   spec.get("long_running", False), gang)

    def ended(self, runner, task, attempt, how):
        job = task.split(".")[0]
        self.running.get(job, {}).pop((task, attempt), None)
        self.ends.append((now_ms(), task, attempt, how))
        if self.jobs.get(job, {}).get("traced", True):
            self.record.write("runner %s: %s/%d ends %s" % (runner.id, task, attempt, how))

    def noted(self, runner, end):
        if self.jobs.get(end[1].split(".")[0], {}).get("traced", True):
            self.record.write("runner %s: end %d of %s/%d is acked" % (runner.id, end[0], end[1],
                                                                       end[2]))

    def runs_of(self, job):
        """The runs of a job at work, with their runners."""
        runs = {}
        for runner in self.runners:
            for task, attempt in runner.runs:
                if task.startswith(job + "."):
                    runs[(task, attempt)] = runner
        return runs

    async def submit(self, job, phases, work_ms, instance=None, traced=True, **more):
        """Submits a job, as a client does, until it is accepted or rejected. Returns whether."""
        self.jobs[job] = dict(phases=phases, work_ms=float(work_ms), traced=traced)
        body = json.dumps(dict(spec="x" * 100, phases=phases, **more)).encode()
        for attempt in range(8):
            to = instance or random.choice([i for i in self.instances if i.up()] or self.instances)
            status, _ = await self.call(to, "POST", job, body)
            if traced:
                self.record.write("client: POST %s to %s: %s" % (job, to.name, status))
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def leader(self):
        """The instance that is the leader, by its state dump."""
        for instance in self.instances:
            try:
                reader, writer = await asyncio.open_connection(HOST, instance.metrics)
                writer.write(b"GET /debug/state HTTP/1.1\r\nHost: x\r\n\r\n")
                _, _, data = await read_message(reader)
                writer.close()
                if json.loads(data).get("scheduler"):
                    return instance
            except (OSError, ValueError, asyncio.IncompleteReadError):
                pass
        return None

    async def state(self, job):
        """The state that a client is shown; None without an answer."""
        up = [i for i in self.instances if i.up()]
        if not up:
            return None
        to = random.choice(up)
        status, body = await self.call(to, "GET", job, b"")
        return body.get("state") if status == 200 else "status %s" % status

    async def call(self, instance, method, rest, body):
        try:
            return await asyncio.wait_for(self.exchange(instance, method, rest, body), 3.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None, {}

    async def exchange(self, instance, method, rest, body):
        reader, writer = await asyncio.open_connection(HOST, instance.front)
        try:
            writer.write(("%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 3000\r\n"
                          "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                          % (method, self.prefix, rest, self.host, len(body))).encode() + body)
            first, _, data = await read_message(reader)
        finally:
            writer.close()
        try:
            return int(first.split()[1]), json.loads(data)
        except ValueError:
            return int(first.split()[1]), {}

    def close(self):
        for instance in self.instances:
            instance.kill()
        for runner in self.runners:
            runner.stop()
        self.store_server.abort()


def free_ports(count):
    """Free ports outside the range from which the system takes ports of connections."""
    sockets, ports = [], []
    while len(ports) < count:
        s, port = socket.socket(), random.randrange(20000, 30000)
        try:
            s.bind((HOST, port))
        except OSError:
            s.close()
            continue
        sockets.append(s)
        ports.append(port)
    for s in sockets:
        s.close()
    return ports


class Instance:
    """A process of the system, with the command of the deploy file."""

    def __init__(self, cell, n):
        self.cell, self.zone, self.process = cell, "zone-" + "abc"[n % 3], None
        self.name = "edge-%s-1" % self.zone
        self.path = os.path.join(os.environ["CASE_TMP"], self.name + ".json")
        self.configure()

    def configure(self):
        """Writes the settings file, as the template of the deploy file renders it."""
        self.front, self.ready, self.links, self.metrics = free_ports(4)
        b, cell = BOUNDS, self.cell
        settings = {
            "id": self.name, "domain": self.zone,
            "front": "%s:%d" % (HOST, self.front), "ready": "%s:%d" % (HOST, self.ready),
            "links": "%s:%d" % (HOST, self.links), "metrics": "%s:%d" % (HOST, self.metrics),
            "share": 0.25, "link_mbps": 1000.0,
            "store": "%s:%d" % (HOST, cell.store_server.port), "cross_part": True, "advice": None,
            "hold_max_ms": b["hold_max_ms"], "stop_ms": b["stop_ms"],
            "restore_ms": b["restore_ms"], "checkpoint_s": b["checkpoint_s"],
            "grace_ms": b["grace_s"] * 1000, "keep_ms": b["status_s"] * 1000,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform",
                          "advice", "upkeep", "sharing"],
            "max_stretch_ms": b["max_stretch_ms"], "config_apply_ms": b["config_apply_ms"],
        }
        with open(self.path, "w") as f:
            json.dump(settings, f)

    def start(self):
        log = open(os.path.join(os.environ["CASE_TMP"], self.name + ".log"), "a")
        self.process = subprocess.Popen(
            ["target/release/currantgw", "serve"], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
                 "CURRANTGW_CONFIG": self.path})
        self.cell.record.write("instance %s starts, process %d" % (self.name, self.process.pid))

    def up(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.up():
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.cell.record.write("instance %s is killed" % self.name)

    async def first_start(self):
        """Starts the process, with other ports if another program has taken one of them."""
        for _ in range(5):
            self.start()
            try:
                return await self.wait_ready()
            except RuntimeError:
                code = self.process.poll()
                self.cell.record.write("instance %s is not ready, code %s" % (self.name, code))
                if code is None or code < 0:
                    raise
                self.configure()
        raise RuntimeError("%s can't be started" % self.name)

    async def restart(self):
        """A planned restart: SIGTERM, and a new process once the old one has ended."""
        self.process.send_signal(signal.SIGTERM)
        self.cell.record.write("instance %s gets SIGTERM" % self.name)
        for _ in range(BOUNDS["grace_s"] * 10):
            if not self.up():
                break
            await asyncio.sleep(0.1)
        self.kill()
        self.start()

    async def wait_ready(self):
        for _ in range(200):
            if not self.up():
                break
            try:
                reader, writer = await asyncio.open_connection(HOST, self.ready)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _, _ = await read_message(reader)
                writer.close()
                if " 200 " in first:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("%s is not ready" % self.name)


def run(main):
    """Runs a case and exits with its code: 1 if the rule was broken, 0 if it held, 2 if the case
    could not run."""
    def stop(*_):
        raise KeyboardInterrupt
    signal.signal(signal.SIGTERM, stop)
    try:
        code = asyncio.run(main())
    except BaseException:
        traceback.print_exc()
        code = 2
    sys.exit(code)


def job_id():
    return "%016x" % random.getrandbits(64)
