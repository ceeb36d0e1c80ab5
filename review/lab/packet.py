"""Packets as PROTOCOL.md describes them, written and read by callers and servers."""

import struct

ACK, RST, BOUNCED, SYN, FIN = 1, 2, 4, 8, 64
HEAD = struct.Struct("<IIIBBIHHHII")
HEAD_LEN = HEAD.size
assert HEAD_LEN == 32


def ip_number(text):
    a, b, c, d = (int(part) for part in text.split("."))
    return a << 24 | b << 16 | c << 8 | d


def ip_text(number):
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


class Packet:
    __slots__ = ("seq", "ack", "echo", "flags", "pad", "sum", "dport", "sport", "dst", "src", "data")

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq, ack, data
        self.echo = self.pad = self.sum = 0

    def encode(self):
        self.sum = checksum(self)
        return HEAD.pack(self.seq, self.ack, 0, self.flags, 0, self.sum, len(self.data),
                         self.dport, self.sport, self.dst, self.src) + self.data

    def opens(self):
        return self.flags & (SYN | ACK) == SYN


def checksum(packet):
    """Keyed sum over all fields but echo, pad and BOUNCED."""
    total = 2166136261
    flags = packet.flags & ~BOUNCED
    for word in (packet.seq, packet.ack, flags, len(packet.data), packet.dport, packet.sport,
                 packet.dst, packet.src, 0x5EED):
        total = (total ^ word) * 16777619 & 0xFFFFFFFF
    for at in range(0, len(packet.data), 16):
        total = (total ^ hash(packet.data[at:at + 16]) & 0xFFFFFFFF) * 16777619 & 0xFFFFFFFF
    return total or 1


def decode(buf):
    """The packet, or None if its length or its sum is wrong. A reset of the system's own
    has the sum 0 and no data."""
    if len(buf) < HEAD_LEN:
        return None
    seq, ack, echo, flags, pad, total, length, dport, sport, dst, src = HEAD.unpack_from(buf)
    packet = Packet(src, sport, dst, dport, flags, seq, ack, bytes(buf[HEAD_LEN:]))
    packet.echo, packet.pad, packet.sum = echo, pad, total
    if length != len(packet.data):
        return None
    own_reset = flags == RST and total == 0 and not packet.data
    return packet if own_reset or checksum(packet) == total else None


def bounced(buf):
    """The packet as a server returns it: BOUNCED set, echo unchanged, pad 0."""
    buf = bytearray(buf)
    buf[12] |= BOUNCED
    buf[13] = 0
    return bytes(buf)
