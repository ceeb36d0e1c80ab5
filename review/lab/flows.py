"""Check of FLOW (a): a requester gets a reset that the flow's server did not send, while the
flow is open at that server and the server lives. Flows older than MaxFlowS or idle longer
than IdleTimeoutMs are not counted."""

import time

MAX_FLOW_S = 60


class FlowCheck:
    def __init__(self, lab):
        self.lab = lab
        self.resets = 0
        lab.on_reset = self.on_reset

    def on_reset(self, attempt, own):
        self.resets += 1
        holder = next((s for s in self.lab.servers
                       if s.alive and attempt.key in s.flows and s.flows[attempt.key].open
                       and not s.flows[attempt.key].closed), None)
        self.lab.log("reset", port=attempt.sport, from_system=int(own),
                     open_at=holder.name if holder else "-")
        now = time.monotonic()
        counts = (now - attempt.began_at <= MAX_FLOW_S
                  and now - attempt.used_at <= self.lab.idle_ms / 1000)
        if own and holder and counts:
            self.lab.broken("FLOW", "flow from port %d is open at %s and was reset by the system"
                            % (attempt.sport, holder.name))
