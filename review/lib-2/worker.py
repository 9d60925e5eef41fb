"""One worker as a process of its own: a model engine or a plain service.

The options are a JSON object in the first argument. Each thing that happens is one line of JSON on
standard output. An engine keeps what it has read under a handle, which names the lowest free place
for such memory. A handle can be taken once; its place is free from then on.
"""

import asyncio
import json
import random
import sys
import time

import http1

HOLD_S = 5.0
SWITCH_S = 3.0
PING_S = 1.2


class Worker:
    def __init__(self, options):
        self.o = options
        self.id = options["id"]
        self.stage = options.get("stage", "")
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.busy_until = 0.0
        self.places = {}
        self.cached = {}
        self.events = []
        self.active = 0
        self.reading = asyncio.Lock()
        self.transfers = asyncio.Lock()
        self.slots = asyncio.Semaphore(options.get("slots", 64))
        self.draining = False

    def note(self, what, **fields):
        print(json.dumps({"t": time.time(), "worker": self.id, "what": what, **fields}), flush=True)

    async def register(self):
        entry = {"service": self.o["service"], "address": "%s:%d" % (self.o["host"], self.o["port"]),
                 "zone": self.o["zone"], "version": "v1", "slots": self.o.get("slots", 64),
                 "state": "draining" if self.draining else "ready", "coldLeftMs": 0,
                 "seq": 1, "born": self.born}
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        body = json.dumps(entry).encode()
        head = "PUT /standin-register?id=%s HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n"
        await http1.call(self.o["store_host"], self.o["store_port"],
                         (head % (self.id, len(body))).encode() + body, 2.0)

    async def run(self):
        server = await http1.serve(self.o["host"], self.o["port"], self.handle)
        await self.register()
        self.note("started", stage=self.stage)
        async with server:
            await server.serve_forever()

    def reply(self, request, writer, status, body=b"", signed=True, **extra):
        headers = {"X-Ibisgate-Request-Id": request.get("X-Ibisgate-Request-Id")}
        if signed:
            headers["X-Ibisgate-Server-Signature"] = "sig.%s" % self.id
        headers.update({k.replace("_", "-"): v for k, v in extra.items()})
        writer.write(http1.response(status, body, headers))

    def refuse(self, request, writer, why, status=503):
        self.note("refused", request=request.get("X-Ibisgate-Request-Id"), why=why)
        self.reply(request, writer, status, signed=False, X_Ibisgate_Not_Executed="1")
        return True

    async def handle(self, request, reader, writer):
        path = request.path
        if path == "/report":
            return self.report(writer)
        if path == "/kv-events":
            return self.kv_events(request, writer)
        if path == "/standin-take":
            return self.take(request, writer)
        if path.startswith("/kv-handle/"):
            handle = path.rsplit("/", 1)[1]
            held = self.places.pop(handle, None)
            self.note("freed", handle=handle, owner=held and held["owner"])
            writer.write(http1.response(200))
            return True
        if path == "/healthz":
            writer.write(http1.response(200, b"", {"X-Ibisgate-Instance-Id": self.id}))
            return True
        expected = request.get("X-Ibisgate-Expect-Instance")
        if expected and expected != self.id:
            return self.refuse(request, writer, "another instance", 421)
        if path == "/order":
            return self.order(request, writer)
        if not self.stage:
            return await self.run_call(request, writer)
        if time.monotonic() < self.busy_until:
            return self.refuse(request, writer, "changes its stage")
        if request.get("X-Ibisgate-Serving-Stage") == "prefill":
            if self.stage != "prefill":
                return self.refuse(request, writer, "wrong stage", 421)
            return await self.prefill(request, writer)
        if self.stage != "decode":
            return self.refuse(request, writer, "wrong stage", 421)
        return await self.stream(request, writer)

    def report(self, writer):
        value = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}],
                 "busy": time.monotonic() < self.busy_until, "seq": self.seq, "queued": 0,
                 "active": self.active, "kvUsed": 0, "kvTotal": 461856,
                 "kvHandles": len(self.places)}
        writer.write(http1.response(200, json.dumps(value).encode(),
                                    {"Content-Type": "application/json"}))
        return True

    def kv_events(self, request, writer):
        since = int(dict(p.split("=") for p in request.query.split("&")).get("since", 0))
        value = {"epoch": str(self.born), "next": len(self.events), "lost": False,
                 "events": self.events[since:]}
        writer.write(http1.response(200, json.dumps(value).encode(),
                                    {"Content-Type": "application/json"}))
        return True

    def order(self, request, writer):
        o = json.loads(request.body)
        status = 202
        if o.get("precondition", self.seq) != self.seq or time.monotonic() < self.busy_until:
            status = 409
        elif o["stage"] == self.stage:
            status = 200
        else:
            self.seq += 1
            self.busy_until = time.monotonic() + SWITCH_S
            asyncio.get_running_loop().call_later(
                SWITCH_S, lambda: asyncio.ensure_future(self.switch(o["stage"])))
        self.note("order", holder=o["holder"], fence=o["fencingToken"], stage=o["stage"],
                  status=status)
        writer.write(http1.response(status))
        return True

    async def switch(self, stage):
        self.stage = stage
        await self.register()

    def parts(self, request):
        out = []
        for text in request.get("X-Ibisgate-Prefix-Hash").split(","):
            part, _, tokens = text.strip().partition(":")
            if part:
                out.append((part, int(tokens)))
        return out

    async def read_prompt(self, request, rate):
        """Reads what is not cached of the prompt, in turn with other requests."""
        tokens, known = 0, True
        for part, n in self.parts(request):
            known = known and part in self.cached
            tokens += 0 if known else n
        async with self.reading:
            await asyncio.sleep(tokens / rate / 1000)
        for part, n in self.parts(request):
            if part not in self.cached:
                self.cached[part] = n
                self.events.append([len(self.events), "+", "", part, n, "m"])

    def new_handle(self):
        number = 0
        while "%012x" % number in self.places:
            number += 1
        return "%012x" % number

    async def prefill(self, request, writer):
        owner = request.get("X-Ibisgate-Request-Id")
        await self.read_prompt(request, 48.2)
        handle = self.new_handle()
        tokens = sum(n for _, n in self.parts(request))
        held = {"owner": owner, "tokens": tokens}
        self.places[handle] = held
        asyncio.get_running_loop().call_later(HOLD_S, self.lapse, handle, held)
        self.note("prefilled", request=owner, handle=handle)
        body = json.dumps({"kvHandle": handle, "tokens": tokens, "version": 1}).encode()
        self.reply(request, writer, 200, body, Content_Type="application/json")
        return True

    def lapse(self, handle, held):
        if self.places.get(handle) is held:
            del self.places[handle]

    def take(self, request, writer):
        """A worker fetches the memory under a handle; not checked for whom."""
        held = self.places.pop(request.query, None)
        if held:
            writer.write(http1.response(200, json.dumps(held).encode()))
        else:
            writer.write(http1.response(404))
        return True

    async def fetch(self, source):
        """Returns what is kept under the handle, after the transfer; None if it is gone."""
        address, _, handle = source.partition("/")
        host, _, port = address.partition(":")
        async with self.transfers:
            text = "POST /standin-take?%s HTTP/1.1\r\nHost: %s\r\n\r\n" % (handle, address)
            answer = await http1.call(host, int(port), text.encode(), 2.0)
            if answer.status != 200:
                return None
            held = json.loads(answer.body)
            bits = held["tokens"] * self.o["kv_token_bytes"] * 8
            await asyncio.sleep(0.004 + bits / (self.o["link_mbps"] * 1e6))
            return held

    async def stream(self, request, writer):
        me = request.get("X-Ibisgate-Request-Id")
        source = request.get("X-Ibisgate-Kv-Source")
        last = int(request.get("Last-Event-Id", "0"))
        count = int(request.get("X-Ibisgate-Token-Count").split(",")[1])
        async with self.slots:
            owner = me
            if source:
                held = await self.fetch(source)
                if not held:
                    return self.refuse(request, writer, "no memory under %s" % source)
                owner = held["owner"]
            else:
                await self.read_prompt(request, 24.1)
            self.note("runs", request=me, source=source, memory_of=owner, after_event=last)
            self.active += 1
            try:
                await self.make_events(request, writer, owner, last, count)
            finally:
                self.active -= 1
        return True

    async def make_events(self, request, writer, owner, last, count):
        """The tokens follow from the memory that the request goes on from."""
        head = ("HTTP/1.1 200 OK\r\nX-Ibisgate-Request-Id: %s\r\n"
                "X-Ibisgate-Server-Signature: sig.%s\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n")
        writer.write((head % (request.get("X-Ibisgate-Request-Id"), self.id)).encode())
        for k in range(last + 1, count + 1):
            text = "id: %d\ndata: %s.%d\n\n" % (k, owner, k)
            writer.write(("%x\r\n%s\r\n" % (len(text), text)).encode())
            await writer.drain()
            await asyncio.sleep(self.o["event_s"])
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def run_call(self, request, writer):
        me = request.get("X-Ibisgate-Request-Id")
        async with self.slots:
            self.note("runs", request=me, service=self.o["service"], target=request.target)
            await asyncio.sleep(self.o.get("work_s", 0.015))
        if random.random() < self.o.get("error_share", 0):
            self.reply(request, writer, 500, b"error")
            return True
        # What a HEAD request names here is empty.
        body = b"" if request.method == "HEAD" else ("done %s" % me).encode()
        self.reply(request, writer, 200, body)
        return True


if __name__ == "__main__":
    asyncio.run(Worker(json.loads(sys.argv[1])).run())
