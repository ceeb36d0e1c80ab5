"""Disruptions that more than one case uses."""

import asyncio


async def store_outage(lab, seconds):
    """The platform's store refuses all calls with 503."""
    lab.log("store_down")
    lab.store.down = True
    await asyncio.sleep(seconds)
    lab.store.down = False
    lab.log("store_up")


async def power_cycle(lab, zone, dark_s):
    """All machines of a zone lose power, with their servers, and come back."""
    nodes = [n for n in lab.nodes if n.zone == zone]
    for node in nodes:
        node.kill()
        if node.server:
            node.server.crash()
    await asyncio.sleep(dark_s)
    for node in nodes:
        if node.server:
            await node.server.start(cold_s=lab.cold_start_s)
        node.start()


async def crash_servers(lab, zone, down_s):
    """The servers of a zone crash and come back cold; their machines run on."""
    servers = [s for s in lab.servers if s.zone == zone]
    for server in servers:
        server.crash()
    await asyncio.sleep(down_s)
    for server in servers:
        await server.start(cold_s=lab.cold_start_s)


async def restart_in_turn(nodes, gap_s):
    """SIGTERM to one process after the other, each started again once it has ended."""
    for node in nodes:
        await node.terminate()
        node.start()
        await asyncio.sleep(gap_s)
