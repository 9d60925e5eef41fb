"""The handle in an engine's answer to a prefill call ends with a line break; see claim.txt."""

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
    spoils = False
    answers = 0
    spoiled = 0

    async def prefill(self, head, body, writer):
        Engine.answers += self.spoils
        if not self.spoils or Engine.answers % round(1 / SPOIL_SHARE):
            return await super().prefill(head, body, writer)
        Engine.spoiled += 1
        await asyncio.sleep(0.02)
        handle = f"{random.getrandbits(48):012x}"
        self.handles.add(handle)
        self.dep.record.add("spoiled", worker=self.id, id=head.get("X-Ibisgate-Request-Id"),
                            handle=repr(handle + "\r\n"))
        return self.json_answer(writer, head, 200, {"kvHandle": handle + "\r\n", "tokens": 1460,
                                                    "version": 1})


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
    sent = {}
    answers = {}

    async def stream(i):
        rid = d.new_id()
        kind, wait, size = random.choice([("digest", 5000, 13), ("brief", 3000, 6),
                                          ("question", 6000, 19)])
        inst = dep.instances[i % 4]
        body = f"prompt of {rid} ".encode() * 50
        sent[rid] = body
        extra = [("X-Ibisgate-Model", "m"), ("X-Ibisgate-Token-Count", f"1460,{size}"),
                 ("X-Ibisgate-Prefix-Hash", f"5c1e07{i % 160:02x}:800,{rid[:8]}:660")]
        a = await d.send_request(inst.front, d.request_bytes("POST", f"/{kind}/2f", rid, wait,
                                                             body, extra), wait / 1000)
        answers[rid] = f"status={a.status} whole={d.whole_stream(a, rid, size)}"
        if not d.whole_stream(a, rid, size):
            record.add("stream-not-whole", id=rid, kind=kind, at=inst.name, status=a.status)

    async def generate():
        i = 0
        while d.now() - begun < traffic_s:
            dep.spawn(stream(i))
            i += 1
            await asyncio.sleep(random.expovariate(STREAMS_PER_S))

    async def fault():
        await asyncio.sleep(4.0)
        order = sorted(engines, key=lambda e: e.stage != "prefill")
        bad = order[:int(FAULTY_SHARE * ENGINES)]
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
    changed = [r for r in dep.runs if sent.get(r.id) != r.body]
    for r in changed:
        record.add("run-with-other-body", id=r.id, worker=r.worker.id,
                   sent_bytes=len(sent.get(r.id, b"")), run_bytes=len(r.body),
                   client_has=answers.get(r.id, "nothing").replace(" ", ","))
        print(record.lines[-1])
    record.add("runs", all=len(dep.runs), with_other_body=len(changed),
               spoiled_prefill_answers=Engine.spoiled)
    print(record.lines[-1])
    return bool(changed)


d.main(HERE, play)
