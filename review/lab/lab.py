"""A small deployment on loopback addresses: the project's programs as processes, and
stand-ins for the platform's store, the routers, the requesters and the servers."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from types import SimpleNamespace

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from caller import Attempt, Callers, Routers
from server import HEARTBEAT_S, Server
from store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "bramleyramp")
METRICS_PORT = 9464
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up."""


class Node:
    """A machine of the system and the process on it."""

    def __init__(self, lab, name, ip, zone, server=None):
        self.lab, self.name, self.ip, self.zone, self.server = lab, name, ip, zone, server
        self.child = None
        self.settings = os.path.join(lab.dir, name + ".conf")

    def write_settings(self):
        p, front = self.lab.ports, self.server is None
        rows = ["NodeName=" + self.name, "Role=" + ("balancer" if front else "agent"),
                "MachineClass=" + ("front" if front else "side"),
                "Serves=" + ("front,control" if front else "side"),
                "Ip=" + self.ip, "Zone=" + self.zone, "Region=r1",
                *("Zones.%s=r1" % z for z in self.lab.zones),
                "Listen.DataAddr=%s:%d" % (self.ip, p.data),
                "Listen.Ready=%s:%d" % (self.ip, p.ready),
                "InternalPorts=%d,%d" % (p.internal, p.internal + 15),
                "Seeds=" + ",".join("%s:%d" % (ip, p.control) for ip in self.lab.seeds),
                "Bootstrap=false", "Limits.LinkMbps=1000.0", "Discovery=platform",
                "EntryType=announce", "HeartbeatMs=%d" % (HEARTBEAT_S * 1000),
                "Bounds.StableMs=4000", "Bounds.GraceS=6", "HashScheme=steady",
                "DeploymentMode=agent", "platform.Address=%s:%d" % (self.lab.store.host, p.store),
                "platform.DeploymentMode=read", "platform.ReadsPerS=2000"]
        if front:
            rows.append("Listen.Control=%s:%d" % (self.ip, p.control))
        else:
            rows += ["Listen.outbound=%s:%d" % (self.ip, p.outbound),
                     "app=%s:%d" % (self.ip, p.app), "Service=" + self.server.service]
        with open(self.settings, "w") as f:
            f.write("\n".join(rows) + "\n")

    def start(self):
        self.write_settings()
        role = "balancer" if self.server is None else "agent"
        out = open(os.path.join(self.lab.dir, self.name + ".log"), "ab")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["BRAMLEYRAMP_NODE_FILE"] = self.settings
        args = [PROGRAM, role, "--on-platform", "--metrics-port", str(METRICS_PORT)]
        self.child = subprocess.Popen(args, cwd=ROOT, env=env, stdout=out, stderr=out)
        out.close()
        self.lab.log("process_start", node=self.name)

    def signal(self, number):
        self.child.send_signal(number)
        self.lab.log("signal", node=self.name, signal=signal.Signals(number).name)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    async def terminate(self):
        """SIGTERM, then SIGKILL after GraceS, as the platform does."""
        self.signal(signal.SIGTERM)
        for _ in range(600):
            if self.child.poll() is not None:
                self.lab.log("process_end", node=self.name)
                return
            await asyncio.sleep(0.01)
        self.kill()


class Lab:
    def __init__(self, case, fronts, sides, zones, service="ledger", slots=5, work_s=0.039,
                 cold_per_s=0.0, cold_start_s=2.0, idle_ms=15000):
        self.case = case
        self.began = time.monotonic()
        self.record = open(os.path.join(case, "record.txt"), "w")
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.zones, self.service_name = zones, service
        self.cold_per_s, self.cold_start_s, self.idle_ms = cold_per_s, cold_start_s, idle_ms
        self.violations = []
        self.tasks, self.nodes = [], []
        self.net = self.free_net()
        ip = lambda n: "%s.%d" % (self.net, n)
        self.ports = SimpleNamespace(data=8172, ready=8167, control=8166, outbound=8162, app=8165,
                                     internal=7720, store=8169)
        self.store = Store(ip(2), self.ports.store)
        self.seeds = [ip(10 + n) for n in range(min(3, fronts))]
        self.balancers = [Node(self, "front-%d" % n, ip(10 + n), zones[n % len(zones)])
                          for n in range(fronts)]
        self.servers = [Server(self, "s%d" % n, ip(100 + n), zones[n % len(zones)], service, slots,
                               work_s) for n in range(sides)]
        self.agents = [Node(self, "side-%d" % n, s.ip, s.zone, s) for n, s in enumerate(self.servers)]
        self.nodes = self.balancers + self.agents
        self.routers = Routers(self)
        self.callers = Callers(self, ip(250))
        self.service = ("198.18.0.1", 8443)
        self.version = 7
        self.requests, self.outcomes = {}, {}
        self.next_request = 0

    def free_net(self):
        """A part of 127.0.0.0/8 in which nobody listens on the ports."""
        for n in range(50):
            net = "127.%d.%d" % (100 + (os.getpid() + n) % 100, os.getpid() // 100 % 250)
            try:
                for port in (8162, 8165, 8166, 8167, 8169, 8172, 7720, 9464):
                    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
                        s.bind((net + ".10", port))
                    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as s:
                        s.bind((net + ".10", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    # What is seen

    def now(self):
        return time.monotonic() - self.began

    def log(self, event, **fields):
        text = " ".join("%s=%s" % item for item in fields.items())
        self.record.write("%9.3f %s %s\n" % (self.now(), event, text))

    def broken(self, rule, text):
        self.violations.append((rule, text))
        self.log("BROKEN", rule=rule, what=repr(text))

    def opening(self, server, p):
        """A server took an opening packet."""
        cold = time.monotonic() < server.cold_until
        self.log("opening", server=server.name, id=server.id, port=p.sport, cold=int(cold))
        self.on_opening(server, p, cold)

    def on_opening(self, server, p, cold):
        pass

    def arrived(self, server, p):
        self.log("arrived", server=server.name, request=p.data[-24:].decode().strip())

    def run(self, server, p):
        request = p.data[-24:].decode().strip()
        self.log("run", server=server.name, request=request)
        if request not in self.requests:
            self.broken("UNASKED", "%s ran %s, which nobody sent" % (server.name, request))

    def sent(self, request, attempt):
        self.requests[request] = attempt
        self.log("sent", request=request, port=attempt.sport)

    def answered(self, request):
        self.log("answered", request=request)

    def on_reset(self, attempt, own):
        self.log("reset", port=attempt.sport, from_system=int(own))

    # The deployment

    def configuration(self):
        return {"Version": self.version,
                "Routes": [{"Name": "r-1", "Host": self.service[0],
                            "Prefix": "/%d/" % self.service[1], "RouteType": "unsafe",
                            "TimeoutMs": 2000, "AimMs": 200, "Priority": 1,
                            "Service": self.service_name, "MaxAttempts": 2}],
                "Services": [{"Name": self.service_name, "HealthPath": "/health", "MaxConns": 2000,
                              "Protocol": "h1", "Tls": False, "ColdStartS": self.cold_start_s,
                              "ColdPerS": self.cold_per_s}],
                "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                           "HeaderTimeoutMs": 3000, "IdleTimeoutMs": self.idle_ms}}

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        await self.store.start()
        self.store.put("op/config", self.configuration())
        # All machines start at the same time, long before the traffic, so the servers are warm.
        for server in self.servers:
            await server.start()
        for node in self.nodes:
            node.start()
        await self.callers.start()
        self.spawn(self.routers.probe_loop())
        for _ in range(100):
            if all(self.routers.misses.get(n.name, 2) == 0 for n in self.balancers):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the balancers did not become ready")

    async def add_server(self):
        """Adds a machine with a server, as planned work does."""
        n = len(self.servers)
        old = self.servers[0]
        server = Server(self, "s%d" % n, "%s.%d" % (self.net, 100 + n), self.zones[n % len(self.zones)],
                        self.service_name, old.slots, old.work_s)
        self.servers.append(server)
        node = Node(self, "side-%d" % n, server.ip, server.zone, server)
        self.agents.append(node)
        self.nodes.append(node)
        await server.start(cold_s=self.cold_start_s)
        node.start()

    async def feed(self, requests, pause_s, callers=None):
        """A requester that keeps a flow open for many requests and opens the next one when it
        ends, until cancelled."""
        while True:
            await self.attempt(count=requests, pause_s=pause_s, callers=callers)

    def spawn(self, task):
        self.tasks.append(asyncio.ensure_future(task))

    async def attempt(self, count=1, limit_s=2.0, pause_s=0.0, callers=None):
        """One flow with `count` requests; its outcome is counted."""
        ids = []
        for _ in range(count):
            self.next_request += 1
            ids.append("q-%06d" % self.next_request)
        attempt = Attempt(callers or self.callers, self.service, ids, limit_s, pause_s)
        result = await attempt.run()
        self.log("outcome", port=attempt.sport, result=result)
        self.outcomes[result] = self.outcomes.get(result, 0) + 1
        return result

    async def traffic(self, per_s, limit_s=2.0):
        """A new flow with one request at an even rate, until cancelled."""
        running, due = set(), time.monotonic()
        while True:
            task = asyncio.ensure_future(self.attempt(limit_s=limit_s))
            running.add(task)
            task.add_done_callback(running.discard)
            due += 1 / per_s
            await asyncio.sleep(max(0, due - time.monotonic()))

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.child is not None and node.child.poll() is None:
                node.child.kill()
                node.child.wait()


def main(lab, scenario):
    """Runs a scenario; exit status 1: a rule was broken, 0: it held, 2: it could not run."""
    async def go():
        try:
            await lab.start()
            await scenario(lab)
        finally:
            lab.stop()

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    status = 2
    try:
        loop.run_until_complete(asyncio.wait_for(go(), 110))
        status = 1 if lab.violations else 0
    except (CannotRun, OSError, asyncio.TimeoutError) as err:
        lab.log("cannot_run", error=repr(err))
        print("could not run: %r" % err)
    finally:
        lab.stop()
        lab.log("end", outcomes=lab.outcomes, violations=len(lab.violations))
        lab.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", lab.dir)
        else:
            shutil.rmtree(lab.dir, ignore_errors=True)
    for rule, text in lab.violations[:5]:
        print("%s: %s" % (rule, text))
    print("outcomes", lab.outcomes, "violations", len(lab.violations))
    os._exit(status)
