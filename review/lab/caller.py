"""Stand-in for the requesters and for the routers before the balancers."""

import asyncio
import random
import re
import time

from packet import ACK, FIN, RST, SYN, Packet, decode, ip_number

SYN_TIMES_S = (0.0, 0.2, 0.6)
OPEN_LIMIT_S = 1.4
RETRANSMIT_S, RETRANSMIT_MAX_S = 0.2, 1.6


class Routers:
    """Chooses a balancer for each flow; a balancer that misses two probes is left out."""

    def __init__(self, lab):
        self.lab, self.misses = lab, {}

    async def probe_loop(self):
        while True:
            await asyncio.gather(*(self.probe(n) for n in self.lab.balancers))
            await asyncio.sleep(0.5)

    async def probe(self, node):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(node.ip, self.lab.ports.ready), 0.4)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            good = b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            good = False
        misses = self.misses.get(node.name, 2)
        self.misses[node.name] = 0 if good else misses + 1

    def in_rotation(self):
        good = [n for n in self.lab.balancers if self.misses.get(n.name, 2) < 2]
        return good if 2 * len(good) >= len(self.lab.balancers) else self.lab.balancers

    def pick(self, key):
        """Rendezvous hashing: only the flows of a balancer that leaves are moved."""
        return max(self.in_rotation(), key=lambda n: hash((key, n.ip, 77)))


class Attempt:
    """One flow of a requester, with the requests that it sends on it in turn."""

    def __init__(self, callers, service, request_ids, limit_s, pause_s=0.0):
        self.callers, self.lab = callers, callers.lab
        self.host, self.port = service
        self.sport = callers.take_port()
        self.key = (callers.number, self.sport, ip_number(self.host), self.port)
        self.request_ids, self.limit_s, self.pause_s = request_ids, limit_s, pause_s
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.inbox = asyncio.Queue()
        self.server_isn = None
        # When the last packet was sent, and the one before it.
        self.sent_at = self.used_at = self.began_at = time.monotonic()

    def send(self, flags, data=b"", seq=None, ack=None):
        p = Packet(self.key[0], self.key[1], self.key[2], self.key[3], flags,
                   self.seq if seq is None else seq, self.ack if ack is None else ack, data)
        self.used_at = self.sent_at
        self.sent_at = time.monotonic()
        node = self.lab.routers.pick(self.key)
        self.callers.transport.sendto(p.encode(), (node.ip, self.lab.ports.data))
        return node

    async def receive(self, until):
        left = until - time.monotonic()
        if left <= 0:
            return None
        try:
            return await asyncio.wait_for(self.inbox.get(), left)
        except asyncio.TimeoutError:
            return None

    async def run(self):
        """Ends as unopened, reset, unanswered or served."""
        self.callers.attempts[self.sport] = self
        try:
            result = await self.open()
            if result is None:
                result = await self.requests()
        finally:
            asyncio.get_running_loop().call_later(5, self.callers.attempts.pop, self.sport, None)
        return result

    async def open(self):
        began = time.monotonic()
        for copy, at in enumerate(SYN_TIMES_S):
            until = began + (SYN_TIMES_S + (OPEN_LIMIT_S,))[copy + 1]
            self.send(SYN, ack=copy)
            while (p := await self.receive(until)) is not None:
                if p.flags & RST:
                    return "refused"
                if p.flags & SYN:
                    self.server_isn = p.seq
                    self.ack = p.seq + 1 & 0xFFFFFFFF
                    self.seq = self.seq + 1 & 0xFFFFFFFF
                    self.opened_at = time.monotonic()
                    self.send(ACK)
                    return None
        return "unopened"

    async def requests(self):
        result = "served"
        for number, request_id in enumerate(self.request_ids):
            if number and self.pause_s:
                p = await self.idle(self.pause_s)
                if p is not None:
                    return "reset"
            result = await self.request(request_id)
            if result != "served":
                return result
        self.send(FIN | ACK)
        return result

    async def idle(self, pause_s):
        end = time.monotonic() + pause_s
        while (p := await self.receive(end)) is not None:
            if p.flags & RST:
                self.note_reset(p)
                return p
        return None

    async def request(self, request_id):
        data = ("POST / HTTP/1.1\r\nBramleyramp-Request-Id: %s\r\nContent-Length: 24\r\n\r\n%24s"
                % (request_id, request_id)).encode()
        self.lab.sent(request_id, self)
        end = time.monotonic() + self.limit_s
        seq, wait = self.seq, RETRANSMIT_S
        self.seq = self.seq + len(data) & 0xFFFFFFFF
        while time.monotonic() < end:
            self.send(ACK, data, seq=seq)
            until = min(end, time.monotonic() + wait)
            wait = min(2 * wait, RETRANSMIT_MAX_S)
            while (p := await self.receive(until)) is not None:
                if p.flags & RST:
                    self.note_reset(p)
                    return "reset"
                if p.data and p.seq == self.ack:
                    self.ack = p.seq + len(p.data) & 0xFFFFFFFF
                    if data[-24:] not in p.data:
                        self.lab.broken("MIXED", "request %s got another answer" % request_id)
                    self.send(ACK)
                    self.lab.answered(request_id)
                    return "served"
        return "unanswered"

    def note_reset(self, p):
        self.lab.on_reset(self, own=p.sum == 0)


class Callers(asyncio.DatagramProtocol):
    """All requesters of one address."""

    def __init__(self, lab, ip):
        self.lab, self.ip, self.number = lab, ip, ip_number(ip)
        self.attempts, self.next_port = {}, 40000

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.lab.ports.data))

    def take_port(self):
        self.next_port += 1
        return self.next_port

    def datagram_received(self, buf, addr):
        p = decode(buf)
        if p is None:
            found = re.search(rb"Request-Id: (\S+)", buf)
            self.lab.broken("MIXED", "requester %s got %d bytes from %s that no server wrote%s" % (
                self.ip, len(buf), addr[0],
                "; they hold request %s of another requester" % found[1].decode() if found else ""))
            return
        attempt = self.attempts.get(p.dport)
        if attempt is not None:
            attempt.inbox.put_nowait(p)
