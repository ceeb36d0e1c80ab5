"""Stand-ins for the platform, backend servers and requesters, and a launcher of the
project's own programs, for the scripts of this review.

Everything runs in one asyncio loop on loopback addresses and the real clock. The
programs under test are started with the commands of deploy/system.toml, one process a
machine, each with its own loopback address. The stand-ins follow the users' pages:

- Store: the platform's metadata store (listing, watch, leases of server entries)
- Server: a backend server with its flows, beside an agent
- Router and Requester: the platform's routers, and requesters with their flows
"""

import asyncio
import base64
import collections
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from urllib.parse import parse_qs, urlsplit

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Bounds and timing of a small deployment.
DRAIN_MS = 3000
CONFIG_APPLY_MS = 3000
EVACUATE_MS = 5000
STABLE_MS = 4000
COLD_OVER = 1.5
COLD_SLACK = 5
HEARTBEAT_S = 0.77
IDLE_TIMEOUT_MS = 15000

SYN, ACK, FIN, RST, BOUNCED = 8, 1, 64, 2, 4
HEAD = struct.Struct("<IIIBBIHHHII")
SYN_COPIES_S = (0.2, 0.6)
OPEN_LIMIT_S = 1.4
# How long a server remembers a flow that has ended.
ENDED_MEMORY_S = 2.0
KEY = b"stand-in key of the two ends"


def u32(ip):
    return struct.unpack("!I", socket.inet_aton(ip))[0]


def ip_of(number):
    return socket.inet_ntoa(struct.pack("!I", number))


class Packet:
    """One packet of a flow, as the users' page lays it out."""

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"", echo=0, pad=0, sum_=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.echo, self.pad = echo, pad
        self.sum = self.keyed_sum() if sum_ is None else sum_

    def keyed_sum(self):
        body = HEAD.pack(self.seq, self.ack, 0, self.flags & ~BOUNCED, 0, 0, len(self.data),
                         self.dport, self.sport, u32(self.dst), u32(self.src))
        return zlib.crc32(KEY + body + self.data)

    def bytes(self):
        return HEAD.pack(self.seq, self.ack, self.echo, self.flags, self.pad, self.sum, len(self.data),
                         self.dport, self.sport, u32(self.dst), u32(self.src)) + self.data

    @staticmethod
    def read(buf):
        if len(buf) < HEAD.size:
            return None
        seq, ack, echo, flags, pad, sum_, size, dport, sport, dst, src = HEAD.unpack_from(buf)
        data = buf[HEAD.size:]
        if size != len(data):
            return None
        return Packet(ip_of(src), sport, ip_of(dst), dport, flags, seq, ack, data, echo, pad, sum_)

    def is_genuine(self):
        return self.sum == self.keyed_sum()


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
        self.file.flush()


class Door:
    """One address of the store. `mode`: up, silent (no answer) or busy (503)."""

    def __init__(self):
        self.mode = "up"
        self.address = None
        self.answered_at = 0.0
        self.changed = asyncio.Event()

    def set_mode(self, mode):
        self.mode = mode
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's metadata store. Processes may use different doors."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        # Watches from an older or an unknown revision get 410.
        self.oldest = 0
        self.news = asyncio.Event()
        self.doors = []
        self.servers = []
        self.tasks = set()
        self.era = 1
        self.copies = []

    def keep_copy(self):
        """Keeps a copy of the store, to be restored later in a drill."""
        self.copies.append((dict(self.items), self.revision))

    def restore_copy(self):
        """Comes back from the last copy: what was written since is lost, and revisions
        are given out again."""
        self.items, self.revision = self.copies[-1][0].copy(), self.copies[-1][1]
        self.history = []
        self.oldest = self.revision
        self.era += 1
        self.tell()

    async def open_door(self, ip):
        door = Door()

        async def serve(reader, writer):
            await self.serve(door, reader, writer)

        server = await asyncio.start_server(serve, ip, 0)
        self.servers.append(server)
        door.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.doors.append(door)
        return door

    def is_up(self):
        return all(d.mode == "up" for d in self.doors)

    def write(self, key, value):
        """Writes an entry; the return is the store's ack."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {"Key": key, "Value": base64.b64encode(raw).decode(), "Revision": self.revision,
                "Created": created, "Lease": 0}
        self.items[key] = item
        self.history.append(item)
        self.tell()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"Key": key, "Revision": self.revision, "Tombstone": True})
            self.tell()

    def tell(self):
        self.news.set()
        self.news = asyncio.Event()

    async def serve(self, door, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self.answer(target)
                if door.mode == "silent":
                    # The answer is lost; the channel returns nothing further.
                    await asyncio.sleep(3600)
                if door.mode == "busy":
                    status, body = 503, {}
                raw = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, self.era, len(raw)) + raw)
                await writer.drain()
                door.answered_at = time.monotonic()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def answer(self, target):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        prefix = query.get("Prefix", "")
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "HasMore": len(keys) > 500, "AsOf": self.revision}
        if url.path == "/kv-key":
            item = self.items.get(query["Key"])
            return (200, {**item, "AsOf": self.revision}) if item else (404, {})
        if url.path == "/kv-watch":
            after = int(query["after"])
            until = time.monotonic() + int(query["WaitMs"]) / 1000
            era = self.era
            while True:
                if after > self.revision or after < self.oldest or era != self.era:
                    return 410, {}
                events = [e for e in self.history if e["Revision"] > after and e["Key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "AsOf": self.revision}
                try:
                    await asyncio.wait_for(self.news.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}

    def close(self):
        for server in self.servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()


class Udp(asyncio.DatagramProtocol):
    def __init__(self, on_packet):
        self.on_packet = on_packet

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, buf, addr):
        self.on_packet(buf, addr)

    def error_received(self, exc):
        pass


async def udp(address, on_packet):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Udp(on_packet), local_addr=address)
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
    return transport


class ServerFlow:
    def __init__(self, syn, iss, opened_by):
        self.syn_seq, self.iss = syn.seq, iss
        self.rcv_next = (syn.seq + 1) & 0xFFFFFFFF
        self.snd_next = (iss + 1) & 0xFFFFFFFF
        self.open = False
        self.in_fin = self.out_fin = False
        self.busy = False
        self.opened_by = opened_by
        self.forget_at = None

    def ended(self):
        return self.in_fin and self.out_fin


class Server:
    """A backend server beside an agent. Speaks the users' flows, registers itself."""

    def __init__(self, fleet, machine, service, zone, slots=5, work_s=0.01, cold_start_s=2.0):
        self.fleet, self.machine, self.service, self.zone = fleet, machine, service, zone
        self.slots, self.work_s, self.cold_start_s = slots, work_s, cold_start_s
        self.id = "i-" + machine.name
        self.state = "ready"
        self.running = False
        self.boot = 0
        self.openings = []
        self.runs = []
        self.state_acked_at = None

    async def start(self, cold=False, clock_ahead_s=0.0):
        """Starts the server; `clock_ahead_s`: how far its machine's clock is ahead."""
        self.boot += 1
        self.flows = {}
        self.sequence = 0
        self.state = "ready"
        self.born_ms = int((time.time() + clock_ahead_s) * 1000)
        self.cold_until = time.monotonic() + (self.cold_start_s if cold else 0)
        self.cold_from = time.monotonic() if cold else None
        # An earlier boot's sockets are closed by the loop's next turns.
        await asyncio.sleep(0.05)
        self.udp = await udp((self.machine.ip, self.fleet.app_port), self.on_packet)
        self.tcp = await asyncio.start_server(self.health, self.machine.ip, self.fleet.app_port)
        self.running = True
        self.beat = asyncio.create_task(self.beats())
        self.fleet.record.note(f"server {self.id} starts, boot {self.boot}{', cold' if cold else ''}")

    def crash(self):
        """Ends without a word: flows are lost, the sockets close."""
        self.running = False
        self.beat.cancel()
        self.udp.close()
        self.tcp.close()
        self.fleet.record.note(f"server {self.id} crashes")

    async def health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            status = 200 if self.state == "ready" else 503
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError):
            pass
        writer.close()

    def entry(self):
        self.sequence += 1
        left = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return {"Service": self.service, "Address": f"{self.machine.ip}:{self.fleet.app_port}",
                "Zone": self.zone, "Version": "v1", "Slots": self.slots, "State": self.state,
                "ColdLeftMs": left, "Sequence": self.sequence, "born": self.born_ms}

    def report(self):
        """Writes the entry, if the store takes it. True: acknowledged."""
        if not self.fleet.store.is_up_for_servers():
            return False
        self.fleet.store.write(f"servers/{self.id}", self.entry())
        return True

    async def beats(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self):
        self.state = "draining"
        if self.report():
            self.state_acked_at = time.monotonic()
        self.fleet.record.note(f"the store acknowledges that {self.id} is draining")

    def send(self, packet):
        """Everything that a server sends goes to its machine's outbound address."""
        if self.running:
            self.udp.sendto(packet.bytes(), (self.machine.ip, self.fleet.outbound_port))

    def reply(self, p, flags, seq, ack, data=b""):
        self.send(Packet(p.dst, p.dport, p.src, p.sport, flags, seq, ack, data))

    def on_packet(self, buf, addr):
        p = Packet.read(buf)
        if p is None or not p.is_genuine():
            self.fleet.record.note(f"server {self.id} gets a packet that nobody wrote so")
            self.fleet.forged += 1
            return
        key = (p.src, p.sport, p.dst, p.dport)
        flow = self.flows.get(key)
        if p.flags & SYN and not p.flags & ACK:
            return self.on_syn(p, key, flow)
        if flow is None:
            back = Packet(p.src, p.sport, p.dst, p.dport, p.flags | BOUNCED, p.seq, p.ack, p.data,
                          p.echo, 0, p.sum)
            return self.send(back)
        if p.flags & RST:
            self.flows.pop(key)
            return
        if not flow.open:
            if not (p.flags & ACK) or p.ack != (flow.iss + 1) & 0xFFFFFFFF:
                back = Packet(p.src, p.sport, p.dst, p.dport, p.flags | BOUNCED, p.seq, p.ack, p.data,
                              p.echo, 0, p.sum)
                return self.send(back)
            flow.open = True
        self.on_data(p, key, flow)

    def on_syn(self, p, key, flow):
        if flow is not None and flow.syn_seq == p.seq:
            # A copy of the opening packet.
            if not flow.ended():
                self.reply(p, SYN | ACK, flow.iss, flow.rcv_next if not flow.open else flow.syn_seq + 1)
            return
        if flow is not None and not flow.ended():
            # Another opening on a live flow: only an acknowledgement, as in RFC 5961.
            return self.reply(p, ACK, flow.snd_next, flow.rcv_next)
        now = time.monotonic()
        self.openings.append(now)
        self.fleet.note_opening(self, p, now)
        iss = random.getrandbits(32)
        flow = self.flows[key] = ServerFlow(p, iss, self.boot)
        self.reply(p, SYN | ACK, iss, flow.rcv_next)

    def on_data(self, p, key, flow):
        size = len(p.data)
        if size and flow.ended():
            return self.send(Packet(p.dst, p.dport, p.src, p.sport, RST | ACK, flow.snd_next, flow.rcv_next))
        is_new = p.seq == flow.rcv_next
        if size and is_new:
            flow.rcv_next = (flow.rcv_next + size) & 0xFFFFFFFF
            request = p.data.split(b"Bramleyramp-Request-Id: ", 1)[-1].split(b"\r\n", 1)[0].decode()
            self.runs.append(request)
            self.fleet.note_run(self, request, p)
            asyncio.get_running_loop().call_later(self.work_s, self.answer, p, key, flow, request)
        if p.flags & FIN and p.seq + size == flow.rcv_next and not flow.in_fin:
            flow.in_fin = True
            flow.rcv_next = (flow.rcv_next + 1) & 0xFFFFFFFF
            if not flow.out_fin:
                self.close_flow(p, flow)
        if flow.ended() and flow.forget_at is None:
            flow.forget_at = asyncio.get_running_loop().call_later(ENDED_MEMORY_S, self.forget, key, flow)
        if size or p.flags & FIN:
            self.reply(p, ACK, flow.snd_next, flow.rcv_next)

    def forget(self, key, flow):
        if self.flows.get(key) is flow:
            self.flows.pop(key)

    def close_flow(self, p, flow):
        flow.out_fin = True
        self.reply(p, FIN | ACK, flow.snd_next, flow.rcv_next)
        flow.snd_next = (flow.snd_next + 1) & 0xFFFFFFFF

    def answer(self, p, key, flow, request):
        if not self.running or self.flows.get(key) is not flow:
            return
        body = f"answer of {self.id} to {request}".encode()
        data = (b"HTTP/1.1 200 OK\r\nBramleyramp-Response-Signature: %08x\r\nContent-Length: %d\r\n\r\n"
                % (zlib.crc32(KEY + body), len(body)) + body)
        self.reply(p, ACK, flow.snd_next, flow.rcv_next, data)
        flow.snd_next = (flow.snd_next + len(data)) & 0xFFFFFFFF
        # A server that is draining closes each flow after its next response.
        if (self.state == "draining" or b"Connection: close" in p.data) and not flow.out_fin:
            self.close_flow(p, flow)


class Machine:
    def __init__(self, fleet, name, role, ip, zone, service=None, door=None):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.service, self.door = service, door
        self.process = None
        self.ready = False
        self.misses = 0
        self.started_at = 0.0

    def settings(self):
        f = self.fleet
        lines = [f"NodeName={self.name}", f"Role={self.role}", f"MachineClass={self.role}",
                 f"Ip={self.ip}", f"Zone={self.zone}", "Region=neast"]
        lines += [f"Zones.{z}=neast" for z in ("neast-a", "neast-b", "neast-c")]
        lines += [f"Listen.DataAddr={self.ip}:{f.data_port}", f"Listen.Ready={self.ip}:{f.ready_port}",
                  f"InternalPorts={f.internal_port},{f.internal_port + 15}", "Seeds=" + ",".join(f.seeds),
                  "Bootstrap=true", "LossCounts=false", "Limits.CpuShare=0.25", "Limits.CpuCores=1",
                  "Limits.MemoryMb=260", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
                  "Discovery=platform", "EntryType=announce", "HeartbeatMs=770",
                  "Contracts=base,drain,config,cost,recover,flows,places,platform",
                  "FaultTolerance.Machines=2", "FaultTolerance.Zones=1", "FaultTolerance.Regions=0",
                  "Bounds.SeedLagS=3", "Bounds.AddrReuseS=2", "Bounds.StableMs=4000", "Bounds.AckMs=5000",
                  "Bounds.CatchUpS=4", "Bounds.DrainMs=3000", "Bounds.GraceS=6", "Bounds.LossSlackMs=200",
                  "Bounds.ConfigApplyMs=3000", "Bounds.RollbackSlackMs=250", "Bounds.MaxStretchMs=12000",
                  "Bounds.ColdOver=1.5", "Bounds.ColdSlack=5", "Bounds.EvacuateMs=5000", "Bounds.RecoveryS=12",
                  "Bounds.StrayMs=2000", "Bounds.MaxFlowS=60", "HashScheme=steady", "DeploymentMode=agent",
                  f"platform.Address={self.door.address}", "platform.DeploymentMode=read",
                  "platform.WritesPerS=400", "platform.ReadsPerS=2000", "platform.HistoryS=20",
                  "platform.ValueBytes=1048576", "platform.MinTtlMs=1000"]
        if self.role == "front":
            lines += ["Serves=front,control", f"Listen.Control={self.ip}:{f.control_port}"]
        else:
            lines += ["Serves=side", f"Listen.outbound={self.ip}:{f.outbound_port}",
                      f"app={self.ip}:{f.app_port}", f"Service={self.service}"]
        return "\n".join(lines) + "\n"

    def start(self):
        f = self.fleet
        path = os.path.join(f.dir, self.name + ".conf")
        with open(path, "w") as file:
            file.write(self.settings())
        run = f.commands[self.role].split()
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": f.dir, "BRAMLEYRAMP_NODE_FILE": path}
        log = open(os.path.join(f.dir, self.name + ".log"), "ab")
        self.process = subprocess.Popen(run, cwd=REPO, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.started_at = time.monotonic()

    def send_signal(self, number):
        self.process.send_signal(number)
        self.fleet.record.note(f"{signal.Signals(number).name} to {self.name}")

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Router:
    """Sends the packets of a flow to one front that is in rotation (scheme `steady`)."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def poll(self):
        while True:
            for m in self.fleet.fronts:
                asyncio.create_task(self.check(m))
            await asyncio.sleep(0.5)

    async def check(self, m):
        ok = False
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(m.ip, self.fleet.ready_port), 0.4)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            ok = b" 200 " in line
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        m.misses = 0 if ok else m.misses + 1
        was = m.ready
        m.ready = ok or (m.ready and m.misses < 2)
        if was != m.ready:
            self.fleet.record.note(f"the routers take {m.name} {'into' if m.ready else 'out of'} rotation")

    def pick(self, src, sport, dst, dport):
        fronts = [m for m in self.fleet.fronts if m.ready] or self.fleet.fronts
        return max(fronts, key=lambda m: zlib.crc32(f"{src}:{sport}>{dst}:{dport}/{m.ip}".encode() * 2))


class Flow:
    """A requester's end of one flow."""

    def __init__(self, requester, port, route):
        self.requester, self.port, self.route = requester, port, route
        self.iss = random.getrandbits(32)
        self.snd_next = (self.iss + 1) & 0xFFFFFFFF
        self.rcv_next = None
        self.state = "opening"
        self.opened = asyncio.Event()
        self.data = asyncio.Queue()
        self.in_fin = self.out_fin = self.out_fin_acked = False
        self.reset_by_system = False
        self.closed = asyncio.Event()
        self.sent_at = time.monotonic()
        self.via = None

    def send(self, flags, seq, ack, data=b"", front=None):
        r = self.requester
        host, port = self.route
        p = Packet(r.ip, self.port, host, port, flags, seq, ack, data)
        front = front or r.fleet.router.pick(r.ip, self.port, host, port)
        self.via = front
        r.udp.sendto(p.bytes(), (front.ip, r.fleet.data_port))

    async def open(self):
        """Sends the opening packet and its copies. True: the flow is open."""
        self.requester.flows[(self.port, self.route)] = self
        self.sent_at = time.monotonic()
        waits = (SYN_COPIES_S[0], SYN_COPIES_S[1] - SYN_COPIES_S[0], OPEN_LIMIT_S - SYN_COPIES_S[1])
        for copies, wait in enumerate(waits):
            self.send(SYN, self.iss, copies)
            try:
                await asyncio.wait_for(self.opened.wait(), wait)
                break
            except asyncio.TimeoutError:
                pass
        return self.state == "open"

    def on_packet(self, p):
        if p.flags & RST:
            if self.state in ("open", "opening"):
                self.reset_by_system = p.sum == 0
                self.state = "reset"
                self.opened.set()
                self.closed.set()
                self.data.put_nowait(None)
            return
        if p.flags & SYN and p.flags & ACK:
            if self.state == "opening":
                self.state = "open"
                self.rcv_next = (p.seq + 1) & 0xFFFFFFFF
                self.opened.set()
            if self.rcv_next is not None and p.seq == (self.rcv_next - 1) & 0xFFFFFFFF:
                self.send(ACK, self.snd_next, self.rcv_next)
            return
        if self.state != "open":
            return
        if p.data and p.seq == self.rcv_next:
            self.rcv_next = (self.rcv_next + len(p.data)) & 0xFFFFFFFF
            self.data.put_nowait(p.data)
        if p.flags & FIN and (p.seq + len(p.data)) & 0xFFFFFFFF == self.rcv_next and not self.in_fin:
            self.in_fin = True
            self.rcv_next = (self.rcv_next + 1) & 0xFFFFFFFF
        if p.flags & ACK and self.out_fin and p.ack == self.snd_next:
            self.out_fin_acked = True
        if p.data or p.flags & FIN:
            self.send(ACK, self.snd_next, self.rcv_next)
        if self.in_fin and not self.out_fin:
            # The server has closed; this end closes too.
            self.fin()
        if self.in_fin and self.out_fin_acked:
            self.state = "closed"
            self.closed.set()
            self.data.put_nowait(None)

    def fin(self):
        self.out_fin = True
        self.send(FIN | ACK, self.snd_next, self.rcv_next)
        self.snd_next = (self.snd_next + 1) & 0xFFFFFFFF

    async def request(self, limit_s=2.0, close=False):
        """Sends one request; returns its id and the answer, or none. `close`: the
        server closes the flow after its answer."""
        fleet = self.requester.fleet
        fleet.request_count += 1
        request = f"rq-{fleet.request_count:06d}"
        data = (b"POST /claim HTTP/1.1\r\nHost: x\r\n%sContent-Length: 0\r\nBramleyramp-Request-Id: %s\r\n\r\n"
                % (b"Connection: close\r\n" if close else b"", request.encode()))
        seq = self.snd_next
        self.snd_next = (self.snd_next + len(data)) & 0xFFFFFFFF
        until = time.monotonic() + limit_s
        wait = 0.2
        while time.monotonic() < until and self.state == "open":
            self.send(ACK, seq, self.rcv_next, data)
            try:
                answer = await asyncio.wait_for(self.data.get(), wait)
                return request, answer
            except asyncio.TimeoutError:
                wait = min(wait * 2, 1.6)
        return request, None

    async def close(self, limit_s=2.0):
        """Closes both ways; true once both ends have closed."""
        if self.state == "open" and not self.out_fin:
            self.fin()
        for _ in range(int(limit_s / 0.2)):
            try:
                await asyncio.wait_for(self.closed.wait(), 0.2)
                break
            except asyncio.TimeoutError:
                if self.out_fin and not self.out_fin_acked:
                    self.send(FIN | ACK, self.snd_next - 1, self.rcv_next)
        return self.state == "closed"


class Requester:
    def __init__(self, fleet, ip):
        self.fleet, self.ip = fleet, ip
        self.flows = {}
        self.next_port = 40000

    async def start(self):
        self.udp = await udp((self.ip, self.fleet.data_port), self.on_packet)

    def on_packet(self, buf, addr):
        p = Packet.read(buf)
        if p is None:
            return
        flow = self.flows.get((p.dport, (p.src, p.sport)))
        if flow:
            flow.on_packet(p)

    def flow(self, route, port=None):
        if port is None:
            self.next_port += 1
            port = self.next_port
        return Flow(self, port, route)


class Fleet:
    """The machines of one small deployment with their stand-ins."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.dir = tempfile.mkdtemp(prefix="review-case-")
        # A loopback network of its own, so that fixed ports do not collide.
        self.net = f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}."
        self.next_host = 10
        base = random.randrange(20000, 30000)
        self.data_port, self.ready_port, self.control_port = base, base + 1, base + 2
        self.outbound_port, self.app_port, self.internal_port = base + 3, base + 4, base + 10
        with open(os.path.join(REPO, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {role["on"]: role["run"] for role in roles.values()}
        self.fronts, self.sides, self.seeds = [], [], []
        self.request_count = 0
        self.forged = 0
        self.opening_log = []
        self.run_log = collections.defaultdict(list)
        self.store = Store(self.record)
        self.store.is_up_for_servers = lambda: self.server_door.mode == "up"
        self.router = Router(self)
        self.tasks = []

    def host(self):
        self.next_host += 1
        return f"{self.net}{self.next_host}"

    async def prepare(self):
        self.door = await self.store.open_door(self.host())
        self.server_door = self.door

    def add_front(self, name, zone, seed=True, door=None):
        m = Machine(self, name, "front", self.host(), zone, door=door or self.door)
        self.fronts.append(m)
        if seed:
            self.seeds.append(f"{m.ip}:{self.control_port}")
        return m

    def add_side(self, name, zone, service, door=None, **kinds):
        m = Machine(self, name, "side", self.host(), zone, service, door or self.door)
        m.server = Server(self, m, service, zone, **kinds)
        self.sides.append(m)
        return m

    def add_route(self, port, service):
        return {"Name": f"r-{port}", "Host": f"{self.net}200", "Prefix": f"/{port}/", "RouteType": "unsafe",
                "TimeoutMs": 2000, "AimMs": 200, "Priority": 1, "Service": service, "MaxAttempts": 2}

    def configure(self, version, routes, services, cold_per_s=0.0):
        entries = [{"Name": s, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": False,
                    "ColdStartS": 2.0, "ColdPerS": cold_per_s} for s in services]
        self.store.write("op/config", {"Version": version, "Routes": routes, "Services": entries,
                                       "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                                                  "HeaderTimeoutMs": 3000, "IdleTimeoutMs": IDLE_TIMEOUT_MS}})

    def route(self, port):
        return (f"{self.net}200", port)

    def note_opening(self, server, p, now):
        self.opening_log.append((now, server, (p.src, p.sport)))
        self.record.note(f"server {server.id} ({server.state}) takes the opening packet of {p.src}:{p.sport}")

    def note_run(self, server, request, p):
        self.run_log[request].append(server.id)
        self.record.note(f"server {server.id} ({server.state}) runs {request} of {p.src}:{p.sport}")

    async def start(self):
        for m in self.sides:
            await m.server.start()
        for m in self.fronts + self.sides:
            m.start()
        self.tasks.append(asyncio.create_task(self.router.poll()))
        for _ in range(100):
            if all(m.ready for m in self.fronts):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the fronts are not ready after 10 s")

    def close(self):
        for m in self.fronts + self.sides:
            m.stop()
        for task in self.tasks:
            task.cancel()
        self.store.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.dir, keep, dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)


def run_case(play, folder):
    """Plays a case and ends with its exit status: 1 broken, 0 held, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(os.path.join(folder, "record.txt"))

    async def main():
        try:
            await fleet.prepare()
            return await asyncio.wait_for(play(fleet, trouble), 110)
        finally:
            fleet.close()

    def ended(number, frame):
        sys.exit(2)

    signal.signal(signal.SIGTERM, ended)
    try:
        broken = asyncio.run(main())
    except Exception as err:  # the case could not run
        fleet.record.note(f"could not run: {err!r}")
        print(f"could not run: {err!r}")
        sys.exit(2)
    verdict = f"broken: {broken}" if broken else "held"
    fleet.record.note(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
