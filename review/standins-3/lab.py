"""Stand-ins for the platform around bramleyramp, on loopback addresses.

A `Lab` starts the project's own programs as the deploy file does and plays what surrounds
them: the platform's store, the routers, backend servers and requesters. Everything runs in
one process with one event loop. Only the standard library is used.

The stand-ins follow PROTOCOL.md and DEPLOY.md. Each has a few switches by which a case
brings about its disruption; without them it behaves soundly.
"""

import asyncio
import base64
import json
import os
import random
import re
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

HEADER = struct.Struct("<IIIBBIHHHII")
SYN, ACK, FIN, RST, BOUNCED = 8, 1, 64, 2, 4
MAX_DATA = 1200
HEARTBEAT_S = 0.77
SUM_KEY = 0x5EED1E55
REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def ip_number(ip):
    return struct.unpack("!I", socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack("!I", number))


def checksum(fields, data):
    """Keyed sum over all fields but echo, pad and the bounce flag."""
    value = SUM_KEY
    for number in fields:
        value = (value * 31 + number) & 0xFFFFFFFF
    for byte in data:
        value = (value * 31 + byte) & 0xFFFFFFFF
    return value


def read_commands(path):
    """The command of each role in the deploy file."""
    with open(path, encoding="utf-8") as file:
        text = file.read()
    roles = re.findall(r'^\[roles\.([^\]]+)\](.*?)(?=^\[|\Z)', text, re.M | re.S)
    return {name: re.search(r'^run = "(.*)"$', body, re.M).group(1) for name, body in roles}


class Packet:
    """One datagram of a flow."""

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"", echo=0):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data, self.echo = flags, seq, ack, data, echo
        self.sum = 0

    def signed_fields(self):
        return (
            self.seq,
            self.ack,
            self.flags & ~BOUNCED,
            len(self.data),
            self.dport,
            self.sport,
            ip_number(self.dst),
            ip_number(self.src),
        )

    def encode(self, sign=True):
        if sign:
            self.sum = checksum(self.signed_fields(), self.data)
        head = HEADER.pack(
            self.seq,
            self.ack,
            self.echo,
            self.flags,
            0,
            self.sum,
            len(self.data),
            self.dport,
            self.sport,
            ip_number(self.dst),
            ip_number(self.src),
        )
        return head + self.data

    @staticmethod
    def decode(datagram):
        if len(datagram) < HEADER.size:
            return None
        seq, ack, echo, flags, _, total, length, dport, sport, dst, src = HEADER.unpack_from(
            datagram
        )
        data = bytes(datagram[HEADER.size :])
        if len(data) != length:
            return None
        packet = Packet(ip_text(src), sport, ip_text(dst), dport, flags, seq, ack, data, echo)
        packet.sum = total
        return packet

    def is_genuine(self):
        return self.sum == checksum(self.signed_fields(), self.data)


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():9.4f} {event} {text}\n")

    def close(self):
        self.file.close()


class Store:
    """The platform's store. Each caller gets an address of its own, so that the store can
    turn single machines away."""

    def __init__(self, lab):
        self.lab = lab
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.servers = []
        # Callers that the store leaves without an answer, or "*" for all.
        self.silent_for = set()
        self.era = 0
        # What the store held at earlier moments, for a drill.
        self.copies = []
        self.writers = set()

    def put(self, key, value):
        self.revision += 1
        old = self.items.get(key)
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {
            "Key": key,
            "Value": base64.b64encode(raw).decode(),
            "Revision": self.revision,
            "Created": old["Created"] if old else self.revision,
            "Lease": 0,
        }
        self.items[key] = item
        self.history.append(item)
        self._notify()
        self.lab.record.add("store-ack", key=key, value=raw.decode(errors="replace"))

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"Key": key, "Revision": self.revision, "Tombstone": True})
        self._notify()
        self.lab.record.add("store-removed", key=key)

    async def keep_copies(self):
        while True:
            self.copies.append((time.monotonic(), self.revision, dict(self.items)))
            await asyncio.sleep(0.1)

    async def drill(self, copy_age_s, away_s):
        """The store is away and comes back from a copy that is some seconds old. Revisions
        go back and are given out again; calls of before are broken off."""
        made_before = time.monotonic() - copy_age_s
        _, revision, items = [copy for copy in self.copies if copy[0] <= made_before][-1]
        self.silent_for.add("*")
        self.lab.record.add("drill-begin", copy_age_s=copy_age_s)
        await asyncio.sleep(away_s)
        for writer in self.writers:
            writer.transport.abort()
        self.era += 1
        self.revision, self.items, self.history = revision, dict(items), []
        self.oldest = revision
        self.silent_for.discard("*")
        self._notify()
        self.lab.record.add("drill-end", era=self.era, revision=revision)

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def is_silent(self, caller):
        return "*" in self.silent_for or caller in self.silent_for

    async def listen(self, ip, port, caller):
        async def serve(reader, writer):
            self.writers.add(writer)
            try:
                await self._serve(caller, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError, OSError):
                pass
            finally:
                self.writers.discard(writer)
                writer.close()

        self.servers.append(await asyncio.start_server(serve, ip, port))

    async def _serve(self, caller, reader, writer):
        while True:
            line = await reader.readline()
            if not line:
                return
            while (await reader.readline()).strip():
                pass
            path = line.split()[1].decode()
            answer = await self._answer(caller, path)
            while self.is_silent(caller):
                # A channel on which a response is lost returns nothing further.
                await asyncio.sleep(3600)
            status, body = answer
            body = json.dumps(body).encode()
            head = (
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nStore-Era: {self.era}\r\n\r\n"
            )
            await asyncio.sleep(0.004)
            writer.write(head.encode() + body)
            await writer.drain()

    async def _answer(self, caller, path):
        parts = urllib.parse.urlsplit(path)
        query = urllib.parse.parse_qs(parts.query, keep_blank_values=True)
        get = lambda name, default="": query.get(name, [default])[0]
        prefix = get("Prefix")
        if parts.path == "/kv-key":
            item = self.items.get(get("Key"))
            return (200, dict(item, AsOf=self.revision)) if item else (404, {})
        if parts.path == "/kv-range":
            after = get("after")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = keys[:50]
            return 200, {
                "items": [self.items[k] for k in page],
                "HasMore": len(keys) > len(page),
                "AsOf": self.revision,
            }
        if parts.path == "/kv-watch":
            after = int(get("after", "0"))
            if after > self.revision or after < getattr(self, "oldest", 0):
                return 410, {}
            until = time.monotonic() + int(get("WaitMs", "0")) / 1000
            while True:
                events = [
                    e for e in self.history if e["Revision"] > after and e["Key"].startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "AsOf": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class ServerFlow:
    def __init__(self, syn, iss):
        self.opening_seq = syn.seq
        self.received = (syn.seq + 1) & 0xFFFFFFFF
        self.iss = iss
        self.sent = (iss + 1) & 0xFFFFFFFF
        self.open = False
        self.closed = False
        self.answer = None


class Server(asyncio.DatagramProtocol):
    """A backend server. It accepts a flow with each opening packet, answers one request at
    a time on it, and returns packets of flows that it does not have."""

    def __init__(self, lab, name, ip, service, zone, slots=5, work_s=0.03):
        self.lab, self.name, self.ip, self.service, self.zone = lab, name, ip, service, zone
        self.slots, self.work_s = slots, work_s
        self.state = "ready"
        self.running = False
        self.boots = 0
        self.transport = None
        self.health = None
        self.tasks = []

    @property
    def address(self):
        return f"{self.ip}:{self.lab.app_port}"

    def entry(self, **changes):
        cold = max(0.0, self.cold_until - time.monotonic())
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": int(cold * 1000),
            "Sequence": self.sequence,
            "born": self.born,
        }
        entry.update(changes)
        return entry

    async def start(self, cold_s=0.0):
        loop = asyncio.get_running_loop()
        self.flows = {}
        self.sequence = 0
        self.boots += 1
        self.born = int(time.time() * 1000)
        self.cold_since = time.monotonic()
        self.cold_until = self.cold_since + cold_s
        self.state = "ready"
        self.health = await asyncio.start_server(self._health, self.ip, self.lab.app_port)
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.lab.app_port)
        )
        self.running = True
        self.lab.record.add("server-start", server=self.name, boot=self.boots, cold_s=cold_s)
        self.tasks.append(asyncio.ensure_future(self._report()))

    def crash(self):
        """Ends the server's process: it discards its flows and sends nothing."""
        self.running = False
        self.health.close()
        self.transport.close()
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        self.lab.record.add("server-end", server=self.name)

    async def _health(self, reader, writer):
        try:
            while (await reader.readline()).strip():
                pass
            ok = self.state == "ready"
            status = b"200 OK" if ok else b"503 Leaving"
            writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _report(self):
        """Status reports; the store misses them while it is down. An entry whose server
        has been silent is removed only while the store works."""
        while True:
            while "*" in self.lab.store.silent_for:
                await asyncio.sleep(0.02)
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def watch_expiry(self):
        """Removes the entry after three status report intervals of silence. The store does
        so only while it works."""
        key = f"servers/{self.name}"
        while True:
            await asyncio.sleep(0.05)
            silent_s = time.monotonic() - getattr(self, "reported_at", time.monotonic())
            if silent_s > 3 * HEARTBEAT_S and "*" not in self.lab.store.silent_for:
                self.lab.store.remove(key)

    def write_entry(self):
        """Writes the entry if more than its number differs from what the store holds."""
        self.sequence += 1
        self.reported_at = time.monotonic()
        entry = self.entry()
        key = f"servers/{self.name}"
        held = self.lab.store.items.get(key)
        held = json.loads(base64.b64decode(held["Value"])) if held else {}
        if dict(held, Sequence=0) != dict(entry, Sequence=0):
            self.lab.store.put(key, entry)

    def datagram_received(self, datagram, address):
        packet = Packet.decode(datagram)
        if not self.running or packet is None:
            return
        if not packet.is_genuine():
            self.lab.record.add("server-got-forged", server=self.name)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            return self._opening(key, flow, packet)
        if flow is None or (not flow.open and packet.ack != flow.sent):
            return self._bounce(packet)
        self._of_flow(key, flow, packet)

    def _opening(self, key, flow, packet):
        if packet.flags & ACK:
            return
        if flow is None or flow.opening_seq != packet.seq:
            if len(self.flows) >= 2000:
                return self._bounce(packet)
            flow = ServerFlow(packet, random.getrandbits(32))
            self.flows[key] = flow
            self.lab.on_taken(self, packet)
        self._send(key, flow, SYN | ACK, flow.iss)

    def _of_flow(self, key, flow, packet):
        if not flow.open:
            flow.open = True
            self.lab.on_open(self, packet)
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        new = bool(packet.data) and packet.seq == flow.received
        if new:
            flow.received = (flow.received + len(packet.data)) & 0xFFFFFFFF
            self.tasks.append(asyncio.ensure_future(self._work(key, flow, packet)))
        elif packet.data and flow.answer:
            self._send(key, flow, ACK, flow.answer[0], flow.answer[1])
        if packet.flags & FIN and (packet.seq + len(packet.data)) & 0xFFFFFFFF == flow.received:
            flow.received = (flow.received + 1) & 0xFFFFFFFF
            self._send(key, flow, FIN | ACK, flow.sent)
            flow.sent = (flow.sent + 1) & 0xFFFFFFFF
            flow.closed = True
        elif packet.flags & FIN:
            self._send(key, flow, ACK, flow.sent)

    async def _work(self, key, flow, packet):
        request = request_id(packet.data)
        self.lab.on_run(self, packet, request)
        await asyncio.sleep(self.work_s)
        body = f"{self.name} ran {request}\n".encode()
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
            f"Bramleyramp-Response-Signature: {checksum((1,), body)}\r\n\r\n"
        )
        data = head.encode() + body
        flow.answer = (flow.sent, data)
        flow.sent = (flow.sent + len(data)) & 0xFFFFFFFF
        if self.running and self.flows.get(key) is flow:
            self._send(key, flow, ACK, flow.answer[0], data)

    def _send(self, key, flow, flags, seq, data=b""):
        src, sport, dst, dport = key
        packet = Packet(dst, dport, src, sport, flags, seq, flow.received, data)
        self.transport.sendto(packet.encode(), (self.ip, self.lab.outbound_port))

    def _bounce(self, packet):
        packet.flags |= BOUNCED
        self.transport.sendto(packet.encode(sign=False), (self.ip, self.lab.outbound_port))


def request_id(data):
    for line in data.split(b"\r\n"):
        if line.lower().startswith(b"bramleyramp-request-id:"):
            return line.split(b":", 1)[1].strip().decode()
    return "none"


class Attempt:
    """One try of a requester: a flow with one request."""

    SYN_TIMES_S = (0.0, 0.2, 0.6)
    GIVE_UP_S = 1.4

    def __init__(self, requester, host, port, sport, limit_s):
        self.requester, self.host, self.port, self.sport = requester, host, port, sport
        self.limit_s = limit_s
        self.iss = random.getrandbits(32)
        self.answered = asyncio.get_running_loop().create_future()
        self.opened = asyncio.get_running_loop().create_future()
        self.expected = None
        self.sent = (self.iss + 1) & 0xFFFFFFFF
        self.received = b""

    def _packet(self, flags, seq, ack, data=b""):
        r = self.requester
        return Packet(r.ip, self.sport, self.host, self.port, flags, seq, ack, data)

    def _send(self, packet):
        self.requester.send(packet)

    def on_packet(self, packet):
        if packet.flags & RST:
            for future in (self.opened, self.answered):
                if not future.done():
                    future.set_result("reset")
            return
        if packet.flags & SYN and packet.flags & ACK:
            if self.expected is None and packet.ack == self.sent:
                self.expected = (packet.seq + 1) & 0xFFFFFFFF
                if not self.opened.done():
                    self.opened.set_result("open")
            return
        if self.expected is None:
            return
        if packet.data and packet.seq == self.expected:
            self.expected = (self.expected + len(packet.data)) & 0xFFFFFFFF
            self.received += packet.data
            self._send(self._packet(ACK, self.sent, self.expected))
            if not self.answered.done():
                self.answered.set_result("answered")
        if packet.flags & FIN:
            self._send(self._packet(ACK, self.sent, (self.expected + 1) & 0xFFFFFFFF))

    async def open(self):
        began = time.monotonic()
        for copy, at in enumerate(self.SYN_TIMES_S):
            wait = began + at - time.monotonic()
            if wait > 0:
                await asyncio.wait([self.opened], timeout=wait)
            if self.opened.done():
                break
            self._send(self._packet(SYN, self.iss, copy))
        await asyncio.wait([self.opened], timeout=max(0, began + self.GIVE_UP_S - time.monotonic()))
        return self.opened.result() if self.opened.done() else "silent"

    async def request(self, text):
        data = text.encode()
        seq = self.sent
        self.sent = (self.sent + len(data)) & 0xFFFFFFFF
        began, pause = time.monotonic(), 0.2
        while not self.answered.done() and time.monotonic() - began < self.limit_s:
            self._send(self._packet(ACK, seq, self.expected, data))
            await asyncio.wait([self.answered], timeout=pause)
            pause = min(pause * 2, 1.6)
        return self.answered.result() if self.answered.done() else "unanswered"

    def close(self):
        if self.expected is not None:
            self._send(self._packet(FIN | ACK, self.sent, self.expected))


class Requester(asyncio.DatagramProtocol):
    """Requesters at one address, behind the routers of one zone."""

    def __init__(self, lab, ip, zone):
        self.lab, self.ip, self.zone = lab, ip, zone
        self.attempts = {}
        self.next_port = 20000
        self.number = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.lab.data_port)
        )

    def send(self, packet):
        front = self.lab.route(self.zone, packet)
        if packet.flags == SYN:
            self.lab.opened_through.setdefault((self.ip, packet.sport), []).append(front)
        if front:
            self.transport.sendto(packet.encode(), (front, self.lab.data_port))

    def datagram_received(self, datagram, address):
        packet = Packet.decode(datagram)
        attempt = self.attempts.get(packet.dport) if packet else None
        if attempt:
            attempt.on_packet(packet)

    def attempt(self, host, port, limit_s=2.0):
        sport = self.next_port
        self.next_port += 1
        attempt = Attempt(self, host, port, sport, limit_s)
        self.attempts[sport] = attempt
        return attempt

    async def call(self, host, port, method="GET", limit_s=2.0):
        """One request on a flow of its own; returns how the attempt ended."""
        self.number += 1
        name = f"{self.ip}-{self.number}"
        attempt = self.attempt(host, port, limit_s)
        began = time.monotonic()
        self.lab.record.add("sent", request=name, port=attempt.sport, to=f"{host}:{port}")
        self.lab.sent_at[(self.ip, attempt.sport)] = began
        result = await attempt.open()
        if result == "open":
            text = (
                f"{method} /work HTTP/1.1\r\nHost: service\r\n"
                f"Bramleyramp-Request-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            )
            result = await attempt.request(text)
            attempt.close()
        self.lab.record.add(result, request=name, after_ms=int(1000 * (time.monotonic() - began)))
        self.lab.results[result] = self.lab.results.get(result, 0) + 1
        self.lab.ended.append((began, (self.ip, attempt.sport), (host, port), result))
        asyncio.get_running_loop().call_later(3, self.attempts.pop, attempt.sport, None)
        return result


class Process:
    """One process of the system."""

    def __init__(self, lab, name, role, ip, zone, command, extra):
        self.lab, self.name, self.role, self.ip, self.zone = lab, name, role, ip, zone
        self.command = command
        self.settings = os.path.join(lab.folder, f"{name}.conf")
        self.log = os.path.join(lab.folder, f"{name}.log")
        self.child = None
        self.extra = extra

    def write_settings(self, store_port):
        lab = self.lab
        fields = {
            "NodeName": self.name,
            "Role": self.role,
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "geo",
            "Zones.zone-a": "geo",
            "Zones.zone-b": "geo",
            "Zones.zone-c": "geo",
            "Listen.DataAddr": f"{self.ip}:{lab.data_port}",
            "Listen.Ready": f"{self.ip}:{lab.ready_port}",
            "InternalPorts": f"{lab.internal_port},{lab.internal_port + 1}",
            "Seeds": ",".join(f"{ip}:{lab.control_port}" for ip in lab.seeds),
            "Bootstrap": "true",
            "Limits.LinkMbps": "1000.0",
            "Discovery": "platform",
            "EntryType": "announce",
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Bounds.StableMs": 4000,
            "Bounds.DrainMs": 3000,
            "Bounds.GraceS": 6,
            "Bounds.ConfigApplyMs": 3000,
            "Bounds.ColdOver": 1.5,
            "Bounds.ColdSlack": 5,
            "Bounds.EvacuateMs": 5000,
            "HashScheme": "steady",
            "DeploymentMode": "agent",
            "platform.Address": f"{lab.store_ip}:{store_port}",
            "platform.DeploymentMode": "read",
            "platform.ReadsPerS": 2000,
            "platform.HistoryS": 20,
            "platform.ValueBytes": 1048576,
        }
        fields.update(self.extra)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.writelines(f"{key}={value}\n" for key, value in fields.items())

    def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["BRAMLEYRAMP_NODE_FILE"] = self.settings
        log = open(self.log, "ab")
        self.child = subprocess.Popen(
            self.command, cwd=REPOSITORY, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.lab.record.add("process-start", process=self.name)

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)
            self.lab.record.add("signal", process=self.name, number=int(number))

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child:
            self.child.wait()


class Lab:
    def __init__(self, folder_of_case):
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory(prefix="ramp-review-")
        self.folder = self.temporary.name
        self.net, self.net_lock = self.free_net()
        self.store_ip = f"{self.net}.0.1"
        ports = self.free_ports(7)
        (self.data_port, self.ready_port, self.control_port, self.app_port) = ports[:4]
        self.outbound_port, self.internal_port, self.next_store_port = ports[4:]
        self.store = Store(self)
        self.processes, self.servers, self.requesters = {}, {}, []
        self.fronts, self.in_rotation = [], {}
        self.seeds = []
        self.taken, self.sent_at, self.results = [], {}, {}
        # Fronts that the routers chose for each opening, and how each attempt ended.
        self.opened_through, self.ended = {}, []
        self.opened, self.runs = [], []
        self.tasks = []
        self.commands = read_commands(os.path.join(REPOSITORY, "deploy", "system.toml"))

    @staticmethod
    def free_net():
        """Loopback addresses that no other case uses, and the socket that marks them."""
        while True:
            net = f"127.{random.randint(20, 250)}"
            mark = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                mark.bind((f"{net}.0.2", 9463))
                return net, mark
            except OSError:
                mark.close()

    @staticmethod
    def free_ports(count):
        """Ports that nothing uses at 127.0.0.1 or at all addresses; the next one is free too."""
        start = random.randrange(11000, 28000)
        found = []
        while len(found) < count:
            start += 100
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    for port in (start, start + 1):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(("127.0.0.1", port))
                found.append(start)
            except OSError:
                pass
        return found

    def command(self, role):
        words = shlex.split(self.commands[role])
        words[0] = os.path.join(REPOSITORY, words[0])
        return words

    async def add_process(self, name, role, ip, zone, extra):
        process = Process(self, name, role, ip, zone, self.command(role), extra)
        port = self.next_store_port
        self.next_store_port += 1
        await self.store.listen(self.store_ip, port, name)
        process.write_settings(port)
        self.processes[name] = process
        return process

    async def add_front(self, name, number, zone):
        ip = f"{self.net}.1.{number}"
        extra = {
            "MachineClass": "front",
            "Serves": "front,control",
            "Listen.Control": f"{ip}:{self.control_port}",
        }
        self.fronts.append((name, ip, zone))
        self.in_rotation[name] = False
        return await self.add_process(name, "balancer", ip, zone, extra)

    async def add_side(self, name, number, zone, service, **server):
        ip = f"{self.net}.2.{number}"
        self.servers[name] = Server(self, f"i-{name}", ip, service, zone, **server)
        extra = {
            "MachineClass": "side",
            "Serves": "side",
            "Listen.outbound": f"{ip}:{self.outbound_port}",
            "app": f"{ip}:{self.app_port}",
            "Service": service,
        }
        return await self.add_process(name, "agent", ip, zone, extra)

    async def add_requester(self, number, zone):
        requester = Requester(self, f"{self.net}.3.{number}", zone)
        await requester.start()
        self.requesters.append(requester)
        return requester

    def configuration(self, version, routes, cold_per_s=0.0, cold_start_s=2.0, idle_ms=15000):
        services = sorted({route["Service"] for route in routes})
        return {
            "Version": version,
            "Routes": routes,
            "Services": [
                {
                    "Name": name,
                    "HealthPath": "/health",
                    "MaxConns": 2000,
                    "Protocol": "h1",
                    "Tls": False,
                    "ColdStartS": cold_start_s,
                    "ColdPerS": cold_per_s,
                }
                for name in services
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": idle_ms,
            },
        }

    @staticmethod
    def route_entry(name, host, port, service, kind="safe", priority=1, timeout_ms=2000):
        return {
            "Name": name,
            "Host": host,
            "Prefix": f"/{port}/",
            "RouteType": kind,
            "TimeoutMs": timeout_ms,
            "AimMs": 200,
            "Priority": priority,
            "Service": service,
            "MaxAttempts": 2,
        }

    def route(self, zone, packet):
        """The front to which the routers forward a packet: by a steady hash over those of
        the zone that are in rotation."""
        of_zone = [f for f in self.fronts if f[2] == zone]
        ready = [f for f in of_zone if self.in_rotation[f[0]]]
        if not ready:
            ready = [f for f in self.fronts if self.in_rotation[f[0]]]
        elif len(ready) * 2 < len(of_zone):
            ready = of_zone
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        return max(ready, key=lambda f: hash((key, f[1])))[1] if ready else None

    async def watch_fronts(self):
        """Asks each front twice a second whether it is ready."""
        misses = dict.fromkeys(self.in_rotation, 2)
        while True:
            for name, ip, _ in self.fronts:
                asyncio.ensure_future(self._probe(name, ip, misses))
            await asyncio.sleep(0.5)

    async def _probe(self, name, ip, misses):
        ok = False
        try:
            connect = asyncio.open_connection(ip, self.ready_port)
            reader, writer = await asyncio.wait_for(connect, 0.4)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            ok = b" 200" in line
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        misses[name] = 0 if ok else misses.get(name, 0) + 1
        rotation = ok or (misses[name] < 2 and self.in_rotation[name])
        if rotation != self.in_rotation[name]:
            self.in_rotation[name] = rotation
            self.record.add("rotation", front=name, included=rotation)

    async def start(self):
        for server in self.servers.values():
            await server.start()
            self.tasks.append(asyncio.ensure_future(server.watch_expiry()))
        for process in self.processes.values():
            process.start()
        self.tasks.append(asyncio.ensure_future(self.watch_fronts()))
        self.tasks.append(asyncio.ensure_future(self.store.keep_copies()))
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all(self.in_rotation.values()):
                return
        raise RuntimeError("the fronts are not ready")

    def on_taken(self, server, packet):
        """A server has accepted an opening packet."""
        now = time.monotonic()
        sent = self.sent_at.get((packet.src, packet.sport), now)
        self.taken.append((now, sent, server, packet))
        self.record.add("taken", server=server.name, port=packet.sport, src=packet.src)

    def on_open(self, server, packet):
        self.opened.append((time.monotonic(), server, packet))
        self.record.add("open", server=server.name, port=packet.sport, src=packet.src)

    def on_run(self, server, packet, request):
        self.runs.append((time.monotonic(), server, request))
        self.record.add("run", server=server.name, request=request)

    def most_taken_while_cold(self, server):
        """Most openings that were sent by requesters and taken by the server inside one
        second while it was cold after its last start."""
        during = lambda at: server.cold_since <= at < server.cold_until
        taken = [(sent, at) for at, sent, by, _ in self.taken if by is server and during(at)]
        inside = lambda begin: sum(1 for sent, at in taken if begin <= sent and at <= begin + 1.0)
        return max((inside(begin) for begin, _ in taken), default=0)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.child and process.child.poll() is None:
                process.child.kill()
        for process in self.processes.values():
            if process.child:
                process.child.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil

            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        self.record.close()
        self.temporary.cleanup()


ROUTE = ("127.0.4.1", 443)
ZONES = ("zone-a", "zone-b", "zone-c")


async def small_fleet(lab, cold_per_s=0.0):
    """One front, one server with its agent, and requesters in each of three zones."""
    lab.seeds = [f"{lab.net}.1.{number}" for number in (1, 2, 3)]
    for number, zone in enumerate(ZONES, 1):
        await lab.add_front(f"front-{zone}", number, zone)
        await lab.add_side(f"side-{zone}", number, zone, "ledger")
        await lab.add_requester(number, zone)
    route = lab.route_entry("r-1", *ROUTE, "ledger")
    lab.store.put("op/config", lab.configuration(7, [route], cold_per_s=cold_per_s))
    await lab.start()


async def send_requests(lab, per_s, duration_s, route=None):
    """Requests on flows of their own, from requesters of all zones by turns at random."""
    calls = []
    until = time.monotonic() + duration_s
    while time.monotonic() < until:
        requester = random.choice(lab.requesters)
        calls.append(asyncio.ensure_future(requester.call(*(route or ROUTE))))
        await asyncio.sleep(random.expovariate(per_s))
    await asyncio.wait(calls)


def run_case(folder, play):
    """Runs a case: `play(lab, trouble)` returns a text for each breach of the rule. Exits
    with 1 if there is one, with 0 if the rule held and with 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        lab = Lab(folder)
        code = 2
        try:
            breaches = await asyncio.wait_for(play(lab, trouble), 110)
            code = 1 if breaches else 0
            lab.record.add("results", **lab.results)
            for breach in breaches or ["none"]:
                lab.record.add("breach", text=breach)
                print(breach if breaches else "the rule held")
        except Exception as err:  # The case could not run.
            print(f"the case could not run: {err!r}", file=sys.stderr)
        finally:
            lab.stop()
            sys.stdout.flush()
            # Ends at once: tasks of the stand-ins may still wait.
            os._exit(code)

    asyncio.run(whole())
