"""The holder of the usage duty is stopped as planned; then the store comes back from an older copy."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))

import deployment  # noqa: E402
import http1  # noqa: E402
import store  # noqa: E402

ZONES = ["lk-west-a", "lk-west-a", "lk-west-b", "lk-west-c"]
WINDOW_S = 5
AWAY_S = 1.0
# The copy is so much older than the stop; and at most so old, which is still "some seconds".
BEFORE_STOP_S, COPY_AGE_MAX_S = 1.0, 9.0
# What the rule excuses after an impairment of the platform, and some more.
STABLE_S = 4.0
JUDGED_FOR_S = 20.0


class Platform:
    """The platform's interface for calls that are the duty of one machine at a time."""

    def __init__(self, site):
        self.site = site
        self.calls = []

    async def start(self, host):
        self.server = await http1.serve(host, 0, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]

    async def handle(self, request, reader, writer):
        if request.method != "POST" or request.path != "/usage":
            writer.write(http1.response(404))
            return True
        body = json.loads(request.body)
        call = {"at": time.monotonic(), "holder": request.get("X-Ibisgate-Lease-Holder"),
                "fence": int(request.get("X-Ibisgate-Fencing-Token")),
                "window": body["windowId"], "counts": body["counts"]}
        self.calls.append(call)
        self.site.record("platform: usage of window %d from %s with fence number %d: %s" %
                         (call["window"], call["holder"], call["fence"], call["counts"]))
        writer.write(http1.response(200))
        return True


async def wait_for(what, condition, timeout_s):
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            raise deployment.Unable("no " + what)
        await asyncio.sleep(0.02)


async def traffic(site, stop):
    """Both tenants ask all instances that are up, some 20 requests a second."""
    for n in range(100000):
        if stop.is_set():
            return
        at = list(site.instances.values())[n % len(site.instances)]
        if at["process"].poll() is None and not at.get("stopping"):
            key = ("k-one", "k-two")[n // len(site.instances) % 2]
            await site.ask(at, "GET", "/peek/x", "Authorization: Token %s\r\n" % key)
        await asyncio.sleep(0.04)


async def case(site):
    platform = Platform(site)
    await platform.start(site.host(2))
    site.change_ms, site.recovery_ms, site.retry_fixed = 3000, 4000, 210
    site.more_settings = ("\n[duties]\napi = %s:%d\nkinds = usage_report,autoscale\n"
                          "calls-per-s = 50.0\nlease-ms = 3000\nusage-window-s = 5\n"
                          "usage-late-s = 10\n" % (site.host(2), platform.port))
    for number in range(1, 4):
        await site.add_worker(number, "vend-api", ZONES[number])
    await site.store.put(store.OPERATOR, "op", "config", deployment.manifest(
        7, [deployment.route("peek", "idempotent", "vend-api")], ["vend-api"],
        tenants=[{"name": "one", "apiKeys": ["k-one"]}, {"name": "two", "apiKeys": ["k-two"]}]))
    site.start_instances(ZONES)
    await site.wait_ready()
    stop = asyncio.Event()
    sender = asyncio.ensure_future(traffic(site, stop))
    await wait_for("usage report", lambda: len(platform.calls) >= 2, 25)
    first = platform.calls[-1]["holder"]
    # Reports come 1.5 s after a window's end; the stop is between two of them.
    await asyncio.sleep(1.5)
    at = site.instances[first]
    at["stopping"] = True
    stop_at = time.monotonic()
    stopped = asyncio.ensure_future(site.stop_instance(first))
    await wait_for("report of the next holder", lambda: platform.calls[-1]["holder"] != first, 15)
    second = platform.calls[-1]
    back = time.monotonic()
    if deployment.TROUBLE:
        age = time.monotonic() - stop_at + BEFORE_STOP_S
        if age > COPY_AGE_MAX_S:
            raise deployment.Unable("the next holder came too late")
        await site.store.drill(age, AWAY_S)
        back = time.monotonic()
    await asyncio.sleep(STABLE_S + JUDGED_FOR_S)
    stop.set()
    await sender
    await stopped
    broken = []
    highest = 0
    owner = {}
    for call in platform.calls:
        late = call["at"] > back + STABLE_S
        text = "%.1f s after the return, %s reports window %d with fence number %d" % (
            call["at"] - back, call["holder"], call["window"], call["fence"])
        if late and call["fence"] < highest:
            broken.append("%s; %d came before" % (text, highest))
        if late and owner.setdefault(call["fence"], call["holder"]) != call["holder"]:
            broken.append("%s, which %s has used" % (text, owner[call["fence"]]))
        owner.setdefault(call["fence"], call["holder"])
        highest = max(highest, call["fence"])
    if not any(call["at"] > back + STABLE_S for call in platform.calls):
        raise deployment.Unable("no report to judge; the last came from %s" % second["holder"])
    return broken


deployment.main(case, HERE)
