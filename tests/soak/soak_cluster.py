"""Gateways, targets and links of one soak, and the supervisor of its processes."""
import asyncio
import dataclasses
import signal
import threading
import time

from platform_cluster import ENGINE, TENANTS, Gateway, PlatformCluster, route
from platform_standins import PlatformStandins, Store
from links import Link
from targets import LINK_OFFSET, Record, SoakRunner

CALLER_LINK_OFFSET = 1500
GATEWAY_OFFSET = 100
GATEWAY_PORTS = 10
GRACE_S = 8
# SIGKILL follows the grace period; a busy machine may hold a process up on its way out.
LATE_EXIT_S = 4
SERVICES = [{"name": "engines", "healthPath": "/h", "engine": ENGINE},
            {"name": "shop", "healthPath": "/h"}, {"name": "depot", "healthPath": "/h"}]
KEPT_GENERATIONS = 3


class SoakStore(Store):
    """The store with slow answers."""

    def __init__(self):
        super().__init__()
        self.delay_s = 0

    async def handle(self, request, connection):
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        return await super().handle(request, connection)


class SoakStandins(PlatformStandins):
    store_class = SoakStore

    async def add_runner(self, identity, service, domain=None):
        runner = SoakRunner(self, identity, self.port + 2 + 2 * len(self.runners), service, domain)
        self.runners[identity] = runner
        await runner.server.open()
        asyncio.ensure_future(runner.send_heartbeats())


class SoakGateway(Gateway):
    """A gateway with odd ports: Linux takes even ones first for outgoing connections."""

    def __init__(self, cluster, index):
        super().__init__(cluster, index)
        self.name = f"edge-{index}"
        base = cluster.port + GATEWAY_OFFSET + GATEWAY_PORTS * index
        self.addresses = {name: f"127.0.0.1:{base + 2 * number}"
                          for number, name in enumerate(self.addresses)}
        self.metrics_port = base + GATEWAY_PORTS - 2


@dataclasses.dataclass
class Version:
    """A configuration; `index` counts them from 0."""
    index: int
    routes: dict
    sent: float
    confirmed: float = 0


class SoakCluster(PlatformCluster):
    """`gateways` processes before ten engine and four plain targets, all behind links."""

    def __init__(self, port, folder, gateways):
        # Odd, see SoakGateway.
        self.port = port | 1
        self.folder = folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.record = Record()
        self.configs = []
        self.links = {}
        self.lag_s = 0
        self.standins = SoakStandins(self.port)
        self.standins.record = self.record
        asyncio.run_coroutine_threadsafe(self.measure_lag(), self.standins.loop)
        for number in range(10):
            self.add_target(f"i-{number}", "engines", f"d{number // 5}")
        for service in ("shop", "depot"):
            for number in range(2):
                self.add_target(f"{service}-{number}", service)
        self.set_version("shop", 8000)
        self.gateways = []
        for index in range(gateways):
            gateway = SoakGateway(self, index)
            self.gateways.append(gateway)
            gateway.log.unlink(missing_ok=True)
            gateway.write_settings()
            http_port = int(gateway.addresses["http"].split(":")[1])
            self.open_link(gateway.name, self.port + CALLER_LINK_OFFSET + 2 * index, http_port)
        self.supervisor = Supervisor(self)

    def run_coroutine(self, coroutine):
        return self.standins.run_coroutine(coroutine)

    def add_target(self, name, service, domain=None):
        self.run_coroutine(self.standins.add_runner(name, service, domain))
        port = self.standins.runners[name].port
        self.open_link(name, port + LINK_OFFSET, port)

    def open_link(self, name, port, target_port):
        self.links[name] = Link(port, target_port)
        self.run_coroutine(self.links[name].open())

    def set_version(self, move_to, read_timeout_ms):
        """Sends the next configuration: a new generation, the moved route, another limit."""
        index = len(self.configs)
        routes = [route("/chat/", "stream", "engines", resumeStreams=True),
                  route("/talk/", "stream", "engines"),
                  route("/read/", "idempotent", "shop", timeoutMs=read_timeout_ms),
                  route("/buy/", "non_idempotent", "shop"), route("/move/", "idempotent", move_to)]
        for generation in range(max(0, index - KEPT_GENERATIONS + 1), index + 1):
            routes.append(route(f"/gen-{generation}/", "idempotent", "depot"))
        version = Version(index, {each["pathPrefix"]: each for each in routes}, time.monotonic())
        self.configs.append(version)
        self.run_coroutine(self.standins.set_config(routes, SERVICES, TENANTS))
        version.confirmed = time.monotonic()

    async def measure_lag(self):
        """Keeps how late this process, and with it every stand-in, was at most."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.02)
            self.lag_s = max(self.lag_s, time.monotonic() - began - 0.02)

    def close(self):
        self.supervisor.stop()
        super().close()


class Supervisor:
    """Restarts gateways that ended and records when each process started and ended."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.record = cluster.record
        self.ended = threading.Event()
        self.boots = {gateway.name: [] for gateway in cluster.gateways}
        for gateway in cluster.gateways:
            gateway.stopping_since = None
            gateway.killed = False
            gateway.restart_gap_s = 0.5
            self.start(gateway)
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def start(self, gateway):
        self.boots[gateway.name].append(time.monotonic())
        gateway.stopping_since, gateway.killed, gateway.down_since = None, False, None
        gateway.starting_when_signalled = False
        gateway.starting = self.record.disturb("start", gateway.name)
        gateway.start()

    def terminate(self, gateway, gap_s):
        gateway.restart_gap_s = gap_s
        if gateway.stopping_since is None:
            gateway.stopping_since = time.monotonic()
            gateway.leaving = self.record.disturb("term", gateway.name)
        self.signal(gateway, signal.SIGTERM)

    @staticmethod
    def signal(gateway, number):
        gateway.starting_when_signalled |= gateway.starting.ended > time.monotonic()
        gateway.signal(number)

    def kill(self, gateway, gap_s):
        gateway.restart_gap_s = gap_s
        gateway.killed = True
        self.record.note("kill", gateway.name)
        gateway.signal(signal.SIGKILL)

    def run(self):
        while not self.ended.wait(0.05):
            for gateway in self.cluster.gateways:
                self.watch(gateway)

    def watch(self, gateway):
        now = time.monotonic()
        if gateway.process.poll() is None:
            if gateway.starting.ended > now and gateway.ready():
                gateway.starting.ended = now
            self.check_grace(gateway, now)
        elif gateway.down_since is None:
            gateway.down_since = now
            gateway.starting.ended = min(gateway.starting.ended, now)
            if gateway.stopping_since is not None:
                gateway.leaving.ended = now
            # A signal before the process has installed its handlers ends it at once.
            early = (gateway.starting_when_signalled
                     and gateway.process.returncode in (-signal.SIGTERM, -signal.SIGHUP))
            if not gateway.killed and not early and (
                    gateway.stopping_since is None or gateway.process.returncode != 0):
                self.record.violations.append(
                    f"{gateway.name} ended by itself with {gateway.process.returncode}")
        elif now > gateway.down_since + gateway.restart_gap_s:
            self.start(gateway)

    def check_grace(self, gateway, now):
        if gateway.stopping_since is None or gateway.killed:
            return
        paused = any(each.kind == "pause" and each.subject == gateway.name
                     and each.ended > gateway.stopping_since for each in self.record.disturbances)
        if not paused and now > gateway.stopping_since + GRACE_S + LATE_EXIT_S:
            self.record.violations.append(f"{gateway.name} still runs after its grace period")
        if now > gateway.stopping_since + GRACE_S + LATE_EXIT_S:
            self.kill(gateway, gateway.restart_gap_s)

    def stop(self):
        self.ended.set()
        self.thread.join()
