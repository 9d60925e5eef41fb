"""An engine's answer to /kv-events has wrong bytes; see claim.txt."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import deployment as d  # noqa: E402

FAULTY_SHARE = 0.35  # of the engines: garble's share in the site file
SPOIL_SHARE = 0.02  # of their answers: garble's x in the site file
FAULT_S = 5.5  # garble's for_s in the site file
FAULTS_AT_S = (4.0, 13.0, 22.0)
ENGINES = 18
STREAMS_PER_S = 99.0
ORDERS_PER_S = 24.8
MEMORY_MB = {"irazu": 390, "poas": 780, "barva": 780}
WRONG = b'{"epoch":"1","next":5,"lost":false,"events":[' + b"{}," * 5000000 + b"{}]}"


class Engine(d.Worker):
    spoils = False
    answers = 0

    async def handle(self, head, body, reader, writer):
        Engine.answers += self.spoils
        is_events = head.start.startswith("GET /kv-events")
        if not self.spoils or not is_events or not self.is_due():
            return await super().handle(head, body, reader, writer)
        self.dep.record.add("spoiled", worker=self.id, answer="/kv-events", bytes=len(WRONG))
        writer.write(self.answer_head(200, head, [("Content-Type", "application/json"),
                                                  ("Content-Length", len(WRONG))]) + WRONG)

    def is_due(self):
        """At most SPOIL_SHARE of all their answers, of whatever kind."""
        if Engine.answers * SPOIL_SHARE < Engine.spoiled + 1:
            return False
        Engine.spoiled += 1
        return True

    spoiled = 0


async def play(dep, record, trouble):
    engines = [Engine(dep, "report-writers", d.ZONES[i % 3], "prefill" if i < 6 else "decode")
               for i in range(ENGINES)]
    desks = [d.Worker(dep, "desk-app", z, slots=6) for z in d.ZONES]
    dep.store.put("op", "config", d.default_config())
    await dep.add_workers(engines + desks)
    await dep.start_instances(["irazu", "irazu", "poas", "barva"])
    await dep.wait_ready()
    peak = {i.name: 0.0 for i in dep.instances}
    ends = []
    unanswered = []
    cut = []
    channels = d.Channels()
    begun = d.now()
    traffic_s = 31.0

    async def watch(inst):
        """The platform ends a process that has more memory than memoryMb and starts it again."""
        while True:
            mb = inst.resident_mb()
            peak[inst.name] = max(peak[inst.name], mb)
            if mb > MEMORY_MB[inst.zone]:
                record.add("memory-exceeded", at=inst.name, mb=int(mb),
                           limit=MEMORY_MB[inst.zone])
                ends.append(inst.name)
                inst.send_signal(signal.SIGKILL)
                await inst.process.wait()
                await asyncio.sleep(0.5)
                await inst.start(bootstrap=False)
            await asyncio.sleep(0.01)

    def judge(rid, inst, a, whole):
        """LOST: passed on to a sound worker, on a kept channel that closes without an answer."""
        runs = len(dep.runs_of(rid))
        if whole:
            return
        if a.kept and runs and not a.status and not a.left:
            unanswered.append(rid)
        elif runs and not a.left:
            cut.append(rid)
        record.add("not-served", id=rid, at=inst.name, kept=a.kept, left=a.left, status=a.status,
                   complete=a.complete, runs=runs)

    async def order(i):
        rid = d.new_id()
        inst = dep.instances[i % 4]
        a = await channels.send(inst.front, d.request_bytes("POST", "/booking/2f", rid, 1500,
                                                            b"x" * 600), 1.5)
        judge(rid, inst, a, a.status == 200 and a.complete)

    async def stream(i):
        rid = d.new_id()
        kind, wait, size = random.choice([("digest", 5000, 13), ("brief", 3000, 6),
                                          ("question", 6000, 19)])
        inst = dep.instances[i % 4]
        extra = [("X-Ibisgate-Model", "m"), ("X-Ibisgate-Token-Count", f"1460,{size}"),
                 ("X-Ibisgate-Prefix-Hash", f"5c1e07{i % 160:02x}:800,{rid[:8]}:660")]
        data = d.request_bytes("POST", f"/{kind}/2f", rid, wait, b"p" * 1500, extra)
        a = await channels.send(inst.front, data, wait / 1000)
        judge(rid, inst, a, d.whole_stream(a, rid, size))

    async def generate(per_s, make):
        i = 0
        while d.now() - begun < traffic_s:
            dep.spawn(make(i))
            i += 1
            await asyncio.sleep(random.expovariate(per_s))

    async def fault():
        for at in FAULTS_AT_S:
            await asyncio.sleep(max(0, begun + at - d.now()))
            bad = random.sample(engines, int(FAULTY_SHARE * ENGINES))
            record.add("fault-begins", workers=",".join(e.id for e in bad))
            for e in bad:
                e.spoils = trouble
            await asyncio.sleep(FAULT_S)
            for e in bad:
                e.spoils = False
            record.add("fault-ends", answers=Engine.answers, spoiled=Engine.spoiled)

    for inst in dep.instances:
        dep.spawn(watch(inst))
    dep.spawn(fault())
    await asyncio.gather(generate(STREAMS_PER_S, stream), generate(ORDERS_PER_S, order))
    await asyncio.sleep(7)
    record.add("memory", **{k.replace("-", "_"): int(v) for k, v in peak.items()})
    print(record.lines[-1])
    often = sum(ends.count(i.name) >= 3 for i in dep.instances)
    record.add("ends", processes=len(ends), machines_with_three=often,
               run_and_without_any_answer=len(unanswered), run_and_cut=len(cut))
    print(record.lines[-1])
    return len(unanswered) > 3 or often >= 2


d.main(HERE, play)
