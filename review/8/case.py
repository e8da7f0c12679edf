"""RECOVER: after all gateways were killed, none serves again beside entries of another writer."""
import http.client
import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from deployment import (HOST, KEY, RECOVERY_S, CannotRun, Deployment, run_case,  # noqa: E402
                        with_trouble)
import platform_standins  # noqa: E402

RUNNERS = 30
PAGE_ROWS = 50  # `page` in the site file
REQUESTERS = 6
CALM_S = 5
DOWN_S = 1
JUDGED_S = 8
ROUTES = [{"name": "card", "host": HOST, "pathPrefix": "/card/", "kind": "idempotent",
           "timeoutMs": 4000, "goalMs": 300, "attempts": 2, "priority": 2,
           "backend": "storefront", "public": False}]
SERVICES = [{"name": "storefront", "healthPath": "/healthz"}]
TENANTS = [{"name": "org", "apiKeys": [KEY]}]


class Store(platform_standins.Store):
    """Answers a read of a range in pages, as `hasMore` says."""

    record = None

    async def handle(self, request, connection):
        if request.path == "/api/rows-get" and request.query.get("table") == "servers":
            self.record(f"store: read of the runners' entries from "
                        f"{request.query.get('from', '')!r}")
        return await super().handle(request, connection)

    def read(self, query):
        answer = super().read(query)
        rows = answer["rows"]
        return {**answer, "rows": rows[:PAGE_ROWS], "hasMore": len(rows) > PAGE_ROWS}

    async def put_bytes(self, table, key, value):
        """Writes what another writer left: no entry of a runner, but sound base64."""
        import base64
        await self.write([(table, key, base64.b64encode(value).decode())])


class Standins(platform_standins.PlatformStandins):
    store_class = Store


class Requesters:
    """Threads that send requests to random gateways and count those that are served."""

    def __init__(self, record, deployment):
        self.record = record
        self.deployment = deployment
        self.results = []
        self.ended = False
        self.threads = [threading.Thread(target=self.run, args=(number,))
                        for number in range(REQUESTERS)]
        for each in self.threads:
            each.start()

    def run(self, number):
        count = 0
        while not self.ended:
            count += 1
            identity = f"{number:08x}{count:08x}"
            gateway = random.choice(self.deployment.gateways)
            sent_at = time.monotonic()
            status = self.send(gateway.addresses["http"], identity)
            self.results.append((sent_at, status))
            self.record(f"{identity} sent to {gateway.name}: {status}")
            time.sleep(0.1)

    @staticmethod
    def send(address, identity):
        connection = http.client.HTTPConnection(address, timeout=4)
        try:
            connection.request("GET", f"/card/{identity}", headers={
                "Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": identity,
                "X-Deadline-Ms": "4000"})
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException) as error:
            return repr(error)
        finally:
            connection.close()

    def served(self, since, until):
        """Number of served requests and of all that were sent in a span."""
        span = [status for sent_at, status in self.results if since <= sent_at < until]
        return span.count(200), len(span)

    def stop(self):
        self.ended = True
        for each in self.threads:
            each.join()


def case(record):
    Store.record = staticmethod(record)
    deployment = Deployment(record, gateways=3, runners=RUNNERS, standins=Standins)
    identities = sorted(f"i-{random.randrange(16 ** 8):08x}" for _ in range(RUNNERS))
    for identity in identities:
        deployment.run(deployment.standins.add_runner(identity, "storefront"))
    deployment.run(deployment.standins.set_config(ROUTES, SERVICES, TENANTS))
    deployment.start_gateways(bootstrap=True)
    deployment.wait_until_ready()
    if with_trouble():
        for identity in identities:
            deployment.run(deployment.standins.store.put_bytes(
                "servers", identity + " copy", b"\xff\xfe copy of an entry"))
        record(f"another writer has left {RUNNERS} entries that can't be read")
    requesters = Requesters(record, deployment)
    try:
        began_at = time.monotonic()
        time.sleep(CALM_S)
        killed_at = time.monotonic()
        served, sent = requesters.served(began_at, killed_at)
        record(f"before the final fault: {served} of {sent} requests served", echo=True)
        if served < sent / 4 or sent < 20:
            raise CannotRun("too little was served before the final fault")
        for each in deployment.gateways:
            each.kill()
        record("all gateways were killed")
        time.sleep(DOWN_S)
        deployment.start_gateways(bootstrap=False)
        back_at = time.monotonic()
        time.sleep(RECOVERY_S + JUDGED_S)
        served, sent = requesters.served(back_at + RECOVERY_S, time.monotonic())
    finally:
        requesters.stop()
    record(f"later than {RECOVERY_S:.0f} s after the machines are back: {served} of {sent} "
           f"requests served; ready: {[each.is_ready() for each in deployment.gateways]}",
           echo=True)
    if sent < 20:
        raise CannotRun("too few requests were sent")
    return served >= sent / 4


run_case(FOLDER, case)
