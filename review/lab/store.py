"""Stand-in for the platform's store: /kv-key, /kv-range and /kv-watch over HTTP/1.1.

Servers and the operator write by calling put() and remove(). While the store is down
nothing is written and nobody gets an answer; entries do not expire meanwhile.
"""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

PAGE = 500


class Store:
    def __init__(self, host, port):
        self.host, self.port = host, port
        self.items, self.events, self.revision = {}, [], 100
        self.down = False
        self.changed = asyncio.Event()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def put(self, key, value):
        """Writes an entry; False while the store is down."""
        if self.down:
            return False
        raw = json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        self.items[key] = {"Key": key, "Value": base64.b64encode(raw).decode(),
                           "Revision": self.revision, "Created": created, "Lease": 0}
        self.note(self.items[key])
        return True

    def remove(self, key):
        if self.down:
            return False
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"Key": key, "Revision": self.revision, "Tombstone": True})
        return True

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                while (await reader.readline()).strip():
                    pass
                self.calls += 1
                path = line.split()[1].decode()
                answer = await self.answer(path)
                if self.down:
                    answer = 503, {}
                status, body = answer
                raw = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(raw)) + raw)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, path):
        if self.down:
            return 503, {}
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        prefix = query.get("Prefix", "")
        if url.path == "/kv-key":
            item = self.items.get(query.get("Key", ""))
            return (200, dict(item, AsOf=self.revision)) if item else (404, {"AsOf": self.revision})
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            page = keys[:PAGE]
            return 200, {"items": [self.items[k] for k in page], "HasMore": len(keys) > len(page),
                         "AsOf": self.revision}
        if url.path == "/kv-watch":
            return await self.watch(prefix, int(query["after"]), int(query.get("WaitMs", 0)) / 1000)
        return 400, {}

    async def watch(self, prefix, after, wait):
        end = asyncio.get_running_loop().time() + wait
        while True:
            events = [e for e in self.events if e["Revision"] > after and e["Key"].startswith(prefix)]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0 or self.down:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
