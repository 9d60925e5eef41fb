"""Two requests crash each worker that begins to run them, and come again; see claim.txt."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import deployment as d  # noqa: E402

ENGINES = 18
STREAMS_PER_S = 60.0
LOOKUPS_PER_S = 10.0
ORDERS_PER_S = 24.8
DOWN_S = 2.0  # "the worker is back after some seconds"
PROMPT = b"the prompt that crashes engines " * 50
LOOKUP = "/depth/station-7731"


class Deadly:
    """A request that comes again each again_s, by turns at each machine."""

    def __init__(self, name, again_s):
        self.name = name
        self.again_s = again_s
        self.crashes = []
        self.sent = []

    def retries(self, dep):
        """Those that reached workers later than stableWindowMs after the third crash."""
        if len(self.crashes) < 3:
            return 0
        from_s = self.crashes[2] + d.BOUNDS["stableWindowMs"] / 1000
        return sum(at > from_s and len(dep.runs_of(rid)) > 0 for at, rid in self.sent)


stream_deadly = Deadly("stream", 3.0)
lookup_deadly = Deadly("lookup", 4.0)


class Worker(d.Worker):
    async def run(self, head, body, reader, writer):
        deadly = (stream_deadly if body == PROMPT else
                  lookup_deadly if head.start.split(" ")[1] == LOOKUP else None)
        if not deadly or not self.dep.trouble:
            return await super().run(head, body, reader, writer)
        deadly.crashes.append(d.now())
        self.dep.record.add("crash", by=deadly.name, n=len(deadly.crashes), worker=self.id,
                            id=head.get("X-Ibisgate-Request-Id"))
        self.crash()
        self.dep.spawn(self.restart_after(DOWN_S))
        return False


def generation(kind, wait, size, rid, body, thing):
    extra = [("X-Ibisgate-Model", "m"), ("X-Ibisgate-Token-Count", f"4180,{size}"),
             ("X-Ibisgate-Prefix-Hash", f"5c1e0{thing}:2520,{rid[:8]}:1660")]
    return d.request_bytes("POST", f"/{kind}/2f", rid, wait, body, extra)


async def play(dep, record, trouble):
    dep.trouble = trouble
    engines = [Worker(dep, "report-writers", d.ZONES[i % 3], "prefill" if i < 6 else "decode")
               for i in range(ENGINES)]
    desks = [Worker(dep, "desk-app", z, slots=6) for z in d.ZONES]
    dep.store.put("op", "config", d.default_config())
    await dep.add_workers(engines + desks)
    await dep.start_instances(["irazu", "irazu", "poas", "barva"])
    await dep.wait_ready()
    begun = d.now()
    traffic_s = 45.0
    lost = []

    async def stream(i):
        rid = d.new_id()
        kind, wait, size = random.choice([("digest", 5000, 13), ("brief", 3000, 6),
                                          ("question", 6000, 19)])
        inst = dep.instances[i % 4]
        a = await d.send_request(inst.front, generation(kind, wait, size, rid, rid.encode() * 90,
                                                        i % 4), wait / 1000)
        if dep.runs_of(rid) and not d.whole_stream(a, rid, size):
            lost.append(rid)
            record.add("run-and-not-served", id=rid, kind=kind, at=inst.name, status=a.status)

    async def call(i, method, path, body):
        rid = d.new_id()
        inst = dep.instances[i % 4]
        a = await d.send_request(inst.front, d.request_bytes(method, path, rid, 1500, body), 1.5)
        if dep.runs_of(rid) and not (a.status == 200 and a.complete):
            lost.append(rid)
            record.add("run-and-not-served", id=rid, path=path, at=inst.name, status=a.status)

    async def come_again(deadly, make):
        await asyncio.sleep(4.0)
        i = 0
        while d.now() - begun < traffic_s - 3:
            rid = d.new_id()
            inst = dep.instances[i % 4]
            deadly.sent.append((d.now(), rid))
            a = await d.send_request(inst.front, make(rid), 3.0)
            record.add("deadly", name=deadly.name, id=rid, at=inst.name, status=a.status,
                       complete=a.complete, runs=len(dep.runs_of(rid)))
            i += 1
            await asyncio.sleep(deadly.again_s)

    async def generate(per_s, make):
        i = 0
        while d.now() - begun < traffic_s:
            dep.spawn(make(i))
            i += 1
            await asyncio.sleep(random.expovariate(per_s))

    dep.spawn(come_again(stream_deadly,
                         lambda rid: generation("brief", 3000, 6, rid, PROMPT, 0)))
    dep.spawn(come_again(lookup_deadly, lambda rid: d.request_bytes("GET", LOOKUP, rid, 1500)))
    await asyncio.gather(
        generate(STREAMS_PER_S, stream),
        generate(LOOKUPS_PER_S, lambda i: call(i, "GET", f"/depth/{random.randrange(5000)}", b"")),
        generate(ORDERS_PER_S, lambda i: call(i, "POST", "/booking/2f", b"x" * 600)))
    await asyncio.sleep(6)
    broken = False
    for deadly in (stream_deadly, lookup_deadly):
        n = deadly.retries(dep)
        record.add("deadly-sum", name=deadly.name, crashes=len(deadly.crashes),
                   retries_that_reached_workers=n, allowed=3)
        print(record.lines[-1])
        broken = broken or n > 3
    record.add("others", run_and_not_served=len(lost))
    print(record.lines[-1])
    return broken


d.main(HERE, play)
