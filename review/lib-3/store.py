"""The platform's metadata store, with the drill in which it comes back from an older copy."""

import asyncio
import base64
import json
import time
import urllib.parse

import http1

OPERATOR, WORKER, SYSTEM = "operator", "worker", "system"


class Store:
    """@log: all writes of this era as (time, version, who, table, key, value or None)"""

    def __init__(self, record):
        self.record = record
        self.log = []
        self.version = 100
        self.era = 1
        self.away = False
        self.changed = asyncio.Condition()
        self.writers = set()
        self.back_at = 0.0
        self.port = 0

    async def start(self, host):
        self.server = await asyncio.start_server(self.on_connection, host, 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await http1.read_request(reader)
                if request is None or self.away:
                    break
                await self.handle(request, writer)
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def rows(self):
        """The newest write of each row, by (table, key)."""
        return {(w[3], w[4]): w for w in self.log}

    async def write(self, who, puts):
        """One transaction of @puts: (table, key, bytes or None)."""
        if self.away:
            raise ConnectionError("the store is away")
        self.version += 1
        for table, key, value in puts:
            self.log.append((time.monotonic(), self.version, who, table, key, value))
            self.record("store: era %d version %d: %s writes %s/%s%s" %
                        (self.era, self.version, who, table, key,
                         " (removed)" if value is None else ""))
        async with self.changed:
            self.changed.notify_all()
        return self.version

    async def put(self, who, table, key, value):
        return await self.write(who, [(table, key, json.dumps(value).encode())])

    async def remove(self, who, table, key):
        return await self.write(who, [(table, key, None)])

    async def drill(self, copy_age_s, away_s):
        """Away for @away_s, then back from a copy of @copy_age_s ago; returns the lost writes."""
        at = time.monotonic() - copy_age_s
        self.record("trouble: the store is away for %.1f s, and comes back from a copy %.1f s old" %
                    (away_s, copy_age_s))
        self.away = True
        async with self.changed:
            self.changed.notify_all()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        lost = [w for w in self.log if w[0] > at]
        self.log = [w for w in self.log if w[0] <= at]
        self.version = self.log[-1][1]
        self.era += 1
        self.away = False
        self.back_at = time.monotonic()
        self.record("trouble: the store is back in era %d at version %d; %d writes are lost" %
                    (self.era, self.version, len(lost)))
        return lost

    async def write_again(self, lost, operator_s, worker_s):
        """What the operator and the workers wrote: the newest of each row, so long after the return."""
        rows = sorted({(w[3], w[4]): w for w in lost}.values(), key=lambda w: w[1])
        for who, delay_s in ((OPERATOR, operator_s), (WORKER, worker_s)):
            await asyncio.sleep(max(self.back_at + delay_s - time.monotonic(), 0))
            for w in rows:
                if w[2] == who:
                    await self.write(who, [w[3:6]])

    def row(self, w):
        _, version, _, table, key, value = w
        row = {"table": table, "part": "", "key": key, "schemaVersion": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def reply(self, writer, status, value):
        value["nowMs"] = int(time.monotonic() * 1000)
        value["schemaVersion"] = self.version
        writer.write(http1.response(status, json.dumps(value).encode(),
                                    {"Content-Type": "application/json",
                                     "Store-Era": str(self.era)}))

    async def handle(self, request, writer):
        query = dict(urllib.parse.parse_qsl(request.query, keep_blank_values=True))
        if request.path == "/rows-get":
            self.get(query, writer)
        elif request.path == "/rows-feed":
            await self.feed(query, writer)
        elif request.path == "/rows-tx":
            await self.transact(json.loads(request.body), writer)
        else:
            self.reply(writer, 404, {})
        await writer.drain()

    def get(self, query, writer):
        first, last = query.get("source", ""), query.get("to")
        found = [w for (t, k), w in sorted(self.rows().items())
                 if t == query["table"] and w[5] is not None and k >= first and
                 (last is None or k < last)]
        limit = int(query.get("limit", 500))
        self.reply(writer, 200, {"rows": [self.row(w) for w in found[:limit]],
                                 "hasMore": len(found) > limit})

    async def feed(self, query, writer):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        if after > self.version:
            self.record("store: feed of %s after %d is answered 410" % (table, after))
            self.reply(writer, 410, {})
            return
        while True:
            if self.away:
                raise ConnectionError("the store is away")
            found = [w for w in self.rows().values() if w[3] == table and w[1] > after]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        found.sort(key=lambda w: w[1])
        self.reply(writer, 200, {"rows": [self.row(w) for w in found]})

    async def transact(self, body, writer):
        await asyncio.sleep(0.005)
        rows = self.rows()
        conditions = [((p["table"], p["key"]), p["schemaVersion"])
                      for p in body.get("precondition", [])]
        held = [rows.get(name) for name, _ in conditions]
        versions = [w[1] if w and w[5] is not None else 0 for w in held]
        if versions != [version for _, version in conditions]:
            self.reply(writer, 412, {"rows": [self.row(w) for w in held if w and w[5] is not None]})
            return
        puts = [(p["table"], p["key"], base64.b64decode(p["value"])) for p in body.get("puts", [])]
        await self.write(SYSTEM, puts)
        self.reply(writer, 200, {})
