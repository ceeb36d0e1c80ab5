"""Stand-in for a backend server in the form `agent`: it takes packets at `app`, sends all
of its own to `outbound`, and reports itself to the store."""

import asyncio
import collections
import random
import time

from packet import ACK, FIN, RST, SYN, Packet, bounced, decode

HEARTBEAT_S = 0.77
# How many times slower a cold server works.
COLD_X = 1.6


class Flow:
    def __init__(self, isn, caller_seq):
        self.isn, self.open, self.closed = isn, False, False
        self.next_seq = isn + 1 & 0xFFFFFFFF
        self.expected = caller_seq + 1 & 0xFFFFFFFF
        self.answers = {}


class Server(asyncio.DatagramProtocol):
    def __init__(self, lab, name, ip, zone, service, slots, work_s):
        self.lab, self.name, self.ip, self.zone, self.service = lab, name, ip, zone, service
        self.slots, self.work_s = slots, work_s
        self.alive, self.flows, self.boots = False, {}, 0
        self.transport = self.health = None
        self.state = "ready"
        self.seen = None

    async def start(self, cold_s=0.0, born_ms=None, report_after=0.0):
        """Starts a boot: a new id, no flows, cold for `cold_s` seconds."""
        loop = asyncio.get_running_loop()
        self.boots += 1
        self.id = "i-%s-%d-%04x" % (self.name, self.boots, random.randrange(65536))
        self.born_ms = int(time.time() * 1000) if born_ms is None else born_ms
        self.started_at, self.cold_until = time.monotonic(), time.monotonic() + cold_s
        self.flows, self.busy, self.waiting = {}, 0, collections.deque()
        self.sequence, self.written, self.state = 0, None, "ready"
        self.served_at = []
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.lab.ports.app))
        self.health = await asyncio.start_server(self.answer_health, self.ip, self.lab.ports.app)
        self.alive = True
        self.lab.log("server_start", server=self.name, id=self.id, cold_s=cold_s)
        self.reporter = asyncio.ensure_future(self.report_loop(report_after))

    def crash(self):
        """Ends the boot without a word; its flows are gone."""
        self.alive = False
        self.reporter.cancel()
        self.transport.close()
        self.health.close()
        self.lab.log("server_crash", server=self.name, id=self.id, open_flows=self.open_flows())
        self.expire_later(self.id, self.reported_at)

    def open_flows(self):
        return sum(f.open for f in self.flows.values())

    def expire_later(self, entry, reported_at):
        """The store drops an entry after three intervals of silence, not while it is down."""
        async def expire():
            await asyncio.sleep(max(0, reported_at + 3 * HEARTBEAT_S - time.monotonic()))
            while not self.lab.store.remove("servers/" + entry):
                await asyncio.sleep(0.1)
        asyncio.ensure_future(expire())

    def entry(self):
        left = max(0, self.cold_until - time.monotonic())
        return {"Service": self.service, "Address": "%s:%d" % (self.ip, self.lab.ports.app),
                "Zone": self.zone, "Version": "v1", "Slots": self.slots, "State": self.state,
                "ColdLeftMs": round(left * 1000), "Sequence": self.sequence, "born": self.born_ms}

    def report(self):
        self.sequence += 1
        entry = self.entry()
        content = {k: v for k, v in entry.items() if k not in ("Sequence", "ColdLeftMs")}
        content["cold"] = entry["ColdLeftMs"] > 0
        if content == self.written:
            if not self.lab.store.down:
                self.reported_at = time.monotonic()
            return
        if self.lab.store.put("servers/" + self.id, entry):
            self.reported_at = time.monotonic()
            self.written = content
            self.lab.log("report", server=self.name, id=self.id, state=self.state,
                         cold_left_ms=entry["ColdLeftMs"])

    async def report_loop(self, report_after):
        self.reported_at = time.monotonic()
        await asyncio.sleep(report_after)
        while True:
            self.report()
            # A report that the store did not take is made again soon.
            await asyncio.sleep(HEARTBEAT_S if self.written else 0.1)

    async def answer_health(self, reader, writer):
        try:
            while (await reader.readline()).strip():
                pass
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def send(self, packet):
        self.transport.sendto(packet.encode(), (self.ip, self.lab.ports.outbound))

    def reply(self, p, flags, seq, ack, data=b""):
        self.send(Packet(p.dst, p.dport, p.src, p.sport, flags, seq, ack, data))

    def datagram_received(self, buf, addr):
        if not self.alive:
            return
        p = decode(buf)
        if p is None:
            self.lab.broken("UNASKED", "%s got a packet that its sender did not write so" % self.name)
            return
        if p.flags & SYN and p.flags & ACK:
            self.lab.broken("UNASKED", "%s got a forged SYN+ACK" % self.name)
            return
        key = (p.src, p.sport, p.dst, p.dport)
        flow = self.flows.get(key)
        if p.opens():
            if flow is None:
                flow = self.flows[key] = Flow(random.getrandbits(32), p.seq)
                self.lab.opening(self, p)
            if not flow.closed:
                self.reply(p, SYN | ACK, flow.isn, p.seq + 1 & 0xFFFFFFFF)
            return
        if flow is not None and not flow.open and p.flags & ACK and p.ack == flow.isn + 1 & 0xFFFFFFFF:
            flow.open = True
        if flow is None or not flow.open:
            self.transport.sendto(bounced(buf), (self.ip, self.lab.ports.outbound))
            return
        if p.flags & RST:
            flow.closed = True
            return
        if p.data:
            self.on_data(key, flow, p)
        if p.flags & FIN:
            flow.closed = True
            self.reply(p, ACK, flow.next_seq, p.seq + len(p.data) + 1 & 0xFFFFFFFF)

    def on_data(self, key, flow, p):
        if flow.closed:
            return self.reply(p, RST, flow.next_seq, 0)
        if p.seq in flow.answers:
            if flow.answers[p.seq] is not None:
                self.send(flow.answers[p.seq])
            return
        if p.seq != flow.expected:
            return
        flow.expected = p.seq + len(p.data) & 0xFFFFFFFF
        flow.answers[p.seq] = None
        self.lab.arrived(self, p)
        if self.busy < self.slots:
            self.work(key, p)
        else:
            self.waiting.append((key, p))

    def work(self, key, p):
        self.busy += 1
        self.lab.run(self, p)
        asyncio.get_running_loop().call_later(self.time_for_work(), self.finish, self.boots, key, p)

    def time_for_work(self):
        cold = time.monotonic() < self.cold_until
        return self.work_s * (COLD_X if cold else 1)

    def finish(self, boot, key, p):
        if not self.alive or boot != self.boots:
            return
        self.busy -= 1
        flow = self.flows.get(key)
        if flow is not None and not flow.closed:
            body = b"HTTP/1.1 200 OK\r\nBramleyramp-Response-Signature: " + p.data[-24:] + b"\r\n\r\n"
            answer = Packet(p.dst, p.dport, p.src, p.sport, ACK, flow.next_seq, flow.expected, body)
            flow.next_seq = flow.next_seq + len(body) & 0xFFFFFFFF
            flow.answers[p.seq] = answer
            self.send(answer)
        if self.waiting and self.busy < self.slots:
            self.work(*self.waiting.popleft())
