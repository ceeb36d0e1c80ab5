"""Check of FAILBACK: new flows that a cold server takes in any second, over all machines.
A cold server that takes more falls over: it crashes, and its flows are gone."""

import time

COLD_OVER, COLD_SLACK = 1.5, 5


class ColdCheck:
    def __init__(self, lab):
        self.lab, self.limit = lab, lab.cold_per_s * COLD_OVER + COLD_SLACK
        self.taken, self.most = {}, 0
        lab.on_opening = self.on_opening

    def on_opening(self, server, p, cold):
        if not cold:
            return
        now = time.monotonic()
        attempt = self.lab.callers.attempts.get(p.sport)
        taken = self.taken.setdefault(server.id, [])
        taken.append((attempt.began_at if attempt else now, now))
        # Counted are those that were sent and arrived inside one second.
        count = max(sum(start <= sent and at < start + 1 for sent, at in taken)
                    for start, _ in taken)
        self.most = max(self.most, count)
        if count > self.limit:
            self.lab.broken("FAILBACK", "cold server %s took %d new flows in a second, at most "
                            "%.0f are allowed" % (server.id, count, self.limit))
            server.crash()
