"""REFUSED: a request that isn't idempotent has run at a failing runner and is answered 503."""
import asyncio
import collections
import http.client
import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from deployment import HOST, KEY, CannotRun, Deployment, run_case, with_trouble  # noqa: E402
import platform_standins  # noqa: E402

RUNNERS = 8
GREY_SHARE = 0.14  # share of the runners that are grey: that of `srv_grey` in the site file
GREY_FAILURES = 0.45  # share of its requests that a grey runner fails: likewise
GREY_S = 6.5  # length of the disturbance: likewise
REQUESTS = 300
AT_ONCE = 6
PROMISES = {408, 421, 429, 503}
ROUTES = [{"name": "file", "host": HOST, "pathPrefix": "/file/", "kind": "non_idempotent",
           "timeoutMs": 4000, "goalMs": 300, "attempts": 2, "priority": 2,
           "backend": "storefront", "public": False}]
SERVICES = [{"name": "storefront", "healthPath": "/healthz"}]
TENANTS = [{"name": "org", "apiKeys": [KEY]}]


class Runner(platform_standins.Runner):
    """Books the subject of each request that it runs. A grey one fails part of them after that,
    without X-Not-Run; its health and its report stay good."""

    record = None
    booked = collections.Counter()
    ran = set()
    grey_until = 0

    async def serve_request(self, request, connection):
        identity = request.headers["x-request-id"]
        subject = request.body.decode()
        self.record(f"runner {self.id} runs {identity} ({subject})")
        self.ran.add(identity)
        self.booked[subject] += 1
        await asyncio.sleep(0.06)
        headers = {"X-Request-Id": identity, "X-Response-Seal": "3e1b.07.5a2.600.0.c9f2a4d1"}
        if time.monotonic() < self.grey_until and random.random() < GREY_FAILURES:
            self.record(f"runner {self.id} (grey) answers {identity}: 503 without X-Not-Run")
            return connection.send(503, b"failed\n", headers)
        return connection.send(200, b"done\n", headers)


class Standins(platform_standins.PlatformStandins):
    async def add_runner(self, identity, service, domain=None):
        runner = Runner(self, identity, self.port + 1 + len(self.runners), service, domain)
        self.runners[identity] = runner
        await runner.server.open()
        asyncio.ensure_future(runner.send_heartbeats())


def send(address, identity, subject):
    """Returns the status and the seconds of Retry-After."""
    connection = http.client.HTTPConnection(address, timeout=6)
    try:
        connection.request("POST", "/file/x", body=subject, headers={
            "Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": identity,
            "X-Deadline-Ms": "4000"})
        response = connection.getresponse()
        response.read()
        return response.status, float(response.getheader("Retry-After") or 0)
    except OSError as error:
        return repr(error), 0
    finally:
        connection.close()


def case(record):
    Runner.record = staticmethod(record)
    deployment = Deployment(record, gateways=2, runners=RUNNERS, standins=Standins)
    for number in range(RUNNERS):
        deployment.run(deployment.standins.add_runner(f"i-{number:08x}", "storefront"))
    deployment.run(deployment.standins.set_config(ROUTES, SERVICES, TENANTS))
    deployment.start_gateways(bootstrap=True)
    deployment.wait_until_ready()
    if with_trouble():
        runners = list(deployment.standins.runners.values())
        for each in random.sample(runners, int(RUNNERS * GREY_SHARE)):
            each.grey_until = time.monotonic() + GREY_S
            record(f"runner {each.id} is grey for {GREY_S} s")
    statuses = {}
    numbers = iter(range(REQUESTS))
    lock = threading.Lock()

    def requester():
        while True:
            with lock:
                number = next(numbers, None)
            if number is None:
                return
            subject = f"filing {number}"
            # One retry, only after a promise that the request has not run, with an id of its own.
            for attempt in range(2):
                identity = f"{number:015x}{attempt}"
                address = random.choice(deployment.gateways).addresses["http"]
                record(f"sent {identity} ({subject}) to {address}")
                statuses[identity], wait_s = send(address, identity, subject)
                record(f"{identity} answered {statuses[identity]}, Retry-After {wait_s} s")
                if statuses[identity] not in PROMISES:
                    break
                time.sleep(min(wait_s, 1))

    threads = [threading.Thread(target=requester) for _ in range(AT_ONCE)]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    served = sum(1 for status in statuses.values() if status == 200)
    refused = [identity for identity, status in statuses.items()
               if status in PROMISES and identity in Runner.ran]
    twice = [subject for subject, count in Runner.booked.items() if count > 1]
    record(f"{served} of {len(statuses)} requests served; {len(refused)} answered with a promise "
           f"although they ran: {', '.join(refused)}; booked more than once: "
           f"{', '.join(twice) or 'none'}", echo=True)
    if served < REQUESTS / 4:
        raise CannotRun("too few requests were served")
    return not refused


run_case(FOLDER, case)
