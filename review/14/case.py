"""A worker leaves after the store has come back from an older copy."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))

import deployment  # noqa: E402
import store  # noqa: E402

ZONES = ["abertawe", "abertawe", "caerdydd", "casnewydd", "merthyr"]
AWAY_S = 1.0
COPY_AGE_S = 6.0
MANIFESTS, GAP_S = 8, 0.5
# `stableWindowMs` and `drainMs`.
STABLE_S, DRAIN_S = 3.0, 2.0
# Orders come so long after the worker's report; it exits a little later, while it is at work.
ORDERS_S, EXIT_S = DRAIN_S + 0.3, DRAIN_S + 0.38
ORDERS = 8
WORK_S = 0.1


async def manifests(site, first, count):
    for version in range(first, first + count):
        await site.store.put(store.OPERATOR, "op", "config", deployment.manifest(
            version, [deployment.route("order", "non_idempotent", "spares-core")],
            ["spares-core"]))
        await asyncio.sleep(GAP_S)


async def orders(site, count):
    """Sends @count orders to each instance at the same time; returns the ids and the answers."""
    return await asyncio.gather(*[site.ask(at, "POST", "/order/x")
                                  for at in site.instances.values() for _ in range(count)])


async def case(site):
    for number in range(1, 5):
        await site.add_worker(number, "spares-core", ZONES[number], work_s=WORK_S)
    await manifests(site, 7, 1)
    site.start_instances(ZONES)
    await site.wait_ready()
    await asyncio.sleep(3.0)
    await manifests(site, 10, MANIFESTS)
    leaver = await site.add_worker(5, "spares-core", ZONES[1], work_s=WORK_S)
    await asyncio.sleep(1.0)
    if deployment.TROUBLE:
        lost = await site.store.drill(COPY_AGE_S, AWAY_S)
        await site.store.write_again(lost, 0.1, 0.7)
    for _ in range(4):
        await orders(site, 2)
        await asyncio.sleep(0.3)
    if not leaver.runs:
        raise deployment.Unable("the worker was not used before it left")
    await asyncio.sleep(STABLE_S + 1.0)
    await leaver.report("draining")
    acked = time.monotonic()
    site.record("worker %s: the store has accepted that it is draining" % leaver.id)
    asyncio.get_running_loop().call_later(EXIT_S, leaver.exit)
    # Nobody orders anything for a while.
    await asyncio.sleep(ORDERS_S)
    sent = await orders(site, ORDERS)
    broken = []
    for me, answer in sent:
        for worker, at in site.worker_that_ran(me):
            if worker is leaver and at > acked + DRAIN_S:
                broken.append("%.2f s after the store accepted that it leaves, worker %s runs "
                              "order %s, answered %d" % (at - acked, leaver.id, me, answer.status))
    return broken


deployment.main(case, HERE)
