"""A small deployment on loopback: the store, workers, instances of ibisgate and their clients."""

import asyncio
import itertools
import json
import os
import random
import shutil
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


def route(name, kind, service, **more):
    return dict({"name": name, "host": "h.example", "prefix": "/%s/" % name, "routeKind": kind,
                 "timeoutMs": 600, "latencyTargetMs": 100, "priority": 2, "service": service,
                 "maxAttempts": 2 if kind == "idempotent" else 1}, **more)


def manifest(version, routes, services, **more):
    return dict({"version": version, "routes": routes,
                 "services": [{"name": name, "healthPath": "/healthz", "maxConns": 110,
                               "protocol": "h1", "tls": False} for name in services],
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}, **more)


class Worker:
    """A plain worker that writes its entry itself and notes what it runs."""

    def __init__(self, site, number, service, zone, work_s=0.015):
        self.site = site
        self.work_s = work_s
        self.writers = set()
        self.gone = False
        self.id = "i-%04x" % (0x7f00 + number)
        self.host = site.host(100 + number)
        self.service, self.zone = service, zone
        self.born = int(time.time() * 1000)
        self.state = None
        self.runs = []

    async def start(self):
        self.server = await http1.serve(self.host, 0, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]

    async def report(self, state):
        """Writes the entry; the store's answer is the acknowledgement."""
        self.state = state
        return await self.site.store.put(store.WORKER, "servers", self.id, {
            "service": self.service, "address": "%s:%d" % (self.host, self.port),
            "zone": self.zone, "version": "v1", "slots": 6, "state": state, "coldLeftMs": 0,
            "seq": 1, "born": self.born})

    def answer(self, request, writer, status, body, **fields):
        headers = {"X-Ibisgate-Request-Id": request.get("X-Ibisgate-Request-Id")}
        if self.state != "ready":
            headers["Server-Leaving"] = "1"
        headers.update({name.replace("_", "-"): value for name, value in fields.items()})
        writer.write(http1.response(status, body, headers))

    def exit(self):
        self.site.record("worker %s exits with %d requests at work" % (self.id, len(self.writers)))
        self.gone = True
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def handle(self, request, reader, writer):
        if self.gone:
            return False
        if request.get("X-Ibisgate-Expect-Instance", self.id) != self.id:
            self.answer(request, writer, 421, b"", X_Ibisgate_Not_Executed="1")
            return True
        me = request.get("X-Ibisgate-Request-Id")
        self.runs.append((time.monotonic(), me))
        self.site.record("worker %s (%s) runs %s %s as %s" % (self.id, self.service, request.method,
                                                             request.target, me))
        self.writers.add(writer)
        await asyncio.sleep(self.work_s)
        self.writers.discard(writer)
        self.answer(request, writer, 200, ("done %s" % me).encode(),
                    X_Ibisgate_Server_Signature="sig.%s.%s" % (self.id, me))
        return True


class Site:
    def __init__(self, folder):
        self.started = time.monotonic()
        self.record_file = open(os.path.join(folder, "record.txt"), "w")
        self.net = "127.%d.%d" % (random.randint(10, 200), random.randint(1, 250))
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.tasks = []
        self.store = store.Store(self.record)
        self.ids = itertools.count(1)
        self.workers = {}
        self.instances = {}
        self.more_settings = ""
        self.change_ms, self.recovery_ms, self.retry_fixed = 2000, 3000, 58

    def host(self, number):
        return "%s.%d" % (self.net, number)

    def record(self, text):
        self.record_file.write("%8.3f %s\n" % (time.monotonic() - self.started, text))

    async def start_store(self):
        await self.store.start(self.host(1))

    async def add_worker(self, number, service, zone, **options):
        w = self.workers[number] = Worker(self, number, service, zone, **options)
        await w.start()
        await w.report("ready")
        return w

    def worker_that_ran(self, request_id):
        """(worker, time) for each run of the request."""
        return [(w, at) for w in self.workers.values() for at, i in w.runs if i == request_id]

    async def read_lines(self, p, on_line):
        reader = asyncio.StreamReader(limit=1 << 20)
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), p.stdout)
        while True:
            line = await reader.readline()
            if not line:
                return
            on_line(line.decode("utf-8", "replace").rstrip("\n"))

    def settings(self, name, zone, host, ports, seeds):
        """What the template of deploy/ gives."""
        return """[instance]
id = %s
data-centre = %s
region = r
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
retry-fixed = %d
retry-window-ms = 10000
stop-grace-ms = 8000
change-ms = %d
recovery-ms = %d

[machine]
memory-mb = 390
descriptors = 6150
cpu-share = 0.38
link-mbps = 1500.0
%s""" % (name, zone, self.host(1), self.store.port, host, ports[0], host, ports[1], host, ports[2],
         host, self.peer_port, "".join("seed-%d = %s:1\n" % s for s in enumerate(seeds)),
         self.retry_fixed, self.change_ms, self.recovery_ms, self.more_settings)

    def start_instances(self, zones):
        """Starts one instance for each entry of @zones, all knowing the first three."""
        if not os.path.exists(PROGRAM):
            raise Unable("no program; build it with the command of the deploy file")
        self.peer_port = free_port(self.host(11))
        seeds = [self.host(11 + i) for i in range(min(3, len(zones)))]
        for i, zone in enumerate(zones, 1):
            host = self.host(10 + i)
            ports = [free_port(host) for _ in range(3)]
            name = "edge-%s-%d" % (zone, i)
            path = os.path.join(self.tmp, name + ".ini")
            with open(path, "w") as f:
                f.write(self.settings(name, zone, host, ports, seeds))
            self.instances[name] = {"name": name, "host": host, "front": ports[0],
                                    "ready": ports[1], "path": path}
            self.start_instance(name)

    def start_instance(self, name):
        at = self.instances[name]
        env = {"PATH": os.environ.get("PATH", ""), "IBISGATE_SETTINGS": at["path"]}
        p = subprocess.Popen([PROGRAM], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, cwd=ROOT,
                             env=env)
        at["process"] = p
        self.processes.append(p)
        self.tasks.append(asyncio.ensure_future(self.read_lines(
            p, lambda line: self.record("instance %s: %s" % (name, line)))))

    async def stop_instance(self, name):
        """A planned stop, and the start of the next process."""
        at = self.instances[name]
        self.record("planned: %s gets SIGTERM" % name)
        at["process"].send_signal(signal.SIGTERM)
        while at["process"].poll() is None:
            await asyncio.sleep(0.05)
        self.record("planned: %s has ended and is started again" % name)
        self.start_instance(name)

    async def wait_ready(self, timeout_s=15):
        until = time.monotonic() + timeout_s
        for at in self.instances.values():
            while True:
                a = await http1.call(at["host"], at["ready"],
                                     b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
                if a.status == 200:
                    break
                if time.monotonic() > until:
                    raise Unable("an instance is not ready")
                await asyncio.sleep(0.1)

    async def ask(self, at, method, path, fields=""):
        """One client attempt on a new channel; returns its id and the answer."""
        me = "%016x" % (0xc0de000000000000 + next(self.ids))
        body = "x" if method == "POST" else ""
        text = ("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Ibisgate-Request-Id: %s\r\n"
                "X-Ibisgate-Deadline-Ms: 600\r\n%s%s\r\n%s" %
                (method, path, me, fields, "Content-Length: 1\r\n" if body else "", body))
        self.record("client: %s %s as %s to %s" % (method, path, me, at["name"]))
        answer = await http1.call(at["host"], at["front"], text.encode(), 1.5)
        self.record("client: %s gets %d %s" % (me, answer.status, answer.why))
        return me, answer

    async def close(self):
        for p in self.processes:
            if p.poll() is None:
                p.kill()
        for p in self.processes:
            p.wait()
        for task in self.tasks:
            task.cancel()
        shutil.rmtree(self.tmp)
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
