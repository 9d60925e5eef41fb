"""Stand-ins for the platform, its workers and its clients, and a deployment of real instances.

Everything runs on loopback addresses and the real clock, in one asyncio loop; the instances are
separate processes started with the command and the template of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Figures of sites/nieve-alta.toml.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "backMs": 250,
    "skewMaxMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryMinExtra": 58,
    "recoveryS": 12, "transitMs": 120, "reuseWindowS": 8.6, "fencingRequired": False,
    "leaseMs": 3000, "thawMs": 300,
}
ZONES = ["irazu", "poas", "barva"]
HEARTBEAT_S = 1.2
HOST = "ficu95.example"


def now():
    return time.monotonic()


record = None  # of this run; set by main()


def note(what, data, **fields):
    """Records a client's request, if it is one: probes of /readyz have no id."""
    m = re.search(rb"^(\w+ \S+).*?X-Ibisgate-Request-Id: (\w+)", data[:2000], re.S)
    if record and m:
        record.add(what, id=m.group(2).decode(), request=m.group(1).decode().replace(" ", ","),
                   **fields)


class Record:
    """What was sent, answered and run; written to record.txt beside the script."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.begun = now()
        self.lines = []

    def add(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.lines.append(f"{now() - self.begun:8.3f} {what} {text}")

    def write(self):
        with open(self.path, "w", encoding="utf-8") as f:
            f.write("\n".join(self.lines) + "\n")


# --- HTTP over raw streams ---------------------------------------------------------------------


class Head:
    def __init__(self, start, fields):
        self.start = start
        self.fields = fields

    def get(self, name, fallback=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return fallback


async def read_head(reader):
    """Next head, or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields.append((name.strip(), value.strip()))
    return Head(lines[0], fields)


async def read_chunks(reader, on_bytes=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]
        if on_bytes:
            on_bytes(data[:-2])


class Answer:
    """status 0: the connection failed; complete: the whole announced body has arrived; kept: sent
    on a channel that was in use before; left: the client's time limit ended it."""

    def __init__(self):
        self.status = 0
        self.head = None
        self.body = b""
        self.complete = False
        self.sent = now()
        self.first = None
        self.ended = None
        self.kept = False
        self.left = False

    @property
    def signature(self):
        return self.head.get("X-Ibisgate-Server-Signature") if self.head else None


async def read_answer(reader, answer, read_hook=None):
    while True:
        head = await read_head(reader)
        if head is None:
            return
        status = int(head.start.split(" ")[1])
        if status >= 200:
            break
    answer.head = head
    answer.status = status
    answer.first = now()

    def on_bytes(data):
        answer.body += data

    try:
        if (head.get("Transfer-Encoding") or "").lower() == "chunked":
            await read_chunks(reader, on_bytes)
        else:
            answer.body = await reader.readexactly(int(head.get("Content-Length", "0")))
        answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass


def request_bytes(method, path, request_id, wait_ms, body=b"", extra=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Ibisgate-Request-Id: {request_id}",
             f"X-Ibisgate-Deadline-Ms: {wait_ms}"]
    lines += [f"{k}: {v}" for k, v in extra]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def send_request(address, data, wait_s):
    """One request on a new connection, as a client's retry does it; waits until wait_s is over."""
    answer = Answer()
    writer = None
    note("sent", data, to=address[0])

    async def talk():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address, limit=1 << 24)
        writer.write(data)
        await writer.drain()
        await read_answer(reader, answer)

    try:
        await asyncio.wait_for(talk(), wait_s)
    except (asyncio.TimeoutError, OSError):
        pass
    answer.ended = now()
    note("answered", data, status=answer.status, complete=answer.complete, bytes=len(answer.body))
    if writer:
        writer.close()
    return answer


class Channels:
    """Channels that a client keeps open for its next requests."""

    def __init__(self):
        self.idle = {}

    async def send(self, address, data, wait_s):
        """Like send_request(), on a kept channel if there is one; answer.kept tells."""
        answer = Answer()
        note("sent", data, to=address[0])
        reader = writer = None
        while self.idle.get(address):
            reader, writer = self.idle[address].pop()
            if not reader.at_eof() and not writer.is_closing():
                answer.kept = True
                break
            writer.close()

        async def talk():
            nonlocal reader, writer
            if not answer.kept:
                reader, writer = await asyncio.open_connection(*address, limit=1 << 24)
            writer.write(data)
            await writer.drain()
            await read_answer(reader, answer)

        try:
            await asyncio.wait_for(talk(), wait_s)
        except asyncio.TimeoutError:
            answer.left = True
        except OSError:
            pass
        answer.ended = now()
        note("answered", data, status=answer.status, complete=answer.complete,
             bytes=len(answer.body), kept=answer.kept, left=answer.left)
        if answer.complete and (answer.head.get("Connection") or "").lower() != "close":
            self.idle.setdefault(address, []).append((reader, writer))
        elif writer:
            writer.close()
        return answer


def new_id():
    return f"{random.getrandbits(64):016x}"


# --- the platform's store ----------------------------------------------------------------------


class Store:
    """Rows with one counter of versions, linearizable; every answer takes ANSWER_S."""

    ANSWER_S = 0.004

    def __init__(self, ip):
        self.ip = ip
        self.rows = {}
        self.version = 1
        self.changed = asyncio.Event()
        self.allow = lambda peer_ip, target: True
        self.peers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        self.version += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows[(table, key)] = (self.version, data)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def remove(self, table, key):
        if self.rows.get((table, key), (0, None))[1] is None:
            return
        self.version += 1
        self.rows[(table, key)] = (self.version, None)
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key, entry):
        version, data = entry
        out = {"table": table, "part": "", "key": key, "schemaVersion": version}
        if data is None:
            out["deleted"] = True
        else:
            out["value"] = base64.b64encode(data).decode()
        return out

    def listing(self, table, source, limit):
        keys = sorted(k for (t, k), e in self.rows.items()
                      if t == table and e[1] is not None and k >= source)
        rows = [self.row(table, k, self.rows[(table, k)]) for k in keys[:limit]]
        return {"rows": rows, "hasMore": len(keys) > limit, "schemaVersion": self.version,
                "nowMs": int(now() * 1000)}

    async def feed(self, table, after, wait_ms):
        until = now() + wait_ms / 1000
        while True:
            found = sorted((e[0], k) for (t, k), e in self.rows.items()
                           if t == table and e[0] > after)
            if found or now() >= until:
                rows = [self.row(table, k, self.rows[(table, k)]) for _, k in found]
                return {"rows": rows, "schemaVersion": self.version, "nowMs": int(now() * 1000)}
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass

    def transact(self, request):
        for cond in request.get("precondition", []):
            entry = self.rows.get((cond["table"], cond["key"]), (0, None))
            version = 0 if entry[1] is None else entry[0]
            if version != cond["schemaVersion"]:
                return 412, {"rows": [self.row(cond["table"], cond["key"], entry)]
                             if entry[1] is not None else []}
        self.version += 1
        for put in request.get("puts", []):
            self.rows[(put["table"], put["key"])] = (self.version, base64.b64decode(put["value"]))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"schemaVersion": self.version, "nowMs": int(now() * 1000)}

    async def answer(self, head, body):
        method, target, _ = head.start.split(" ")
        url = urllib.parse.urlsplit(target)
        q = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-get":
            return 200, self.listing(q["table"], q.get("source", ""), int(q.get("limit", "500")))
        if url.path == "/rows-feed":
            return 200, await self.feed(q["table"], int(q["after"]), int(q.get("waitMs", "0")))
        if url.path == "/rows-tx" and method == "POST":
            return self.transact(json.loads(body))
        return 404, {}

    async def serve(self, reader, writer):
        self.peers.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await reader.readexactly(int(head.get("Content-Length", "0")))
                verdict = self.allow(peer, head.start)
                if verdict == "silent":
                    await asyncio.sleep(30)
                    break
                if not verdict:
                    break
                status, out = await self.answer(head, body)
                await asyncio.sleep(self.ANSWER_S)
                data = json.dumps(out).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.peers.discard(writer)
            writer.close()


# --- workers -----------------------------------------------------------------------------------


class Run:
    def __init__(self, worker, head, body):
        self.worker = worker
        self.id = head.get("X-Ibisgate-Request-Id")
        self.head = head
        self.body = body
        self.at = now()


class Worker:
    """A worker of a service; an engine where stage is given. Subclasses spoil its answers."""

    def __init__(self, dep, service, zone, stage=None, slots=64, work_s=0.015):
        self.dep = dep
        self.service = service
        self.zone = zone
        self.stage = stage
        self.slots = slots
        self.work_s = work_s
        self.event_s = 0.02
        self.ip = dep.next_ip()
        self.port = 0
        self.writers = set()
        self.handles = set()
        self.up = False
        self.ready = True
        self.beats = None

    async def start(self):
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.orders = 0
        self.busy = False
        self.handles = set()
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        self.up = True
        self.register()
        return self

    def register(self):
        self.seq += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": "ready" if self.ready else
                 "draining", "coldLeftMs": 0, "seq": self.seq, "born": self.born}
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.dep.store.put("servers", self.id, entry)

    def crash(self):
        """The process ends without a word; its entry expires after three missed heartbeats."""
        self.up = False
        self.server.close()
        for w in list(self.writers):
            w.transport.abort()
        self.writers.clear()
        gone = self.id
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, lambda: self.dep.store.remove("servers", gone))

    async def restart_after(self, seconds):
        await asyncio.sleep(seconds)
        await self.start()

    def signature(self, request_id):
        return f"{self.id[2:6]}.{request_id[:8]}"

    def answer_head(self, status, head, extra=()):
        rid = head.get("X-Ibisgate-Request-Id", "")
        lines = [f"HTTP/1.1 {status} X", f"X-Ibisgate-Request-Id: {rid}"]
        lines += [f"{k}: {v}" for k, v in extra]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def not_executed(self, writer, head, status):
        writer.write(self.answer_head(status, head, [("X-Ibisgate-Not-Executed", "1"),
                                                     ("X-Ibisgate-Instance-Id", self.id),
                                                     ("Content-Length", "0")]))

    def json_answer(self, writer, head, status, value):
        data = json.dumps(value).encode()
        writer.write(self.answer_head(status, head, [("Content-Type", "application/json"),
                                                     ("Content-Length", len(data))]) + data)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.up:
                head = await read_head(reader)
                if head is None:
                    break
                body = b""
                if len(head.start.split(" ")) != 3:
                    writer.write(b"HTTP/1.1 400 X\r\nX-Ibisgate-Not-Executed: 1\r\n"
                                 b"Connection: close\r\nContent-Length: 0\r\n\r\n")
                    break
                if (head.get("Transfer-Encoding") or "").lower() == "chunked":
                    body = await read_chunks(reader)
                elif head.get("Content-Length"):
                    body = await reader.readexactly(int(head.get("Content-Length")))
                if await self.handle(head, body, reader, writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, head, body, reader, writer):
        method, target, _ = head.start.split(" ")
        path = target.split("?")[0]
        if path == "/report":
            return self.json_answer(writer, head, 200, {
                "stage": self.stage or "decode", "models": [], "busy": self.busy,
                "seq": self.orders, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 561691,
                "kvHandles": len(self.handles), "born": self.born})
        if path == "/kv-events":
            return self.json_answer(writer, head, 200, {
                "epoch": self.id, "next": 0, "lost": False, "events": [], "born": self.born})
        if path.startswith("/kv-handle/"):
            self.handles.discard(path.split("/")[-1])
            return self.json_answer(writer, head, 200, {})
        if head.get("X-Ibisgate-Expect-Instance") not in (None, self.id):
            return self.not_executed(writer, head, 421)
        if path == "/order":
            return self.handle_order(head, json.loads(body), writer)
        if head.get("X-Ibisgate-Serving-Stage") == "prefill":
            if self.stage != "prefill":
                return self.not_executed(writer, head, 421)
            return await self.prefill(head, body, writer)
        if self.stage == "prefill":
            return self.not_executed(writer, head, 421)
        source = head.get("X-Ibisgate-Kv-Source")
        if source and not self.dep.take_handle(source):
            return self.not_executed(writer, head, 503)
        self.dep.runs.append(Run(self, head, body))
        self.dep.record.add("run", id=self.dep.runs[-1].id, worker=self.id, body_bytes=len(body))
        return await self.run(head, body, reader, writer)

    def handle_order(self, head, order, writer):
        if self.busy or order.get("precondition", self.orders) != self.orders:
            return self.json_answer(writer, head, 409, {})
        self.orders += 1
        self.busy = True
        asyncio.get_running_loop().create_task(self.change_stage(order["stage"]))
        return self.json_answer(writer, head, 202, {})

    async def change_stage(self, stage):
        await asyncio.sleep(3.0)
        self.stage = stage
        self.busy = False
        if self.up:
            self.register()

    async def prefill(self, head, body, writer):
        await asyncio.sleep(0.02)
        handle = f"{random.getrandbits(48):012x}"
        self.handles.add(handle)
        return self.json_answer(writer, head, 200, {"kvHandle": handle, "tokens": 1, "version": 1})

    async def run(self, head, body, reader, writer):
        if self.stage:
            return await self.stream(head, writer)
        await asyncio.sleep(self.work_s)
        data = (head.get("X-Ibisgate-Request-Id") + " by " + self.id).encode()
        writer.write(self.answer_head(200, head, [
            ("X-Ibisgate-Server-Signature", self.signature(head.get("X-Ibisgate-Request-Id"))),
            ("Content-Length", len(data))]) + data)

    def stream_head(self, head):
        return self.answer_head(200, head, [
            ("X-Ibisgate-Server-Signature", self.signature(head.get("X-Ibisgate-Request-Id"))),
            ("X-Ibisgate-Weight-Versions", "1"), ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")])

    async def stream(self, head, writer):
        rid = head.get("X-Ibisgate-Request-Id")
        first = int(head.get("Last-Event-Id", "0")) + 1
        count = int(head.get("X-Ibisgate-Token-Count", "1,9").split(",")[1])
        await asyncio.sleep(0.03)
        writer.write(self.stream_head(head))
        for k in range(first, count + 1):
            event = f"id: {k}\ndata: {rid}.{k}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")


def whole_stream(answer, request_id, count):
    """Whether a client has the whole stream of its own request."""
    text = "".join(f"id: {k}\ndata: {request_id}.{k}\n\n" for k in range(1, count + 1))
    return answer.status == 200 and answer.complete and answer.body.decode("latin-1") == text


# --- instances ---------------------------------------------------------------------------------


def render(template, scope):
    """The part of the template language of the deploy page that the template of this project uses."""

    def look(name, here):
        if name == ".":
            return here.get(".")
        value = here
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill(text, here):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def one(m):
            kind, name, inner = m.groups()
            value = look(name, here)
            if kind == "^":
                return "" if value else fill(inner, here)
            if isinstance(value, list):
                return "".join(fill(inner, {**here, ".": v, "@": i}) for i, v in enumerate(value))
            return fill(inner, here) if value else ""

        text = section.sub(one, text)

        def value_of(m):
            value = here.get("@") if m.group(1) == "@" else look(m.group(1), here)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.@]+)\}\}", value_of, text)

    return fill(template, scope)


class Instance:
    def __init__(self, dep, name, zone):
        self.dep = dep
        self.name = name
        self.zone = zone
        self.ip = dep.next_ip()
        self.process = None
        self.log = os.path.join(dep.folder, name + ".log")
        self.boots = 0

    @property
    def front(self):
        return (self.ip, self.dep.ports["front"])

    def write_settings(self, bootstrap):
        d = self.dep
        scope = {
            "nodeName": self.name, "zone": self.zone, "region": "cordillera", "ip": self.ip,
            "listen": {"frontAddress": f"{self.ip}:{d.ports['front']}",
                       "readyAddress": f"{self.ip}:{d.ports['ready']}",
                       "control": f"{self.ip}:{d.ports['control']}"},
            "internalPorts": [d.ports["peer"], d.ports["metrics"]],
            "seeds": [f"{i.ip}:{d.ports['control']}" for i in d.instances[:3]],
            "bootstrap": bootstrap, "bounds": BOUNDS,
            "platform": {"address": f"{d.store.ip}:{d.store.port}"},
        }
        path = os.path.join(d.folder, self.name + ".ini")
        with open(os.path.join(ROOT, d.role["template"]), encoding="utf-8") as f:
            text = render(f.read(), scope)
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        return path

    async def start(self, bootstrap=True):
        path = self.write_settings(bootstrap)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["IBISGATE_SETTINGS"] = path
        self.boots += 1
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.dep.role["run"].split(), cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()

    async def is_ready(self, wait_s=1.0):
        a = await send_request((self.ip, self.dep.ports["ready"]),
                               b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", wait_s)
        return a.status == 200

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as f:
                for line in f:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0


def default_config(version=1, idle_ms=15000):
    """The kinds of request of nieve-alta."""

    def route(name, kind, service, timeout, target, priority, attempts, resumable=False, gap=None):
        out = {"name": "r-" + name, "host": HOST, "prefix": f"/{name}/", "routeKind": kind,
               "timeoutMs": timeout, "latencyTargetMs": target, "priority": priority,
               "service": service, "maxAttempts": attempts, "resumable": resumable}
        if gap:
            out.update(gapTargetMs=gap, sticky=True)
        return out

    return {
        "version": version,
        "routes": [
            route("digest", "streaming", "report-writers", 5000, 600, 2, 2, True, 250),
            route("brief", "streaming", "report-writers", 3000, 500, 1, 1, False, 250),
            route("question", "streaming", "report-writers", 6000, 300, 0, 2, True, 250),
            route("booking", "non_idempotent", "desk-app", 800, 100, 2, 1),
            route("depth", "idempotent", "desk-app", 800, 100, 2, 2),
        ],
        "services": [
            {"name": "report-writers", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1",
             "tls": False, "engine": {
                 "slots": 64, "kvCapacity": 561691, "kvTokenBytes": 18432, "linkMbps": 240000.0,
                 "moves": True, "backups": True, "stride": 9, "most": 12, "kvHoldS": 5.0,
                 "switchS": 3.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": [{"name": "m"}]}},
            {"name": "desk-app", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1",
             "tls": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": idle_ms},
    }


class Deployment:
    """Store, workers and instances on addresses of 127.0.0.0/8 that belong to this run."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="ibisgate-review-")
        self.net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.hosts = 10
        self.runs = []
        self.workers = []
        self.instances = []
        self.tasks = []
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            self.role = tomllib.load(f)["roles"]["entry"]
        if not os.path.exists(os.path.join(ROOT, self.role["run"].split()[0])):
            raise FileNotFoundError(self.role["run"])
        self.store = Store(self.next_ip())

    def next_ip(self):
        self.hosts += 1
        return f"{self.net}.{self.hosts}"

    def choose_ports(self):
        """The ports are the same on all machines."""
        names = ["front", "ready", "control", "peer", "metrics"]
        socks = [socket.socket() for _ in names]
        for s in socks:
            s.bind((self.net + ".9", 0))
        self.ports = {n: s.getsockname()[1] for n, s in zip(names, socks)}
        for s in socks:
            s.close()

    def take_handle(self, source):
        address, handle = source.split("/")
        for w in self.workers:
            if w.up and w.address == address and handle in w.handles:
                w.handles.discard(handle)
                return True
        return False

    async def add_workers(self, workers):
        for w in workers:
            await w.start()
            self.workers.append(w)

    async def start_instances(self, zones):
        self.choose_ports()
        for i, zone in enumerate(zones):
            self.instances.append(Instance(self, f"edge-{zone}-{i + 1}", zone))
        for i in self.instances:
            await i.start()

    async def wait_ready(self, wait_s=10, instances=None):
        until = now() + wait_s
        for i in instances or self.instances:
            while not await i.is_ready():
                if now() > until:
                    raise RuntimeError(f"{i.name} is not ready")
                await asyncio.sleep(0.05)

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    def runs_of(self, request_id):
        return [r for r in self.runs if r.id == request_id]

    async def end(self):
        for t in self.tasks:
            t.cancel()
        for i in self.instances:
            await i.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play, limit_s=110):
    """Runs a case and exits as its script must: 1 broken, 0 held, 2 couldn't run."""
    global record
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        dep = Deployment(record)
        await dep.store.start()
        try:
            return await asyncio.wait_for(play(dep, record, trouble), limit_s)
        finally:
            await dep.end()

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as e:  # the case couldn't run
        record.add("could-not-run", error=repr(e))
        record.write()
        print(f"could not run: {e!r}")
        os._exit(2)
    record.add("verdict", trouble=trouble, broken=bool(broken))
    record.write()
    print(record.lines[-1])
    sys.stdout.flush()
    os._exit(1 if broken else 0)
