"""A ban of a deadly part is lost with a restored store, and later with the processes that knew it.

The store comes back from a copy some seconds old. Later all gateways are killed and start again.
TROUBLE=kill leaves out the restored store alone, TROUBLE=0 also the kill.
"""
import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
from fleet3 import Fleet, route, run
from parts3 import CONTACT_S, DEADLY, PartRunner, Traffic, late_deadly_arrivals

SHARED = "5c1e07a2"
TROUBLE = os.environ.get("TROUBLE", "1")
AWAY_S = 1.0
OPERATOR_S = 1.0
DOWN_S = 1.0


class DeadlyRunner(PartRunner):
    crashes_on_part = True


async def send(fleet, traffic, seconds, deadly_gap_s):
    """Sends ten sound requests a second, and deadly ones with the given pause, if any."""
    until = time.monotonic() + seconds
    next_deadly = time.monotonic()
    while time.monotonic() < until:
        traffic.send("sound", [SHARED])
        if deadly_gap_s and time.monotonic() >= next_deadly:
            next_deadly += deadly_gap_s
            traffic.send("deadly", [SHARED, DEADLY])
        await asyncio.sleep(0.1)
    await traffic.finish()


def bans(fleet):
    return sum(1 for (_, key), row in fleet.store.rows.items()
               if key.startswith("ban/") and not row.get("deleted"))


async def restore(fleet, copy):
    fleet.store.up = False
    fleet.store.wake()
    fleet.record("the store is away")
    await asyncio.sleep(AWAY_S)
    fleet.store.up = True
    fleet.store.restore(copy)
    fleet.record("the store is back from its copy")
    await asyncio.sleep(OPERATOR_S)
    fleet.configure()


async def restart(fleet):
    for gateway in fleet.gateways:
        gateway.end()
    fleet.record("all gateways are killed")
    await asyncio.sleep(DOWN_S)
    for gateway in fleet.gateways:
        gateway.start(bootstrap=False)
    for _ in range(100):
        if all([await gateway.ready() for gateway in fleet.gateways]):
            break
        await asyncio.sleep(0.1)
    else:
        raise RuntimeError("the gateways did not start again")
    fleet.record("all gateways are ready again")


async def case():
    fleet = Fleet(pathlib.Path(__file__).resolve().parent,
                  [route("/draft/", "stream", "lm-pool", resumeStreams=True, affinity=True)],
                  [{"name": "lm-pool", "healthPath": "/healthz"}], gateways=3)
    fleet.crashes, fleet.deadly_arrivals = [], []
    for number in range(12):
        fleet.add(f"i-{number}", "lm-pool", DeadlyRunner)
    try:
        await fleet.open()
        traffic = Traffic(fleet)
        await send(fleet, traffic, 2, None)
        copy = fleet.store.copy()
        await send(fleet, traffic, 4, 0.2)
        stored = bans(fleet)
        if TROUBLE not in ("0", "kill"):
            await restore(fleet, copy)
        await send(fleet, traffic, 12, 0.5)
        kept = bans(fleet)
        if TROUBLE != "0":
            await restart(fleet)
        await asyncio.sleep(CONTACT_S + 2)
        since = time.monotonic()
        await send(fleet, traffic, 12, 0.2)
        late = late_deadly_arrivals(fleet)
        later = sum(1 for at in fleet.deadly_arrivals if at >= since)
        text = (f"{len(fleet.crashes)} crashes; {stored} bans stored before, {kept} at the end; "
                f"{late} requests with the deadly part reached runners later than contactMs after "
                f"the fifth crash, {later} of them at the end; 3 are allowed")
        fleet.record(text)
        print(text)
        return late <= 3
    finally:
        await fleet.close()


run(case)
