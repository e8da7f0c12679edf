"""Targets that record each run and can misbehave, and the record that the checks read."""
import asyncio
import collections
import dataclasses
import math
import time

from platform_standins import EVENT_S, Runner

LINK_OFFSET = 60


@dataclasses.dataclass
class Run:
    """One run of a request at a target."""
    request: str
    path: str
    target: str
    service: str
    began: float
    seal: str
    status: int = 0
    body: bytes = b""
    # The group at the time; a stream ends with any of its members.
    members: tuple = ()
    # How long ago the store had accepted that the target drains.
    draining_for: float = 0


@dataclasses.dataclass
class Disturbance:
    """A fault as it took place; `subject` is a gateway's or target's name or `store`."""
    kind: str
    subject: str
    began: float
    ended: float = math.inf


class Record:
    """What targets saw and which faults took place."""

    def __init__(self):
        self.runs = collections.defaultdict(list)
        self.disturbances = []
        self.violations = []
        self.seals = 0

    def begin_run(self, runner, request):
        self.seals += 1
        identity = request.headers.get("x-request-id", "")
        now = time.monotonic()
        run = Run(identity, request.path, runner.id, runner.service, now,
                  f"{runner.id}.{self.seals}",
                  draining_for=now - runner.draining_since if runner.draining_since else 0,
                  members=tuple(runner.members))
        self.runs[identity].append(run)
        return run

    def disturb(self, kind, subject):
        disturbance = Disturbance(kind, subject, time.monotonic())
        self.disturbances.append(disturbance)
        return disturbance

    def note(self, kind, subject):
        """Records a fault without a length."""
        disturbance = self.disturb(kind, subject)
        disturbance.ended = disturbance.began


class SoakRunner(Runner):
    """A target behind a link; `fault` is one of fail, busy, truncate, extra or empty."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.fault = ""
        self.draining_since = 0

    def entry(self):
        return {**super().entry(), "address": f"127.0.0.1:{self.port + LINK_OFFSET}"}

    async def drain(self):
        self.draining = True
        await self.publish()
        self.draining_since = time.monotonic()

    async def wait_while_silent(self):
        while time.monotonic() < self.paused_until:
            await asyncio.sleep(EVENT_S)

    async def serve_request(self, request, connection):
        refused = {"X-Not-Run": "1"}
        if self.domain and (not self.group or self.group["rank"] != 0):
            return connection.send(421, headers=refused)
        if self.fault == "busy" or (self.domain and self.group["state"] != "open"):
            return connection.send(503, headers=refused)
        self.standins.check_run(self, request)
        run = self.standins.record.begin_run(self, request)
        headers = {"X-Request-Id": run.request, "X-Response-Seal": run.seal}
        if self.fault == "fail":
            run.status = 500
            run.body = b"failed " + run.request.encode()
            return connection.send(500, run.body, headers)
        run.status = 200
        if self.domain:
            return await self.stream(request, connection, headers)
        # The last part of the path says how long the work takes and how long the answer is.
        work_ms, size = map(int, request.path.rsplit("/", 1)[1].split("-"))
        await asyncio.sleep(work_ms / 1000)
        await self.wait_while_silent()
        run.body = (run.request.encode() + b" ") * (size // (len(run.request) + 1) + 1)
        if self.fault == "truncate":
            lines = [f"HTTP/1.1 200 X\r\nContent-Length: {len(run.body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            connection.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n"
                                    + run.body[:len(run.body) // 2])
            return False
        connection.send(200, run.body, headers)
        if self.fault == "extra":
            connection.send(200, b"of no request", {**headers, "X-Request-Id": "nobody"})
        return True
