"""Engines send bytes that are no answer, without end, in short lines; see claim.txt."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import deployment as d  # noqa: E402

SPOIL_SHARE = 0.02  # of the answers of the faulty engines: garble's x in the site file
FAULT_S = 5.5
FAULTY_SHARE = 0.35  # of the engines: garble's share in the site file
ENGINES = 18
STREAMS_PER_S = 99.0
ORDERS_PER_S = 24.8


class Engine(d.Worker):
    """While it spoils, a share of its answers has bytes that are no event in its body."""

    spoils = False
    answers = 0

    async def stream(self, head, writer):
        Engine.answers += self.spoils
        if not self.spoils or Engine.answers % round(1 / SPOIL_SHARE):
            return await super().stream(head, writer)
        self.dep.record.add("spoiled", worker=self.id, id=head.get("X-Ibisgate-Request-Id"))
        writer.write(self.stream_head(head))
        dump = b"!\n" * 450000
        writer.write(b"%x\r\n%s\r\n" % (len(dump), dump))
        lines = b"2\r\n!\n\r\n" * 5000
        try:
            while self.up and not writer.transport.is_closing():
                writer.write(lines)
                await writer.drain()
                await asyncio.sleep(0.005)
        except ConnectionError:
            pass
        return False


async def play(dep, record, trouble):
    engines = [Engine(dep, "report-writers", d.ZONES[i % 3], "prefill" if i < 6 else "decode")
               for i in range(ENGINES)]
    desks = [d.Worker(dep, "desk-app", z, slots=6) for z in d.ZONES]
    dep.store.put("op", "config", d.default_config())
    await dep.add_workers(engines + desks)
    await dep.start_instances(["irazu", "irazu", "poas", "barva"])
    await dep.wait_ready()
    answers = []
    probes = []
    begun = d.now()
    traffic_s = 14.0

    async def order(i):
        rid = d.new_id()
        inst = dep.instances[i % 4]
        data = d.request_bytes("POST", "/booking/2f", rid, 1500, b"x" * 600)
        a = await d.send_request(inst.front, data, 1.5)
        answers.append((a.sent - begun, "booking", a, 0.8))
        record.add("order", id=rid, at=inst.name, status=a.status,
                   ms=int((a.ended - a.sent) * 1000), runs=len(dep.runs_of(rid)))

    async def stream(i):
        rid = d.new_id()
        kind, wait, size = random.choice([("digest", 5000, 13), ("brief", 3000, 6),
                                          ("question", 6000, 19)])
        inst = dep.instances[i % 4]
        extra = [("X-Ibisgate-Model", "m"), ("X-Ibisgate-Token-Count", f"1460,{size}"),
                 ("X-Ibisgate-Prefix-Hash", f"5c1e07{i % 160:02x}:800,{rid[:8]}:660")]
        data = d.request_bytes("POST", f"/{kind}/2f", rid, wait, b"p" * 1500, extra)
        a = await d.send_request(inst.front, data, wait / 1000)
        record.add("stream", id=rid, kind=kind, at=inst.name, status=a.status,
                   complete=a.complete, ms=int((a.ended - a.sent) * 1000))

    async def probe(inst):
        while True:
            t = d.now()
            ok = await inst.is_ready()
            probes.append(ok)
            if not ok:
                record.add("not-ready", at=inst.name)
            await asyncio.sleep(max(0, 1 - (d.now() - t)))

    async def generate(per_s, make):
        i = 0
        while d.now() - begun < traffic_s:
            dep.spawn(make(i))
            i += 1
            await asyncio.sleep(random.expovariate(per_s))

    async def fault():
        await asyncio.sleep(4.0)
        decode = [e for e in engines if e.stage == "decode"]
        decode.sort(key=lambda e: -sum(r.worker is e for r in dep.runs))
        bad = decode[:int(FAULTY_SHARE * ENGINES)]
        record.add("fault-begins", workers=",".join(e.id for e in bad))
        for e in bad:
            e.spoils = trouble
        await asyncio.sleep(FAULT_S)
        for e in bad:
            e.spoils = False
        record.add("fault-ends")

    for inst in dep.instances:
        dep.spawn(probe(inst))
    dep.spawn(fault())
    await asyncio.gather(generate(STREAMS_PER_S, stream), generate(ORDERS_PER_S, order))
    await asyncio.sleep(7)
    late = [a for t, k, a, limit in answers
            if a.first is None or a.first - a.sent > limit]
    lost = [a for t, k, a, limit in answers if a.first is None or a.first - a.sent > limit + 0.5]
    record.add("orders", sent=len(answers), unanswered_at_timeout=len(late),
               unanswered_half_a_second_later=len(lost), probes=len(probes),
               probes_without_200=probes.count(False))
    print(record.lines[-1])
    return len(late) >= 8 and len(lost) > len(late) / 2


d.main(HERE, play)
