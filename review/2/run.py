"""Engines send wrong event ids in some of their streams; see claim.txt."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import deployment as d  # noqa: E402

FAULTY_SHARE = 0.35  # of the engines: garble's share in the site file
SPOIL_SHARE = 0.02  # of their answers: garble's x in the site file
FAULT_S = 5.5  # garble's for_s in the site file
ENGINES = 18
STREAMS_PER_S = 99.0


class Engine(d.Worker):
    """
    A spoiled stream is whole but for its ids, by turns: from the fourth event on they stay the
    same, or one byte of the fourth event's id line is wrong.
    """

    spoils = False
    answers = 0
    spoiled = 0
    made = {}  # what was sent of the answer to each request, by its id

    async def stream(self, head, writer):
        Engine.answers += self.spoils
        spoil = self.spoils and Engine.answers % round(1 / SPOIL_SHARE) == 0
        rid = head.get("X-Ibisgate-Request-Id")
        first = int(head.get("Last-Event-Id", "0")) + 1
        count = int(head.get("X-Ibisgate-Token-Count").split(",")[1])
        body = b""
        if spoil:
            Engine.spoiled += 1
            self.dep.record.add("spoiled", worker=self.id, id=rid, events=count)
        await asyncio.sleep(0.03)
        writer.write(self.stream_head(head))
        for k in range(first, count + 1):
            line = f"id: {k}"
            if spoil and Engine.spoiled % 2:
                line = f"id: {min(k, 3)}"
            elif spoil and k == 4:
                line = f"id; {k}"
            event = f"{line}\ndata: {rid}.{k}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            body += event
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        Engine.made.setdefault(rid, []).append(body)


async def play(dep, record, trouble):
    engines = [Engine(dep, "report-writers", d.ZONES[i % 3], "prefill" if i < 6 else "decode")
               for i in range(ENGINES)]
    desks = [d.Worker(dep, "desk-app", z, slots=6) for z in d.ZONES]
    dep.store.put("op", "config", d.default_config())
    await dep.add_workers(engines + desks)
    await dep.start_instances(["irazu", "irazu", "poas", "barva"])
    await dep.wait_ready()
    begun = d.now()
    traffic_s = 12.0
    answers = {}

    async def stream(i):
        rid = d.new_id()
        kind, wait, size = random.choice([("digest", 5000, 13), ("brief", 3000, 6),
                                          ("question", 6000, 19)])
        inst = dep.instances[i % 4]
        extra = [("X-Ibisgate-Model", "m"), ("X-Ibisgate-Token-Count", f"1460,{size}"),
                 ("X-Ibisgate-Prefix-Hash", f"5c1e07{i % 160:02x}:800,{rid[:8]}:660")]
        a = await d.send_request(inst.front, d.request_bytes("POST", f"/{kind}/2f", rid, wait,
                                                             b"p" * 1500, extra), wait / 1000)
        answers[rid] = (kind, a)

    async def generate():
        i = 0
        while d.now() - begun < traffic_s:
            dep.spawn(stream(i))
            i += 1
            await asyncio.sleep(random.expovariate(STREAMS_PER_S))

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
        record.add("fault-ends", answers=Engine.answers, spoiled=Engine.spoiled)

    dep.spawn(fault())
    await generate()
    await asyncio.sleep(7)
    short = doubled = 0
    for rid, (kind, a) in answers.items():
        made = b"".join(Engine.made.get(rid, []))
        runs = len(dep.runs_of(rid))
        if a.status != 200 or not a.complete or not a.signature:
            continue
        twice = [k for k in range(1, 60) if a.body.count(f"{rid}.{k}\n".encode()) > 1]
        if twice:
            doubled += 1
            record.add("piece-comes-twice", id=rid, kind=kind, runs=runs, pieces=twice)
        elif runs == 1 and a.body != made:
            short += 1
            record.add("complete-but-not-whole", id=rid, kind=kind, runs=runs,
                       events_made=made.count(b"data:"), events_at_client=a.body.count(b"data:"))
        else:
            continue
        print(record.lines[-1])
    record.add("streams", all=len(answers), spoiled=Engine.spoiled, complete_but_not_whole=short,
               with_a_piece_twice=doubled)
    print(record.lines[-1])
    return short + doubled > 0


d.main(HERE, play)
