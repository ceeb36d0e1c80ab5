"""A requester's earlier flow from the same port makes a balancer reset an open flow."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from fleet import Requester, run_case  # noqa: E402

PORTS = range(41001, 41091)


async def play(fleet, trouble):
    fleet.add_front("front-neast-a-1", "neast-a")
    fleet.add_front("front-neast-a-2", "neast-a")
    leaving = fleet.add_side("side-neast-a-1", "neast-a", "ledger")
    fleet.add_side("side-neast-b-1", "neast-b", "ledger")
    fleet.add_side("side-neast-c-1", "neast-c", "ledger")
    fleet.configure(7, [fleet.add_route(8080, "ledger")], ["ledger"])
    await fleet.start()
    requester = Requester(fleet, fleet.host())
    await requester.start()
    route = fleet.route(8080)
    await asyncio.sleep(4.5)

    # First flows: one request each, closed by the requester and then by the server.
    at_leaving = []
    for port in PORTS:
        flow = requester.flow(route, port)
        if not await flow.open():
            raise RuntimeError("a first flow did not open")
        request, answer = await flow.request()
        if answer is None or not await flow.close():
            raise RuntimeError("a first flow was not served and closed")
        if fleet.run_log[request] == [leaving.server.id]:
            at_leaving.append(port)
    fleet.record.note(f"{len(at_leaving)} first flows were at {leaving.server.id}; all are closed")

    # A release: the server drains, and is still there for some seconds.
    leaving.server.drain()
    await asyncio.sleep(4.0)

    # Later flows from the same ports open at other servers and stay open.
    flows = []
    for port in at_leaving:
        flow = requester.flow(route, port)
        if not await flow.open():
            continue
        request, answer = await flow.request()
        if answer and not flow.in_fin:
            by_id = {m.server.id: m.server for m in fleet.sides}
            flows.append((flow, by_id[fleet.run_log[request][0]]))
    fleet.record.note(f"{len(flows)} later flows from these ports are open")
    if not flows:
        raise RuntimeError("no later flow is open")

    # A planned restart of one front: its flows go on through the other one.
    rolled = fleet.fronts[0]
    if trouble:
        rolled.send_signal(signal.SIGTERM)
        for _ in range(40):
            if not rolled.ready:
                break
            await asyncio.sleep(0.1)
    unserved = []
    for flow, server in flows:
        before = flow.via.name
        request, answer = await flow.request()
        fleet.record.note(f"port {flow.port}: {request} by {before}, then {flow.via.name}: "
                          f"{'answered' if answer else flow.state}"
                          f"{', reset by the system' if flow.reset_by_system else ''}")
        held = any(key[1] == flow.port and f.open and not f.ended() for key, f in server.flows.items())
        if flow.reset_by_system and server.running and held:
            unserved.append(flow.port)
    if unserved:
        return f"{len(unserved)} of {len(flows)} open flows were reset while their server had them"
    return None


run_case(play, HERE)
