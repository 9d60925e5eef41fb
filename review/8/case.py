"""Instances are stopped and started in turn; do the streams that they took come to their end?"""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))

import deployment  # noqa: E402
import http1  # noqa: E402

ZONES = ["abertawe", "caerdydd", "casnewydd", "merthyr"]
PREFILL = [1, 2]
DECODE = list(range(3, 19))
CHANNELS = 100
EVENTS = 12
EVENT_S = 0.39
TIMEOUT_S = 5.0
GRACE_S = 8.0
# With 10 ms for the way of the signal.
SENT_IN_TIME_S = 3.01

MANIFEST = {
    "version": 7,
    "routes": [{"name": "ask", "host": "h.example", "prefix": "/ask/", "routeKind": "streaming",
                "timeoutMs": 5000, "latencyTargetMs": 400, "priority": 0, "service": "llm-pool",
                "maxAttempts": 2, "sticky": True, "resumable": True, "gapTargetMs": 400}],
    "services": [{"name": "llm-pool", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1",
                  "tls": False,
                  "engine": {"slots": 64, "kvCapacity": 461856, "kvTokenBytes": 18432,
                             "linkMbps": 370000.0, "kvHoldS": 5.0, "switchS": 3.0, "most": 12,
                             "models": [{"name": "m"}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000}}


class Client:
    """Sends one stream after the other on a channel that it keeps open."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.at = site.instances[number]

    async def run(self, sent):
        # The first requests are spread over the length of a stream.
        await asyncio.sleep(random.random() * EVENTS * EVENT_S)
        writer = None
        try:
            reader, writer = await asyncio.open_connection(self.at["host"], self.at["front"])
            while await self.ask(reader, writer, sent):
                pass
        except OSError:
            pass
        finally:
            if writer:
                writer.close()

    async def ask(self, reader, writer, sent):
        me = self.site.new_id()
        text = ("POST /ask/q HTTP/1.1\r\nHost: h.example\r\nX-Ibisgate-Request-Id: %s\r\n"
                "X-Ibisgate-Model: m\r\nX-Ibisgate-Token-Count: 650,%d\r\n"
                "X-Ibisgate-Prefix-Hash: %08x:350,%s:300\r\nX-Ibisgate-Deadline-Ms: 5000\r\n"
                "Content-Length: 4\r\n\r\nask\n" % (me, EVENTS, 0xa0 + random.randrange(40),
                                                     me[-8:]))
        a = http1.Answer()
        r = {"id": me, "number": self.number, "sent": time.time(), "answer": a}
        writer.write(text.encode())
        await http1.read_answer(reader, a)
        r["ended"] = time.time()
        sent.append(r)
        self.site.record("client: %s to instance %d sent at %.3f, ended after %.3f s: status %d, %s" % (
            me, self.number, r["sent"] - self.site.started, r["ended"] - r["sent"], a.status,
            "complete" if a.complete else a.why))
        await asyncio.sleep(float(a.headers.get("retry-after", "0")))
        return a.complete and a.headers.get("connection") != "close"


def start_clients(site, numbers, sent):
    clients = [Client(site, n).run(sent) for n in numbers for _ in range(CHANNELS)]
    site.tasks += [asyncio.ensure_future(c) for c in clients]


async def stop_and_start(site, number, stopped):
    at = site.instances[number]
    site.record("trouble: SIGTERM for instance %d" % number)
    stopped.setdefault(number, []).append(time.time())
    at["process"].send_signal(signal.SIGTERM)
    while at["process"].poll() is None and time.time() < stopped[number][-1] + GRACE_S:
        await asyncio.sleep(0.01)
    site.record("instance %d ended %.3f s later" % (number, time.time() - stopped[number][-1]))
    at["process"].kill()
    at["process"].wait()
    site.start_instance(number)


async def case(site):
    for number in PREFILL + DECODE:
        site.start_worker(number, service="llm-pool", zone=ZONES[number % 4],
                          stage="prefill" if number in PREFILL else "decode", slots=64,
                          kv_token_bytes=18432, link_mbps=370000.0, event_s=EVENT_S)
    await site.store.put("op", "config", MANIFEST)
    await asyncio.sleep(1.5)
    site.start_instances(ZONES)
    await site.wait_ready()
    await asyncio.sleep(1)
    sent, stopped = [], {}
    start_clients(site, site.instances, sent)
    await asyncio.sleep(2 * EVENTS * EVENT_S)
    if deployment.TROUBLE:
        for number in 2 * list(site.instances):
            await stop_and_start(site, number, stopped)
            await asyncio.sleep(1 + random.random() / 10)
            start_clients(site, [number], sent)
    else:
        await asyncio.sleep(70)
    await asyncio.sleep(TIMEOUT_S)
    whole = sum(r["answer"].complete and r["answer"].status == 200 for r in sent)
    print("%d requests, %d answered with success" % (len(sent), whole))
    if whole < 0.9 * len(sent):
        raise deployment.Unable("under nine tenths are served")
    return [line for r in sent for line in check(site, r, stopped)]


def check(site, r, stopped):
    """LOST around a SIGTERM, with its excuses."""
    a = r["answer"]
    before = [t for t in stopped.get(r["number"], []) if t <= r["sent"]]
    if a.complete or not before or r["sent"] > before[-1] + GRACE_S + 1:
        return []
    at = before[-1]
    runs = [e for e in site.lines if e["what"] == "runs" and e["request"] == r["id"]]
    if not runs or r["ended"] - r["sent"] >= TIMEOUT_S:
        return []
    if r["sent"] - at <= SENT_IN_TIME_S:
        return []
    return ["%s, sent %.3f s after the SIGTERM of instance %d and run by %s, was cut after %.3f s" % (
        r["id"], r["sent"] - at, r["number"], runs[0]["worker"], r["ended"] - r["sent"])]


deployment.main(case, HERE)
