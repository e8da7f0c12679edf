"""Runners that crash on one part of a prompt, and requesters that send it.

PAGES-NEWS: "One part of a prompt (X-Prefix-Hash; never the last) may crash each runner that begins
to write an answer on it, whatever else the request holds; the runner is back after some seconds."
"""
import asyncio
import random
import time

from fleet3 import (Channel, Runner, chunk, event, first_event, stream_head, trouble)

DEADLY = "bad0f00d"
READING_S = 0.05
PAUSE_S = 0.05
EVENTS = 10
BACK_AFTER_S = 3.0
CONTACT_S = 3.0
BUDGET_MS = 6000


class PartRunner(Runner):
    """Reads a prompt, then writes its answer. `events_before_crash` events of an answer on the
    deadly part leave the runner before it ends."""

    events_before_crash = 0
    crashes_on_part = trouble()

    async def work(self, method, target, head, body, reader, writer):
        is_deadly = DEADLY in [part.partition(":")[0]
                               for part in head.get("x-prefix-hash").split(",")]
        self.fleet.ran(self, head, "deadly part" if is_deadly else "sound")
        if is_deadly:
            self.fleet.deadly_arrivals.append(time.monotonic())
        await asyncio.sleep(READING_S)
        will_crash = is_deadly and self.crashes_on_part
        left = self.events_before_crash if will_crash else EVENTS
        if left:
            writer.write(stream_head(self.echo(head)))
        for number in range(first_event(head), EVENTS + 1):
            if left == 0:
                break
            left -= 1
            writer.write(chunk(event(head, number)))
            await writer.drain()
            if left:
                await asyncio.sleep(PAUSE_S)
        if will_crash:
            self.crash(head)
            return False
        writer.write(chunk(b""))
        await writer.drain()
        return True

    def crash(self, head):
        if not self.alive:
            return
        self.alive = False
        self.fleet.crashes.append(time.monotonic())
        self.fleet.record(f"{self.id} crashes under {head.get('x-request-id')}")
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        asyncio.ensure_future(self.come_back())

    async def come_back(self):
        await asyncio.sleep(BACK_AFTER_S)
        self.born = int(time.time() * 1000)
        self.seq = 0
        await self.start()
        self.fleet.record(f"{self.id} is back")


class Traffic:
    """Requests whose prompts have the given parts and a last one of their own. Each request uses a
    channel of its own."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.calls = []
        self.answers = []

    def send(self, kind, parts):
        self.calls.append(asyncio.ensure_future(self.request(kind, parts, len(self.calls))))

    async def request(self, kind, parts, number):
        gateway = self.fleet.gateways[number % len(self.fleet.gateways)]
        parts = [*parts, f"{random.getrandbits(32):08x}"]
        headers = {"X-Model": "daka510000", "X-Token-Counts": f"{40 * len(parts)},{5 * EVENTS}",
                   "X-Prefix-Hash": ",".join(f"{part}:40" for part in parts)}
        sent_at = time.monotonic()
        channel = await Channel(gateway).open()
        answer = await self.fleet.call(channel, "/draft/x", BUDGET_MS, headers=headers,
                                       body=f"prompt {number}".encode())
        channel.close()
        self.answers.append((kind, sent_at, answer))

    async def finish(self):
        await asyncio.gather(*self.calls)

    def of(self, kind, since=0.0, until=float("inf")):
        return [answer for each, sent_at, answer in self.answers
                if each == kind and since <= sent_at < until]


def late_deadly_arrivals(fleet):
    """Deadly requests that reached runners later than contactMs after the fifth crash."""
    if len(fleet.crashes) < 5:
        return 0
    return sum(1 for at in fleet.deadly_arrivals if at > fleet.crashes[4] + CONTACT_S)


async def check_budget(fleet, parts_of, seconds=40.0):
    """Sends 19 sound requests a second and one with the deadly part. Returns whether BUDGET held."""
    fleet.crashes, fleet.deadly_arrivals = [], []
    await fleet.open()
    traffic = Traffic(fleet)
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        number += 1
        kind = "deadly" if number % 20 == 0 else "sound"
        traffic.send(kind, parts_of(kind))
        await asyncio.sleep(0.05)
    await traffic.finish()
    sound = traffic.of("sound")
    lost = sum(1 for answer in sound if answer.status == 200 and not answer.complete)
    failed = sum(1 for answer in sound if answer.status != 200)
    late = late_deadly_arrivals(fleet)
    text = (f"{len(fleet.crashes)} crashes; {late} requests with the deadly part reached runners "
            f"later than contactMs after the fifth, 3 are allowed; of {len(sound)} sound requests "
            f"{lost} were cut off and {failed} failed or were refused")
    fleet.record(text)
    print(text)
    return late <= 3
