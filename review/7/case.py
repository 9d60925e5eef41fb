"""The manifest grows by routes with long prefixes; does each service get its own requests?"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))

import deployment  # noqa: E402
import http1  # noqa: E402

ZONES = ["abertawe", "caerdydd", "casnewydd", "merthyr"]
APPLY_S = 2.0

# Of the site file for `stock-peek`: a worker's own 500, which counts as run.
ERROR_SHARE = 0.14

# A path as a reverse proxy of several firms may have it; 135 bytes.
FOLDER = ("/cymdeithas-darnau-gwasg-cyf/trade-counters/de-cymru/abertawe/tortilla-presses/"
          "heating-platens-and-press-rings/spares/application/api/")


def route(name, prefix, kind, service, attempts):
    return {"name": name, "host": "h.example", "prefix": prefix, "routeKind": kind,
            "timeoutMs": 600, "latencyTargetMs": 100, "priority": 2, "service": service,
            "maxAttempts": attempts}


def service(name):
    return {"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1",
            "tls": False}


FIRST = [route("peek", "/peek/", "idempotent", "stock-core", 2),
         route("order", "/order/", "non_idempotent", "order-core", 1)]
ADDED = [route("peek-2", FOLDER + "stock/", "idempotent", "stock-core", 2),
         route("order-2", FOLDER + "orders/", "non_idempotent", "order-core", 1)]


def manifest(version, routes):
    return {"version": version, "routes": routes,
            "services": [service("stock-core"), service("order-core")],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


async def send(site, number, method, path, sent):
    me = site.new_id()
    at = site.instances[number]
    text = ("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Ibisgate-Request-Id: %s\r\n"
            "X-Ibisgate-Deadline-Ms: 600\r\nContent-Length: 0\r\n\r\n" % (method, path, me))
    sent[me] = path
    site.record("client: sends %s %s as %s to instance %d" % (method, path, me, number))
    a = await http1.call(at["host"], at["front"], text.encode(), 2.0)
    site.record("client: %s has status %d" % (me, a.status))
    return a


async def round_of(site, prefixes, sent):
    answers = []
    for i in range(40):
        number = 1 + i % len(ZONES)
        answers.append(await send(site, number, "GET", prefixes[0] + "%d" % i, sent))
        answers.append(await send(site, number, "POST", prefixes[1] + "%d" % i, sent))
    return sum(a.status == 200 for a in answers)


async def case(site):
    for number in range(1, 5):
        site.start_worker(number, service="stock-core", zone=ZONES[number % 4], slots=6,
                          error_share=ERROR_SHARE)
        site.start_worker(4 + number, service="order-core", zone=ZONES[number % 4], slots=6)
    await site.store.put("op", "config", manifest(7, FIRST))
    await asyncio.sleep(1.5)
    site.start_instances(ZONES)
    await site.wait_ready()
    sent = {}
    if await round_of(site, ("/peek/", "/order/"), sent) < 60:
        raise deployment.Unable("under three quarters are served before the change")
    if deployment.TROUBLE:
        site.record("trouble: the manifest grows by two routes with prefixes of %d and %d bytes" %
                    tuple(len(r["prefix"]) for r in ADDED))
        await site.store.put("op", "config", manifest(12, FIRST + ADDED))
        await asyncio.sleep(APPLY_S + 1)
        await round_of(site, [r["prefix"] for r in ADDED], sent)
    else:
        await round_of(site, ("/peek/", "/order/"), sent)
    await asyncio.sleep(0.5)
    broken, runs = [], {}
    for e in site.lines:
        if e["what"] != "runs":
            continue
        runs[e["request"]] = runs.get(e["request"], 0) + 1
        owner = "order-core" if "order" in sent[e["request"]].rsplit("/", 2)[1] else "stock-core"
        if e["service"] != owner:
            broken.append("%s runs %s %s, which only %s may run" % (
                e["service"], e["request"], e["target"], owner))
    twice = [r for r, n in runs.items() if n > 1 and "order" in sent[r].rsplit("/", 2)[1]]
    print("%d requests, %d runs by the wrong service, %d orders run twice" % (
        len(sent), len(broken), len(twice)))
    return broken[:5] + ["order %s ran twice" % r for r in twice]


deployment.main(case, HERE)
