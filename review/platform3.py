"""Stand-ins of the third review: the platform's store, runners and clients.

They follow PROTOCOL.md. All listen on 127.0.0.1. No dependencies beyond the standard library.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROW_BYTES = 65536
HEARTBEAT = 1.5
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "platform",
             "advice", "upkeep", "sharing"]


def mono():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = mono()

    def now(self):
        return mono() - self.start

    def line(self, *words):
        self.file.write(f"{self.now():9.3f} " + " ".join(str(w) for w in words) + "\n")
        self.file.flush()


def free_ports(n):
    """Ports that were free a moment ago."""
    socks = []
    for _ in range(n):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        socks.append(s)
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           412: "Precondition Failed", 413: "Too Large", 421: "Misdirected Request"}


class HttpServer:
    """A small HTTP/1.1 server: `handle(method, path, headers, body)` returns (status, value)."""

    def __init__(self, handle, port=0):
        self.handle = handle
        self.port = port
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=500)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Closes the listener and resets all connections, like a crash."""
        if self.server:
            self.server.close()
            self.server = None
        for w in list(self.writers):
            w.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        k, v = line.split(":", 1)
                        headers[k.strip().lower()] = v.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, value = await self.handle(method, path, headers, body)
                data = json.dumps(value, separators=(",", ":")).encode() if value is not None else b""
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\n"
                             f"Content-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(port, method, path, host, value=None, timeout=5.0):
    """One request on a connection of its own. Returns (status, value), or (0, None)."""
    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = json.dumps(value).encode() if value is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                         f"Content-Type: application/json\r\nX-Deadline-Ms: {int(timeout * 1000)}\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            length = 0
            for line in head[1:]:
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            body = await reader.readexactly(length)
            try:
                return status, json.loads(body)
            except ValueError:
                return status, None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None


class Store:
    """The platform's store with tables."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.log = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.oversize = 0

    def shown(self, key, ver, value):
        row = {"table": key[0], "part": key[1], "key": key[2], "schema_version": ver}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    def apply(self, writes, removes):
        self.version += 1
        for key, value in writes:
            self.rows[key] = (value, self.version)
            self.log.setdefault(key[0], []).append((self.version, self.shown(key, self.version, value)))
        for key in removes:
            if self.rows.pop(key, None):
                self.log.setdefault(key[0], []).append((self.version, self.shown(key, self.version, None)))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        """A write of the operator or a runner."""
        data = base64.b64encode(json.dumps(value, separators=(",", ":")).encode()).decode()
        self.apply([((table, "", key), data)], [])

    def drop(self, table, key):
        self.apply([], [(table, "", key)])

    def meta(self):
        return {"schema_version": self.version, "now_ms": int(mono() * 1000)}

    async def handle(self, method, path, headers, body):
        url = urllib.parse.urlsplit(path)
        q = {k: v[-1] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/rows-tx":
            await asyncio.sleep(0.003)
            return self.transact(json.loads(body), len(body))
        if url.path == "/v1/rows-get":
            table, part = q["table"], q.get("part", "")
            start, end, limit = q.get("from", ""), q.get("target"), int(q.get("limit", 500))
            keys = sorted(k for k in self.rows if k[0] == table and k[1] == part
                          and k[2] >= start and (not end or k[2] < end))
            most = min(limit, 500)
            rows = [self.shown(k, self.rows[k][1], self.rows[k][0]) for k in keys[:most]]
            return 200, {"rows": rows, "has_more": len(keys) > most, **self.meta()}
        if url.path == "/v1/rows-parts":
            after = q.get("after", "")
            first = "after" not in q
            parts = sorted({k[1] for k in self.rows if k[0] == q["table"]})
            parts = [p for p in parts if first or p > after]
            return 200, {"parts": parts[:1000], "has_more": len(parts) > 1000, **self.meta()}
        if url.path == "/v1/rows-feed":
            return await self.feed(q["table"], int(q.get("after", 0)), int(q.get("wait_ms", 0)))
        return 404, None

    async def feed(self, table, after, wait_ms):
        end = mono() + wait_ms / 1000
        while True:
            rows = []
            for ver, row in reversed(self.log.get(table, [])):
                if ver <= after:
                    break
                rows.append(row)
            left = end - mono()
            if rows or left <= 0:
                rows.reverse()
                rows = rows[:500]
                # Never a part of one transaction only.
                meta = self.meta()
                if len(rows) == 500:
                    last = rows[-1]["schema_version"]
                    rows += [r for v, r in self.log[table] if v == last and r not in rows]
                    meta["schema_version"] = last
                return 200, {"rows": rows, **meta}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, tx, size):
        key = lambda r: (r["table"], r.get("part", ""), r["key"])
        expected, write, remove = tx.get("expected", []), tx.get("write", []), tx.get("remove", [])
        if len(expected) + len(write) + len(remove) > 100 or size > 1_000_000:
            return 400, None
        for r in write + remove:
            if r["table"] in ("op", "servers"):
                return 403, None
        for r in write:
            bytes_ = len(base64.b64decode(r.get("value", "")))
            if bytes_ > ROW_BYTES:
                self.oversize += 1
                if self.oversize <= 5:
                    self.record.line("store refuses a row of", bytes_, "bytes, row_bytes is",
                                     ROW_BYTES, "table", r["table"], "key", r["key"])
                return 400, None
        bad = []
        for r in expected:
            have = self.rows.get(key(r), (None, 0))
            if have[1] != r.get("schema_version", 0):
                bad.append(r)
        if bad:
            rows = [self.shown(key(r), self.rows[key(r)][1], self.rows[key(r)][0])
                    for r in expected if key(r) in self.rows]
            return 412, {"rows": rows, **self.meta()}
        self.apply([(key(r), r.get("value", "")) for r in write], [key(r) for r in remove])
        return 200, self.meta()


class Run:
    def __init__(self, task, attempt, spec, saved):
        self.task, self.attempt = task, attempt
        body = json.loads(spec)
        # Work in ms: of each task, or of those of each step.
        ms = body["ms"]
        self.total = (ms[int(task.split(".")[2])] if isinstance(ms, list) else ms) / 1000
        if body.get("vary"):
            self.total *= random.Random(task).uniform(0.5, 1.5)
        self.lasts = body.get("lasts", False)
        self.kept = body.get("ckpt", 0)
        self.name = body.get("name", "")
        self.saved = saved
        self.began = mono()
        # The checkpoint's first eight digits are the ms of work that it holds.
        self.done = int(saved[:8], 16) / 1000 if saved else 0.0
        self.restore = 0.25 if saved else 0.0
        self.timer = None

    def worked(self):
        return min(self.total, self.done + max(0.0, mono() - self.began - self.restore))

    def checkpoint(self):
        if self.kept:
            at = int(self.worked() / self.kept) * self.kept
            if at > 0:
                self.saved = f"{int(at * 1000):08x}{self.task[:8]}"
        return self.saved


class Runner:
    """One machine: an address that stays, with one life after the other."""

    def __init__(self, cell, n, zone, rack, cpu=32000, mem=65536):
        self.cell, self.n, self.zone, self.rack = cell, n, zone, rack
        self.capacity = {"cpu": cpu, "mem_mb": mem, "gpu": 0}
        self.server = HttpServer(self.handle)
        self.up = False
        self.offset = random.randrange(10_000, 900_000)
        self.id = ""

    def clock(self):
        return int(mono() * 1000) + self.offset

    async def start(self):
        self.id = "i-" + "".join(random.choice("0123456789abcdef") for _ in range(10))
        self.running, self.finished, self.highest = {}, [], {}
        self.last_end = self.acked = self.fence = self.sequence = 0
        self.expires = 0
        self.ended = asyncio.Event()
        await self.server.open()
        self.up = True
        self.cell.record.line("runner", self.n, "up as", self.id)
        self.beats = asyncio.ensure_future(self.beat(self.id))
        self.leases = asyncio.ensure_future(self.watch_lease(self.id))

    async def watch_lease(self, life):
        while self.up and self.id == life:
            self.lapse()
            await asyncio.sleep(0.02)

    async def beat(self, life):
        while self.up and self.id == life:
            self.sequence += 1
            self.cell.store.put("servers", life, {
                "service": "farewell-svc", "address": f"127.0.0.1:{self.server.port}",
                "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "capacity": self.capacity, "labels": ["a", self.rack],
                "clock_ms": self.clock(), "sequence": self.sequence})
            await asyncio.sleep(HEARTBEAT)

    async def crash(self, down):
        """Loses all that runs; a new life comes at the same address."""
        old = self.id
        self.up = False
        lost = [(r.task, r.attempt, round(r.worked(), 2)) for r in self.running.values()]
        for r in self.running.values():
            if r.timer:
                r.timer.cancel()
        self.running = {}
        self.beats.cancel()
        self.server.close()
        self.cell.record.line("runner", self.n, "crashes as", old, "and loses", lost)

        async def forget():
            await asyncio.sleep(3 * HEARTBEAT)
            self.cell.store.drop("servers", old)
        asyncio.ensure_future(forget())
        await asyncio.sleep(down)
        await self.start()

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer:
            run.timer.cancel()
        self.last_end += 1
        saved = run.checkpoint() if how != "done" else ""
        self.finished.append([self.last_end, run.task, run.attempt, how, saved])
        self.cell.ended(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def lapse(self):
        if self.running and self.clock() > self.expires:
            for run in list(self.running.values()):
                self.end(run, "lapsed")

    async def handle(self, method, path, headers, body):
        if path == "/healthz":
            return 200, {}
        want = headers.get("x-expected-instance")
        if want and want != self.id:
            return 421, {"clock_ms": self.clock()}
        b = json.loads(body) if body else {}
        self.lapse()
        if path in ("/v1/run-start", "/v1/run-stop", "/v1/hold", "/v1/pace"):
            if b.get("fencing_token", 0) < self.fence:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.fence = b.get("fencing_token", 0)
        if path == "/v1/run-start":
            return self.run_start(b)
        if path == "/v1/run-stop":
            task, attempt = b["task"], b["attempt"]
            self.highest[task] = max(self.highest.get(task, 0), attempt)
            run = self.running.get(task)
            if run and run.attempt <= attempt:
                await asyncio.sleep(0.02)
                self.end(run, "stopped")
            return 200, {"clock_ms": self.clock()}
        if path == "/v1/pace":
            return 200, {"clock_ms": self.clock()}
        if path == "/v1/hold":
            return await self.hold(b)
        return 404, None

    def lease(self, b):
        if b.get("expires_ms"):
            self.expires = max(self.expires, min(b["expires_ms"], self.clock() + 10_000))

    def run_start(self, b):
        task, attempt = b["task"], b["attempt"]
        run = self.running.get(task)
        self.lease(b)
        if run and run.attempt == attempt:
            return 200, {"clock_ms": self.clock()}
        if run or attempt <= self.highest.get(task, 0):
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if b.get("expires_ms", 0) <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        run = Run(task, attempt, b["spec"], b.get("checkpoint", ""))
        self.running[task] = run
        self.highest[task] = attempt
        left = run.total - run.done + run.restore
        if not run.lasts:
            run.timer = asyncio.get_event_loop().call_later(left, self.finish, run)
        self.cell.started(self, run)
        return 200, {"clock_ms": self.clock()}

    def finish(self, run):
        self.lapse()
        self.end(run, "done")

    async def hold(self, b):
        life = self.id
        self.lease(b)
        acked = b.get("acked", 0)
        if acked > self.acked:
            self.acked = acked
            self.finished = [f for f in self.finished if f[0] > acked]
        end = mono() + b.get("wait_ms", 0) / 1000
        while not self.finished and mono() < end and self.id == life and self.up:
            try:
                await asyncio.wait_for(self.ended.wait(), end - mono())
            except asyncio.TimeoutError:
                pass
        percent = lambda r: 100 if r.lasts else int(100 * r.worked() / r.total)
        active = [[r.task, r.attempt, r.checkpoint(), percent(r),
                   self.cell.cpu(r)] for r in self.running.values()]
        return 200, {"clock_ms": self.clock(), "active": active, "finished": self.finished[:500]}


class Cell:
    """A small deployment: a store, runners and instances of the program under test."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store(self.record)
        self.runners = []
        self.instances = []
        self.started_runs = {}
        self.ends = {}
        self.on_start = None
        self.work = tempfile.mkdtemp(prefix="review-")

    def cpu(self, run):
        return json_cpu.get(run.task.split(".")[0], 500)

    def started(self, runner, run):
        job = run.task.split(".")[0]
        self.started_runs.setdefault(job, []).append((self.record.now(), run.task, run.attempt))
        if self.on_start:
            self.on_start(runner, run)

    def ended(self, runner, run, how):
        job = run.task.split(".")[0]
        self.ends.setdefault(job, []).append((self.record.now(), run.task, run.attempt, how))

    def running(self, job):
        return sum(1 for r in self.runners if r.up
                   for t in r.running if t.split(".")[0] == job)

    def used(self):
        """Processor capacity in use, as a share of that of all runners."""
        total = sum(r.capacity["cpu"] for r in self.runners if r.up)
        used = sum(self.cpu(x) for r in self.runners if r.up for x in r.running.values())
        return used / total if total else 1.0

    async def open(self, runners, instances, routes, cpu=32000):
        await self.store.server.open()
        self.store.put("op", "config", {
            "version": 7, "routes": routes,
            "services": [{"name": "farewell-svc", "health_path": "/healthz", "max_conns": 64,
                          "protocol": "h1", "tls": False, "admission_control": False,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        zones = ["rw-kigali", "rw-huye", "rw-musanze", "rw-rubavu"]
        for n in range(runners):
            r = Runner(self, n, zones[n % 4], f"r{n % 4}-{n // 24}", cpu)
            self.runners.append(r)
            await r.start()
        ports = free_ports(4 * instances)
        for n in range(instances):
            front, ready, links, metrics = ports[4 * n:4 * n + 4]
            at = lambda p: f"127.0.0.1:{p}"
            path = os.path.join(self.work, f"edge-{n}.json")
            with open(path, "w") as f:
                json.dump({"id": f"edge-{n}", "domain": zones[n % 4], "front": at(front),
                           "ready": at(ready), "links": at(links), "metrics": at(metrics),
                           "share": 0.25, "memory_mb": 260, "max_fds": 4100,
                           "link_mbps": 1000.0, "store": at(self.store.server.port),
                           "cross_part": True, "advice": None, "hold_max_ms": 10000,
                           "stop_ms": 200, "restore_ms": 250, "checkpoint_s": 2,
                           "grace_ms": 6000, "keep_ms": 120000, "contracts": CONTRACTS,
                           "max_stretch_ms": 5000, "config_apply_ms": 2000}, f)
            log = open(os.path.join(self.work, f"edge-{n}.log"), "w")
            env = dict(os.environ, CURRANTGW_CONFIG=path)
            proc = subprocess.Popen(["target/release/currantgw", "serve"], stdout=log,
                                    stderr=subprocess.STDOUT, env=env)
            self.instances.append((proc, front, ready))
            self.record.line("instance", n, "started")
        for n, (_, _, ready) in enumerate(self.instances):
            for _ in range(150):
                status, _ = await call(ready, "GET", "/v1/readyz", "ready", timeout=1.0)
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                return False
        self.record.line("all instances are ready")
        return True

    async def submit(self, name, path, host, job, front=None, timeout=3.0, tries=4):
        """Hands a job in, again after no answer or a rejection. Returns (id, status)."""
        ident = "".join(random.choice("0123456789abcdef") for _ in range(16))
        json_cpu[ident] = job["phases"][0]["cpu"]
        status = 0
        for attempt in range(tries):
            port = front or random.choice(self.instances)[1]
            status, _ = await call(port, "POST", path + ident, host, job, timeout)
            self.record.line("POST", name, ident, "->", status)
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.3)
        return ident, status

    async def state(self, path, host, ident):
        for _ in range(4):
            status, value = await call(random.choice(self.instances)[1], "GET", path + ident, host,
                                       timeout=2.0)
            if status in (200, 410):
                break
        return value.get("state") if status == 200 and value else status

    def close(self):
        for proc, _, _ in self.instances:
            if proc.poll() is None:
                proc.send_signal(signal.SIGKILL)
            proc.wait()
        self.record.line("all instances ended by the script")
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.work, ignore_errors=True)


# Processor demand of the tasks of a job, by the job's id.
json_cpu = {}


def route(name, prefix, **more):
    return {"name": name, "host": "nony24.example", "path_prefix": prefix,
            "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 3000,
            "priority": 1, "service": "farewell-svc", "max_attempts": 2, "slack_factor": 4.0, **more}
