"""Stand-ins for the second review: the platform's store, runners, and clients, in one process.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). Everything listens on loopback addresses with
free ports. The instances under test are the project's own program, started with the command of the
deploy file. Python's standard library only.
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
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "currantgw")

# Figures of the settings of a small deployment (DEPLOY.md, the example).
ROW_BYTES = 65536
CALL_BYTES = 1_000_000
CALL_ENTRIES = 100
TX_S = 0.003
HEARTBEAT_S = 1.5
STOP_S = 0.3
HOLD_MAX_MS = 10_000
CHECKPOINT_S = 0.5
RESTORE_S = 0.6


def now_ms():
    return int(time.monotonic() * 1000)


def free_port(ip="127.0.0.1"):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run; `record.txt` of a case."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def line(self, text):
        if self.file.closed:
            return
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")

    def close(self):
        self.file.close()


# --- HTTP -----------------------------------------------------------------------------------------


async def read_message(reader):
    """First line, headers and body of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).strip().split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server; `handle(method, path, headers, body)` returns status and JSON value."""

    def __init__(self, handle, ip="127.0.0.1", port=0):
        self.handle, self.ip, self.port = handle, ip, port
        self.server, self.writers = None, set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.connection, self.ip, self.port, limit=1 << 22, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Closes the port, and resets all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, path, _ = first.split(" ", 2)
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, headers=None, value=None, timeout=3.0):
    """One call over a connection of its own: status and JSON value, or None without an answer."""
    ip, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            body = b"" if value is None else json.dumps(value).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in {"Host": address, **(headers or {})}.items()]
            if body:
                lines.append("Content-Type: application/json")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None
            first, _, data = message
            try:
                parsed = json.loads(data) if data else None
            except ValueError:
                parsed = None
            return int(first.split(" ")[1]), parsed
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None


# --- the store ------------------------------------------------------------------------------------


class Store:
    """Rows with versions from one counter, conditional transactions and a feed for each table."""

    def __init__(self, record):
        self.record = record
        self.rows, self.version, self.log = {}, 0, {}
        self.changed = asyncio.Event()
        self.refused = 0
        self.largest = 0
        self.server = Server(self.handle)

    def apply(self, writes, removes=()):
        self.version += 1
        for key, value in writes:
            self.rows[key] = (value, self.version)
            self.log.setdefault(key[0], []).append((self.version, key))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self.log.setdefault(key[0], []).append((self.version, key))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def platform_write(self, table, key, value):
        """A row of the platform or of the operator."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        return self.apply([((table, "", key), data)])

    def platform_remove(self, table, key):
        self.apply([], [(table, "", key)])

    def row_json(self, key, version=None):
        found = self.rows.get(key)
        table, part, name = key
        if found is None:
            return {"table": table, "part": part, "key": name, "schema_version": version, "deleted": True}
        return {"table": table, "part": part, "key": name, "value": found[0], "schema_version": found[1]}

    async def handle(self, method, path, headers, body):
        path, _, query = path.partition("?")
        q = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if path == "/v1/rows-tx":
            await asyncio.sleep(TX_S)
            return self.transaction(body)
        if path == "/v1/rows-get":
            return 200, self.page(q)
        if path == "/v1/rows-parts":
            parts = sorted({k[1] for k in self.rows if k[0] == q["table"]})
            return 200, {"parts": parts, "schema_version": self.version, "now_ms": now_ms()}
        if path == "/v1/rows-feed":
            return await self.feed(q)
        return 400, {}

    def transaction(self, body):
        tx = json.loads(body)
        key = lambda e: (e["table"], e.get("part", ""), e["key"])
        expected, writes, removes = (tx.get(f, []) for f in ("expected", "write", "remove"))
        if len(body) > CALL_BYTES or len(expected) + len(writes) + len(removes) > CALL_ENTRIES:
            self.refused += 1
            self.record.line(f"store: 400, a call of {len(body)} bytes")
            return 400, {"error": "the call is too large"}
        for w in writes:
            if w["table"] in ("op", "servers"):
                return 403, {}
            size = len(base64.b64decode(w["value"]))
            if w["table"] == "progress":
                self.largest = max(self.largest, size)
            if size > ROW_BYTES:
                self.refused += 1
                if self.refused <= 20 or self.refused % 100 == 0:
                    self.record.line(
                        f"store: 400, row {key(w)} of {size} bytes, call of {len(writes)} rows"
                        f" (refusal {self.refused})"
                    )
                return 400, {"error": "a value is larger than row_bytes"}
        if any(self.rows.get(key(e), (None, 0))[1] != e["schema_version"] for e in expected):
            rows = [self.row_json(key(e)) for e in expected if key(e) in self.rows]
            return 412, {"rows": rows, "schema_version": self.version, "now_ms": now_ms()}
        version = self.apply([(key(w), w["value"]) for w in writes], [key(r) for r in removes])
        return 200, {"schema_version": version, "now_ms": now_ms()}

    def page(self, q):
        table, part = q["table"], q.get("part", "")
        first, last = q.get("from", ""), q.get("target")
        limit = min(int(q.get("limit", "500")), 500)
        keys = sorted(
            k for k in self.rows
            if k[0] == table and k[1] == part and k[2] >= first and (not last or k[2] < last)
        )
        rows, size = [], 0
        for k in keys[:limit]:
            size += len(self.rows[k][0])
            if rows and size > CALL_BYTES:
                break
            rows.append(self.row_json(k))
        return {
            "rows": rows, "has_more": len(rows) < len(keys),
            "schema_version": self.version, "now_ms": now_ms(),
        }

    async def feed(self, q):
        table, after = q["table"], int(q.get("after", "0"))
        end = time.monotonic() + min(int(q.get("wait_ms", "0")), 30_000) / 1000
        while True:
            changes = []
            for entry in reversed(self.log.get(table, [])):
                if entry[0] <= after:
                    break
                changes.append(entry)
            if changes:
                changes.reverse()
                newest = {k: v for v, k in changes}
                rows, size, version = [], 0, self.version
                for v, k in changes:
                    if newest[k] != v:
                        continue
                    row = self.row_json(k, v)
                    size += len(row.get("value", ""))
                    if rows and (len(rows) >= 500 or size > CALL_BYTES) and v != version:
                        break
                    rows.append(row)
                    version = v
                else:
                    version = self.version
                return 200, {"rows": rows, "schema_version": version, "now_ms": now_ms()}
            left = end - time.monotonic()
            if left <= 0:
                return 200, {"rows": [], "schema_version": self.version, "now_ms": now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# --- runners --------------------------------------------------------------------------------------


class Run:
    def __init__(self, attempt, work_s, saved):
        self.attempt, self.work_s = attempt, work_s
        self.began = time.monotonic() + (RESTORE_S if saved else 0)
        self.before = int(saved, 16) / 1000 if saved else 0.0
        self.stopping = False

    def worked(self):
        return self.before + max(0.0, time.monotonic() - self.began)

    def percent(self):
        return 100 if self.work_s <= 0 else min(100, int(100 * self.worked() / self.work_s))


class Life:
    """One incarnation of a runner."""

    def __init__(self):
        self.id = "i-" + "".join(random.choice("0123456789abcdef") for _ in range(8))
        self.began = time.monotonic() - random.uniform(5, 500)
        self.fence, self.expires = 0, 0
        self.active, self.finished, self.closed, self.number = {}, [], {}, 0
        self.sequence = 0
        self.ended = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)


class Runner:
    """A machine with one runner; `work(task)` is (seconds of work, checkpointing)."""

    def __init__(self, cell, zone, rack, kind, cpu, mem):
        self.cell, self.zone, self.rack, self.kind = cell, zone, rack, kind
        self.cpu, self.mem = cpu, mem
        self.server = Server(self.handle)
        self.life, self.up, self.removals = Life(), False, []

    async def start(self):
        await self.server.start()
        self.up = True
        self.cell.lives[self.life.id] = self
        self.beat()

    def beat(self):
        self.life.sequence += 1
        self.cell.store.platform_write("servers", self.life.id, {
            "service": self.cell.service, "address": self.server.address, "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpu": 0},
            "labels": [self.kind, self.rack], "clock_ms": self.life.clock(), "sequence": self.life.sequence,
        })

    async def crash(self, down_s):
        """Everything that runs is gone, and a new runner comes at the same address."""
        self.tick()
        old, self.up = self.life, False
        self.server.stop()
        lost = sorted(old.active)
        self.cell.record.line(f"runner {old.id} crashes with {len(lost)} runs: {' '.join(lost)}")
        self.cell.lost.update(lost)
        old.active = {}
        removal = asyncio.create_task(self.remove_later(old.id))
        await asyncio.sleep(down_s)
        self.life = Life()
        self.server = Server(self.handle, port=self.server.port)
        await self.server.start()
        self.up = True
        self.cell.lives[self.life.id] = self
        self.beat()
        self.cell.record.line(f"runner {self.life.id} starts in the place of {old.id}")
        self.removals.append(removal)

    async def remove_later(self, id):
        """An entry is removed after three intervals of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.cell.store.platform_remove("servers", id)

    def end(self, task, how):
        life = self.life
        run = life.active.pop(task)
        life.number += 1
        life.closed[task] = max(life.closed.get(task, 0), run.attempt)
        saved = self.saved(task, run)
        life.finished.append([life.number, task, run.attempt, how, saved])
        self.cell.ends.append((task, run.attempt, how))
        self.cell.record.line(f"{life.id} run {task} attempt {run.attempt} ends {how}")
        life.ended.set()
        life.ended = asyncio.Event()

    def saved(self, task, run):
        if not self.cell.work(task)[1]:
            return ""
        steps = int(run.worked() / CHECKPOINT_S)
        return "%016x" % int(steps * CHECKPOINT_S * 1000) if steps else ""

    def tick(self):
        life = self.life
        if life.active and life.clock() > life.expires:
            for task in list(life.active):
                self.end(task, "lapsed")
        for task, run in list(life.active.items()):
            if not run.stopping and run.worked() >= run.work_s:
                self.end(task, "done")

    async def handle(self, method, path, headers, body):
        life = self.life
        if headers.get("x-expected-instance", life.id) != life.id:
            return 421, {}
        if method == "GET":
            return 200, {}
        order = json.loads(body)
        fence = order.get("fencing_token", 0)
        if fence < life.fence:
            return 409, {"clock_ms": life.clock(), "reason": "fence"}
        life.fence = fence
        if path == "/v1/run-start":
            return self.run_start(life, order)
        if path == "/v1/run-stop":
            return self.run_stop(life, order)
        if path == "/v1/hold":
            return await self.hold(life, order)
        return 400, {}

    def extend(self, life, order):
        until = order.get("expires_ms", 0)
        life.expires = max(life.expires, min(until, life.clock() + HOLD_MAX_MS))

    def run_start(self, life, order):
        task, attempt = order["task"], order["attempt"]
        clock = life.clock()
        if order["expires_ms"] <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self.extend(life, order)
        known = life.active.get(task)
        if known and known.attempt == attempt:
            return 200, {"clock_ms": clock}
        if known or attempt <= life.closed.get(task, 0):
            return 409, {"clock_ms": clock, "reason": "old"}
        work_s, _ = self.cell.work(task)
        life.active[task] = Run(attempt, work_s, order.get("checkpoint", ""))
        self.cell.starts.setdefault(task, []).append((time.monotonic(), attempt, life.id))
        self.cell.record.line(f"{life.id} run {task} attempt {attempt} starts")
        return 200, {"clock_ms": clock}

    def run_stop(self, life, order):
        task, attempt = order["task"], order["attempt"]
        life.closed[task] = max(life.closed.get(task, 0), attempt)
        run = life.active.get(task)
        if run and run.attempt <= attempt and not run.stopping:
            run.stopping = True

            def stopped():
                if self.life is life and task in life.active:
                    self.end(task, "stopped")

            asyncio.get_running_loop().call_later(STOP_S, stopped)
        return 200, {"clock_ms": life.clock()}

    async def hold(self, life, order):
        self.extend(life, order)
        acked = order.get("acked", 0)
        life.finished = [e for e in life.finished if e[0] > acked]
        if not life.finished and order.get("wait_ms", 0):
            try:
                await asyncio.wait_for(life.ended.wait(), min(order["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        active = [
            [task, run.attempt, self.saved(task, run), run.percent(), 0.0]
            for task, run in life.active.items()
        ]
        return 200, {"clock_ms": life.clock(), "active": active, "finished": life.finished[:500]}


# --- the cell -------------------------------------------------------------------------------------


class Cell:
    """Store, runners and instances."""

    def __init__(self, folder, runners, instances, work, cpu=16_000, mem=65_536, racks_of=6,
                 kind=lambda rack: "a"):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.mkdtemp(prefix="review2-")
        self.work, self.service = work, "tracker"
        self.lives, self.ends, self.starts, self.lost = {}, [], {}, set()
        self.store = Store(self.record)
        rack = lambda n: f"r-{n // racks_of}"
        self.runners = [
            Runner(self, f"zone-{'abcd'[n % 4]}", rack(n), kind(rack(n)), cpu, mem)
            for n in range(runners)
        ]
        self.count, self.procs, self.fronts, self.logs, self.loops = instances, [], [], [], []

    async def start(self, routes):
        await self.store.server.start()
        self.configure(7, routes)
        for runner in self.runners:
            await runner.start()
        self.loops = [asyncio.create_task(self.beats()), asyncio.create_task(self.ticks())]
        for n in range(self.count):
            self.start_instance(n)
        await self.until_ready()

    def configure(self, version, routes):
        """The operator writes a configuration."""
        self.store.platform_write("op", "config", {
            "version": version, "routes": routes,
            "services": [{
                "name": self.service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1",
                "tls": False, "admission_control": False, "standby": False,
            }],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 262144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        })

    def start_instance(self, n):
        # An address for each instance: the port of the metrics is the same on all machines.
        ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{n + 2}"
        front, ready, links = (free_port(ip) for _ in range(3))
        settings = {
            "id": f"edge-{n}", "domain": f"zone-{'abcd'[n % 4]}", "front": f"{ip}:{front}",
            "ready": f"{ip}:{ready}", "links": f"{ip}:{links}", "metrics": f"{ip}:9464",
            "share": 0.25, "link_mbps": 1000.0, "store": self.store.server.address,
            "cross_part": True, "advice": None, "hold_max_ms": HOLD_MAX_MS, "stop_ms": 900,
            "restore_ms": 600, "checkpoint_s": CHECKPOINT_S, "grace_ms": 6000, "keep_ms": 120000,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform",
                          "advice", "upkeep", "sharing"],
            "max_stretch_ms": 5000, "config_apply_ms": 2000,
        }
        path = os.path.join(self.temp, f"{n}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.temp, f"{n}.log"), "w")
        proc = subprocess.Popen(
            [PROGRAM, "serve"], cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
            env={"CURRANTGW_CONFIG": path, "PATH": os.environ.get("PATH", "")},
        )
        self.procs.append(proc)
        self.fronts.append((f"{ip}:{front}", f"{ip}:{ready}"))
        self.logs.append(log)

    async def until_ready(self):
        end = time.monotonic() + 10
        for _, ready in self.fronts:
            while True:
                got = await call(ready, "GET", "/v1/readyz", timeout=0.5)
                if got and got[0] == 200:
                    break
                if time.monotonic() > end:
                    raise RuntimeError("an instance does not become ready")
                await asyncio.sleep(0.1)

    async def beats(self):
        while True:
            for runner in self.runners:
                if runner.up:
                    runner.beat()
                await asyncio.sleep(HEARTBEAT_S / len(self.runners))

    async def ticks(self):
        while True:
            for runner in self.runners:
                if runner.up:
                    runner.tick()
            await asyncio.sleep(0.02)

    def log_lines(self, text, most=5):
        """Lines of the instances' logs with a text, for the reader of the record."""
        found = []
        for n in range(self.count):
            with open(os.path.join(self.temp, f"{n}.log")) as file:
                found += [f"log of edge-{n}: {line.strip()}" for line in file if text in line]
        return found[:most]

    def stop(self):
        for task in self.loops:
            task.cancel()
        for proc in self.procs:
            if proc.poll() is None:
                proc.send_signal(signal.SIGKILL)
        for proc in self.procs:
            proc.wait()
        for log in self.logs:
            log.close()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def job_id():
    return "%016x" % random.getrandbits(64)


class Client:
    """Submits jobs and asks for their state, as the pages tell: a retry after no answer, 502 or 504."""

    def __init__(self, cell):
        self.cell, self.jobs = cell, {}

    def front(self):
        return random.choice(self.cell.fronts)[0]

    async def submit(self, route, value, id=None, tries=5):
        id = id or job_id()
        for attempt in range(tries):
            got = await call(
                self.front(), "POST", route["path_prefix"] + id,
                {"Host": route["host"], "X-Deadline-Ms": "3000"}, value,
            )
            status = got[0] if got else None
            self.cell.record.line(f"client: POST {id} try {attempt + 1}: {status}")
            if status is not None and 200 <= status < 300:
                self.jobs[id] = (route, time.monotonic())
                return id
            if status in (400, 404, 413):
                return None
            await asyncio.sleep(0.5)
        return None

    async def state(self, id):
        route, _ = self.jobs[id]
        for _ in range(4):
            got = await call(
                self.front(), "GET", route["path_prefix"] + id,
                {"Host": route["host"], "X-Deadline-Ms": "3000"},
            )
            if got and got[0] == 200:
                return got[1]["state"]
            if got and got[0] == 410:
                return "410"
            await asyncio.sleep(0.2)
        return None


def route(name, priority, attempts, slack, latency_ms):
    return {
        "name": f"r-{name}", "host": f"{name}.example", "path_prefix": f"/{name}7/",
        "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": latency_ms,
        "priority": priority, "service": "tracker", "max_attempts": attempts, "slack_factor": slack,
    }


def run_case(main, folder):
    """Runs the coroutine function `main`, and exits with what it returns; with 2 if it could not run."""
    if not os.path.exists(PROGRAM):
        print("the program is not built")
        sys.exit(2)

    async def limited():
        return await asyncio.wait_for(main(), 118)

    try:
        code = asyncio.run(limited())
    except Exception as error:  # A fault of the case itself is not one of the program.
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)
