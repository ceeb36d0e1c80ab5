"""A requester that opens its next flow from the same port goes on being sent to a server
that drains."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from fleet import DRAIN_MS, Requester, run_case  # noqa: E402

PORTS = range(41001, 41025)


async def play(fleet, trouble):
    fleet.add_front("front-neast-a-1", "neast-a")
    fleet.add_front("front-neast-b-1", "neast-b")
    leaving = fleet.add_side("side-neast-a-1", "neast-a", "ledger")
    fleet.add_side("side-neast-b-1", "neast-b", "ledger")
    fleet.add_side("side-neast-c-1", "neast-c", "ledger")
    fleet.configure(7, [fleet.add_route(8080, "ledger")], ["ledger"])
    await fleet.start()
    requester = Requester(fleet, fleet.host())
    await requester.start()
    route = fleet.route(8080)
    await asyncio.sleep(4.5)

    # Long flows, each with a request now and then.
    flows = []
    for port in PORTS:
        flow = requester.flow(route, port)
        if not await flow.open() or (await flow.request())[1] is None:
            raise RuntimeError("a flow was not served")
        flows.append(flow)

    acked_at = time.monotonic()
    if trouble:
        leaving.server.drain()
        acked_at = leaving.server.state_acked_at
    await asyncio.sleep(DRAIN_MS / 1000 + 0.5)

    # The next request on each flow; the server closes the flow after its answer. The
    # requester closes too and opens its next flow, from the same port.
    late = []
    for flow in flows:
        request, answer = await flow.request(close=not trouble)
        await flow.close()
        following = requester.flow(route, flow.port)
        count = len(leaving.server.openings)
        opened = await following.open()
        request, answer = await following.request() if opened else (None, None)
        taken = leaving.server.openings[count:]
        if trouble and taken and following.sent_at > acked_at + DRAIN_MS / 1000:
            late.append(request)
            fleet.record.note(f"port {flow.port}: the opening was sent {following.sent_at - acked_at:.3f} s after "
                              f"the ack and was taken by the draining server")
    if late:
        return f"{len(late)} flows opened later than {DRAIN_MS} ms after the ack reached the draining server"
    return None


run_case(play, HERE)
