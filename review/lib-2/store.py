"""The platform's metadata store: rows, transactions and the change feed."""

import asyncio
import base64
import json
import time
import urllib.parse

import http1


class Store:
    def __init__(self, record):
        self.rows = {}
        self.version = 100
        self.changes = []
        self.changed = asyncio.Condition()
        self.record = record
        self.port = 0

    async def start(self, host):
        self.server = await http1.serve(host, 0, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, table, key, value):
        """A write of the operator or of a worker; returns the version."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self.rows[(table, key)] = (base64.b64encode(raw).decode(), self.version)
        await self.note(table, key)
        return self.version

    async def remove(self, table, key):
        self.version += 1
        self.rows.pop((table, key), None)
        await self.note(table, key)
        return self.version

    async def note(self, table, key):
        self.changes.append((self.version, table, key))
        async with self.changed:
            self.changed.notify_all()

    def row(self, table, key):
        value, version = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "schemaVersion": version}

    def reply(self, writer, status, value):
        value["nowMs"] = int(time.monotonic() * 1000)
        value["schemaVersion"] = self.version
        body = json.dumps(value).encode()
        writer.write(http1.response(status, body, {"Content-Type": "application/json"}))

    async def handle(self, request, reader, writer):
        query = dict(urllib.parse.parse_qsl(request.query, keep_blank_values=True))
        if request.path == "/rows-get":
            self.get(query, writer)
        elif request.path == "/rows-feed":
            await self.feed(query, writer)
        elif request.path == "/rows-tx":
            await self.transact(json.loads(request.body), writer)
        elif request.path == "/standin-register":
            # How a worker of the stand-ins registers; not a call of the platform.
            await self.put("servers", query["id"], request.body)
            self.reply(writer, 200, {})
        else:
            self.reply(writer, 404, {})
        await writer.drain()
        return True

    def get(self, query, writer):
        first, last = query.get("source", ""), query.get("to")
        keys = sorted(k for t, k in self.rows if t == query["table"])
        keys = [k for k in keys if k >= first and (last is None or k < last)]
        limit = int(query.get("limit", 500))
        rows = [self.row(query["table"], k) for k in keys[:limit]]
        self.reply(writer, 200, {"rows": rows, "hasMore": len(keys) > limit})

    async def feed(self, query, writer):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            keys = list(dict.fromkeys(k for v, t, k in self.changes if t == table and v > after))
            left = until - time.monotonic()
            if keys or left <= 0:
                break
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for key in keys:
            last = max(v for v, t, k in self.changes if t == table and k == key)
            if (table, key) in self.rows:
                rows.append(self.row(table, key))
            else:
                rows.append({"table": table, "part": "", "key": key, "deleted": True,
                             "schemaVersion": last})
        rows.sort(key=lambda r: r["schemaVersion"])
        self.reply(writer, 200, {"rows": rows})

    async def transact(self, body, writer):
        await asyncio.sleep(0.005)
        named = [(p["table"], p["key"]) for p in body.get("precondition", [])]
        held = [self.rows.get(n, ("", 0))[1] for n in named]
        if held != [p["schemaVersion"] for p in body.get("precondition", [])]:
            rows = [self.row(*n) for n in named if n in self.rows]
            self.reply(writer, 412, {"rows": rows})
            return
        self.version += 1
        for p in body.get("puts", []):
            self.rows[(p["table"], p["key"])] = (p["value"], self.version)
            self.record("store: %s/%s written, version %d" % (p["table"], p["key"], self.version))
            await self.note(p["table"], p["key"])
        for p in body.get("remove", []):
            self.rows.pop((p["table"], p["key"]), None)
            await self.note(p["table"], p["key"])
        self.reply(writer, 200, {})
