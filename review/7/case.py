"""RECOVER: once its descriptors were used up, a gateway takes no new channel any more."""
import asyncio
import collections
import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from deployment import (CONTACT_S, HOST, KEY, MAX_FDS, CannotRun, Deployment, resolve,  # noqa: E402
                        run_case, with_trouble)
import platform_standins  # noqa: E402

GATEWAYS = 6
LOST = 5  # of the six machines; any number of them may be lost
REQUESTS_PER_S = 182  # of all requesters: those of the site
CALM_S = 5
MAX_LOSS_S = 45
CHECK_S = 8
# A requester that isn't answered in this time abandons the attempt.
ATTEMPT_S = 1.0
ROUTES = [{"name": "card", "host": HOST, "pathPrefix": "/card/", "kind": "idempotent",
           "timeoutMs": 4000, "goalMs": 300, "attempts": 2, "priority": 2,
           "backend": "storefront", "public": False}]
SERVICES = [{"name": "storefront", "healthPath": "/healthz"}]
TENANTS = [{"name": "org", "apiKeys": [KEY]}]


class Standins(platform_standins.PlatformStandins):
    async def set_config(self, routes, services, tenants):
        self.versions += 3
        await self.store.put("op", "config", {
            "version": self.versions, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})


class Requesters:
    """Send each request on a new channel, which they leave open afterwards."""

    def __init__(self, record, deployment):
        self.record = record
        self.deployment = deployment
        self.sent = 0
        self.open = {}
        # Results by gateway address: (when sent, answered).
        self.tries = collections.defaultdict(list)
        # Addresses that the directory names, by zone.
        self.addresses = {}
        self.ended = False

    async def look_up(self):
        while not self.ended:
            alive = [each for each in self.deployment.gateways if each.process.poll() is None]
            for zone in self.deployment.zones:
                try:
                    self.addresses[zone] = await asyncio.to_thread(resolve, random.choice(alive),
                                                                   zone)
                except OSError as error:
                    self.record(f"directory: {error!r}")
            await asyncio.sleep(0.8)

    async def send(self):
        self.sent += 1
        identity = f"{self.sent:016x}"
        addresses = self.addresses[random.choice(self.deployment.zones)]
        for address in random.sample(addresses, min(2, len(addresses))):
            sent_at = time.monotonic()
            result = await self.attempt(address, identity)
            self.tries[address].append((sent_at, result == "200"))
            if result != "200" or self.sent % 50 == 0:
                self.record(f"{identity} sent to {address}: {result}")
            if result == "200":
                return
            identity += "-1"

    async def attempt(self, address, identity):
        host, port = address.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)),
                                                    ATTEMPT_S)
        except (OSError, asyncio.TimeoutError) as error:
            return repr(error)
        writer.write(f"GET /card/{identity} HTTP/1.1\r\nHost: {HOST}\r\n"
                     f"Authorization: Bearer {KEY}\r\nX-Request-Id: {identity}\r\n"
                     "X-Deadline-Ms: 4000\r\n\r\n".encode())
        try:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), ATTEMPT_S)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            writer.close()
            return repr(error)
        self.open[writer] = asyncio.ensure_future(self.hold(reader, writer))
        return head.split(b" ", 2)[1].decode()

    async def hold(self, reader, writer):
        """Keeps a channel until the gateway closes it."""
        try:
            while await reader.read(4096):
                pass
        except OSError:
            pass
        self.open.pop(writer, None)
        writer.close()

    async def send_for(self, seconds, until=lambda: False):
        ends_at = time.monotonic() + seconds
        next_at = time.monotonic()
        while time.monotonic() < ends_at and not until():
            asyncio.ensure_future(self.send())
            next_at += 1 / REQUESTS_PER_S
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))

    def close_channels(self):
        for writer, task in list(self.open.items()):
            task.cancel()
            writer.close()
        self.open.clear()

    def unanswered_since(self, address):
        """Since when no try at the address was answered, and how many tries were made."""
        tries = sorted(self.tries[address])
        answered = [sent_at for sent_at, answered in tries if answered]
        since = max(answered, default=tries[0][0] if tries else time.monotonic())
        return since, sum(1 for sent_at, _ in tries if sent_at > since)


class Platform:
    """Asks a gateway once a second, on a kept channel, whether it is ready."""

    def __init__(self, gateway, record):
        self.gateway = gateway
        self.record = record
        self.answers = []
        self.ended = False
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        import http.client
        channel = http.client.HTTPConnection(self.gateway.addresses["readiness"], timeout=2)
        while not self.ended:
            try:
                channel.request("GET", "/api/readyz")
                response = channel.getresponse()
                response.read()
                status = response.status
            except OSError as error:
                status = repr(error)
                channel.close()
            self.answers.append((time.monotonic(), status))
            self.record(f"readiness of {self.gateway.name}: {status}")
            time.sleep(1)


async def play(record, deployment, kept):
    requesters = Requesters(record, deployment)
    looking = asyncio.ensure_future(requesters.look_up())
    while len(requesters.addresses) < len(deployment.zones):
        await asyncio.sleep(0.1)
    await requesters.send_for(CALM_S)
    if with_trouble():
        for each in deployment.gateways:
            if each is not kept:
                each.kill()
                record(f"{each.name} is lost")
    lost_at = time.monotonic()
    address = kept.addresses["http"]

    def is_silent():
        since, count = requesters.unanswered_since(address)
        return count > 100 and time.monotonic() - max(since, lost_at) > CONTACT_S + 1

    await requesters.send_for(MAX_LOSS_S, is_silent)
    record(f"{len(requesters.open)} channels are open; {kept.name} has {kept.descriptors()} "
           f"descriptors of {MAX_FDS}", echo=True)
    requesters.close_channels()
    record("the requesters have closed all channels", echo=True)
    await asyncio.sleep(1)
    record(f"{kept.name} has {kept.descriptors()} descriptors", echo=True)
    began_at = time.monotonic()
    await requesters.send_for(CHECK_S)
    requesters.ended = True
    await asyncio.sleep(ATTEMPT_S + 0.5)
    looking.cancel()
    requesters.close_channels()
    tries = [answered for sent_at, answered in requesters.tries[address] if sent_at >= began_at]
    return began_at, tries


def case(record):
    import resource
    deployment = Deployment(record, gateways=GATEWAYS, runners=3, standins=Standins)
    if resource.getrlimit(resource.RLIMIT_NOFILE)[0] < MAX_FDS + 1000:
        raise CannotRun("the requesters need more descriptors than this machine allows")
    for number in range(3):
        deployment.run(deployment.standins.add_runner(f"i-{number:08x}", "storefront"))
    deployment.run(deployment.standins.set_config(ROUTES, SERVICES, TENANTS))
    deployment.start_gateways(bootstrap=True)
    deployment.wait_until_ready()
    kept = deployment.gateways[0]
    platform = Platform(kept, record)
    try:
        began_at, tries = asyncio.run(play(record, deployment, kept))
    finally:
        platform.ended = True
        platform.thread.join()
    ready = [status == 200 for at, status in platform.answers if at >= began_at]
    record(f"in the last {CHECK_S} s: {len(tries)} tries at {kept.name}, {sum(tries)} answered; "
           f"its readiness was 200 {sum(ready)} times of {len(ready)}", echo=True)
    if len(tries) < 50 or len(ready) < CONTACT_S + 2:
        raise CannotRun("too few tries")
    takes_none = not any(tries) and all(ready)
    return not takes_none


run_case(FOLDER, case)
