"""A small deployment on loopback: the store, workers, instances of ibisgate and its clients."""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http1
import store

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
PROGRAM = os.path.join(ROOT, "target", "ibisgated", "ibisgated")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, UNABLE = 0, 1, 2


class Unable(Exception):
    """The case could not run."""


def free_port(host):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((host, 0))
        return s.getsockname()[1]


class Site:
    def __init__(self, folder):
        self.started = time.time()
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.net = "127.%d.%d" % (random.randint(10, 200), random.randint(1, 250))
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.lines = []
        self.tasks = []
        self.store = store.Store(self.record)
        self.ids = itertools.count(1)
        self.workers = {}
        self.instances = {}
        self.peer_port = 0
        self.closing = False

    def host(self, number):
        return "%s.%d" % (self.net, number)

    def record(self, text):
        self.record_file.write("%8.3f %s\n" % (time.time() - self.started, text))

    async def start_store(self):
        await self.store.start(self.host(1))

    def spawn(self, args, on_line=None, **kwargs):
        p = subprocess.Popen(args, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                             cwd=ROOT, **kwargs)
        self.processes.append(p)
        self.tasks.append(asyncio.ensure_future(self.read_lines(p, on_line)))
        return p

    async def read_lines(self, p, on_line):
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=1 << 20)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), p.stdout)
        while True:
            line = await reader.readline()
            if not line:
                return
            if on_line:
                on_line(line.decode("utf-8", "replace").rstrip("\n"))

    def start_worker(self, number, **options):
        """Starts worker @number; a restart has a new id at the same address."""
        known = self.workers.get(number)
        if known:
            options = dict(known["options"], **options)
        o = {"host": self.host(100 + number), "store_host": self.host(1),
             "store_port": self.store.port, **options}
        o.setdefault("port", free_port(o["host"]))
        boot = known["boot"] + 1 if known else 1
        o["id"] = "i-%02d%02d" % (number, boot)

        def on_line(line):
            try:
                event = json.loads(line)
            except ValueError:
                self.record("worker %s says: %s" % (o["id"], line))
                return
            event["at"] = event.pop("t") - self.started
            self.lines.append(event)
            self.record("worker " + json.dumps(event, sort_keys=True))

        p = self.spawn([sys.executable, os.path.join(HERE, "worker.py"), json.dumps(o)], on_line)
        self.workers[number] = {"process": p, "options": o, "boot": boot}

    async def crash_worker(self, number, down_s, pings_s=3.6):
        """Kills a worker; its entry is removed after three ping intervals of silence."""
        w = self.workers[number]
        self.record("trouble: worker %s is killed, back in %.1f s" % (w["options"]["id"], down_s))
        w["process"].kill()
        w["process"].wait()
        old = w["options"]["id"]
        asyncio.get_running_loop().call_later(
            pings_s, lambda: asyncio.ensure_future(self.store.remove("servers", old)))
        await asyncio.sleep(down_s)
        if not self.closing:
            self.start_worker(number)

    def settings(self, number, zone, seeds):
        host = self.host(10 + number)
        ports = [free_port(host) for _ in range(3)]
        text = """[instance]
id = edge-%s-%d
data-centre = %s
region = de-cymru
log-level = info

[platform]
kind = rows
url = http://%s:%d

[http]
listen = %s:%d

[ready]
listen = %s:%d

[metrics]
listen = %s:%d

[peer]
listen = %s:%d

[seeds]
%s
[stages]
order-at-start = 0

[admission]
yield = 1

[bounds]
retry-ratio = 0.2
retry-fixed = 58
retry-window-ms = 10000
stop-grace-ms = 8000
change-ms = 2000
recovery-ms = 3000

[machine]
memory-mb = 390
descriptors = 6150
cpu-share = 0.38
link-mbps = 1500.0
""" % (zone, number, zone, self.host(1), self.store.port, host, ports[0], host, ports[1], host,
       ports[2], host, self.peer_port, "".join("seed-%d = %s:1\n" % s for s in enumerate(seeds)))
        return text, {"host": host, "front": ports[0], "ready": ports[1]}

    def start_instances(self, zones):
        """Starts one instance in each of @zones, all knowing the first three."""
        if not os.path.exists(PROGRAM):
            raise Unable("no program; build it with the command of the deploy file")
        self.peer_port = free_port(self.host(11))
        seeds = [self.host(11 + i) for i in range(min(3, len(zones)))]
        for i, zone in enumerate(zones):
            text, at = self.settings(i + 1, zone, seeds)
            at["path"] = os.path.join(self.tmp, "node-%d.ini" % (i + 1))
            with open(at["path"], "w") as f:
                f.write(text)
            self.instances[i + 1] = at
            self.start_instance(i + 1)

    def start_instance(self, number):
        at = self.instances[number]
        env = {"PATH": os.environ.get("PATH", ""), "IBISGATE_SETTINGS": at["path"]}
        at["process"] = self.spawn([PROGRAM], lambda line: self.record("instance " + line), env=env)

    async def wait_ready(self, timeout_s=15):
        until = time.time() + timeout_s
        for at in self.instances.values():
            while True:
                a = await http1.call(at["host"], at["ready"],
                                     b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
                if a.status == 200:
                    break
                if time.time() > until:
                    raise Unable("an instance is not ready")
                await asyncio.sleep(0.1)

    def new_id(self):
        return "%016x" % (0xc0de000000000000 + next(self.ids))

    async def close(self):
        self.closing = True
        for p in self.processes:
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.processes:
            p.wait()
        if self.tasks:
            _, left = await asyncio.wait(self.tasks, timeout=2)
            for task in left:
                self.record("still open at the end: %r" % task)
                task.cancel()
        for at in self.instances.values():
            os.unlink(at["path"])
        os.rmdir(self.tmp)
        self.record_file.close()


def main(case, folder):
    """Runs the coroutine function @case on a site; it returns a list of what broke the rule."""

    async def body():
        site = Site(folder)
        code = UNABLE
        try:
            await site.start_store()
            broken = await asyncio.wait_for(case(site), 110)
            for line in broken:
                site.record("BROKEN: " + line)
                print(line)
            code = BROKEN if broken else HELD
        # Whatever goes wrong in a case itself isn't a broken rule.
        except Exception as e:
            site.record("the case could not run: %r" % e)
            print("the case could not run: %r" % e)
        finally:
            site.record("result %d" % code)
            await site.close()
        return code

    sys.exit(asyncio.run(body()))
