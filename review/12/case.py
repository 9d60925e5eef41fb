"""The store comes back from an older copy; the operator's next manifest follows at once."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))

import deployment  # noqa: E402
import store  # noqa: E402

ZONES = ["abertawe", "abertawe", "caerdydd", "casnewydd", "merthyr"]
SERVICES = ["spares-core", "spares-next"]
AWAY_S = 1.5
COPY_AGE_S = 6.0
# `stableWindowMs` and `configApplyMs`.
STABLE_S, APPLY_S = 3.0, 2.0
ROUNDS = 10


def manifest(version, routes):
    return deployment.manifest(version, routes, SERVICES)


def first_routes():
    return [deployment.route("order", "non_idempotent", "spares-core"),
            deployment.route("peek", "idempotent", "spares-core"),
            deployment.route("old", "idempotent", "spares-core")]


def next_routes():
    """Orders move to another service, and /old/ is dropped."""
    return [deployment.route("order", "non_idempotent", "spares-next"),
            deployment.route("peek", "idempotent", "spares-core")]


async def operator_writes(site, value):
    """Returns the time of the acknowledgement."""
    await site.store.put(store.OPERATOR, "op", "config", value)
    return time.monotonic()


async def case(site):
    for number in range(1, 5):
        await site.add_worker(number, "spares-core", ZONES[number])
    for number in range(5, 7):
        await site.add_worker(number, "spares-next", ZONES[number - 4])
    await operator_writes(site, manifest(7, first_routes()))
    await asyncio.sleep(1.0)
    site.start_instances(ZONES)
    await site.wait_ready()
    await asyncio.sleep(4.0)
    new = first_routes() + [deployment.route("new", "idempotent", "spares-core")]
    await operator_writes(site, manifest(9, new))
    await site.add_worker(7, "spares-core", ZONES[1])
    # Longer than the wait of a feed, so that all know the version of the worker's entry.
    await asyncio.sleep(4.5)
    for at in site.instances.values():
        if (await site.ask(at, "GET", "/new/x"))[1].status != 200:
            raise deployment.Unable("not served before")
    if deployment.TROUBLE:
        lost = await site.store.drill(COPY_AGE_S, AWAY_S)
        again = asyncio.ensure_future(site.store.write_again(lost, 0.1, 0.7))
        await asyncio.sleep(0.2)
    acked = await operator_writes(site, manifest(15, next_routes()))
    site.record("operator: version 15 is acknowledged")
    if deployment.TROUBLE:
        await again
    await asyncio.sleep(STABLE_S + APPLY_S + 0.5)
    broken = []
    for _ in range(ROUNDS):
        for at in site.instances.values():
            sent = time.monotonic()
            me, answer = await site.ask(at, "POST", "/order/x")
            for worker, _ in site.worker_that_ran(me):
                if worker.service != "spares-next":
                    broken.append("%.1f s after version 15 was acknowledged, %s has order %s run "
                                  "by %s" % (sent - acked, at["name"], me, worker.service))
            sent = time.monotonic()
            me, answer = await site.ask(at, "GET", "/old/x")
            if site.worker_that_ran(me):
                broken.append("%.1f s after version 15 was acknowledged, %s has %s run on the "
                              "route that it dropped" % (sent - acked, at["name"], me))
        await asyncio.sleep(0.7)
    return broken


deployment.main(case, HERE)
