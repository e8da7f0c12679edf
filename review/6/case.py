"""ORDER: a resumed stream whose second runner answers with a failure ends as if it were complete."""
import asyncio
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

RUNNERS = 16
GREY_SHARE = 0.14  # share of the runners that are grey: that of `srv_grey` in the site file
GREY_FAILURES = 0.45  # share of its requests that a grey runner fails: likewise
GREY_S = 6.5  # length of the disturbance: likewise
GREY_EVERY_S = 10  # it comes three times
PAUSE_S = 1.3  # "a sound runner may fall silent for a second or so and go on"
STREAMS = 240
AT_ONCE = 8
EVENTS = 40
ENGINE = {"batchSlots": 8, "loadsPerS": 50, "loads_at_once": 8, "models": [
    {"name": "m1", "size": 2, "share": 1.0, "pace": 1, "loadS": 0.3, "warmS": 0.1}]}
ROUTES = [{"name": "chat", "host": HOST, "pathPrefix": "/chat/", "kind": "stream",
           "timeoutMs": 8000, "goalMs": 400, "gapTargetMs": 300, "attempts": 2, "priority": 1,
           "backend": "lm-pool", "affinity": True, "resumeStreams": True, "public": False}]
SERVICES = [{"name": "lm-pool", "healthPath": "/healthz", "engine": ENGINE}]
TENANTS = [{"name": "org", "apiKeys": [KEY]}]


class Runner(platform_standins.Runner):
    """Pauses each stream once. A grey one fails part of its requests with 404 and runs none of
    them; its health and its report stay good."""

    grey_until = 0
    record = None

    async def stream(self, request, connection, response_headers):
        identity = request.headers["x-request-id"]
        resumes = request.headers.get("last-event-id", "0")
        if time.monotonic() < self.grey_until and random.random() < GREY_FAILURES:
            self.record(f"runner {self.id} (grey) answers {identity} after event {resumes}: 404")
            return connection.send(404, b"no such model\n", response_headers)
        self.record(f"runner {self.id} runs {identity} after event {resumes}")
        if resumes == "0":
            asyncio.ensure_future(self.pause_soon())
        return await super().stream(request, connection, response_headers)

    async def pause_soon(self):
        await asyncio.sleep(0.3)
        if time.monotonic() > self.paused_until + 2:
            self.pause_streams(PAUSE_S)


class Standins(platform_standins.PlatformStandins):
    async def add_runner(self, identity, service, domain=None):
        runner = Runner(self, identity, self.port + 1 + len(self.runners), service, domain)
        self.runners[identity] = runner
        await runner.server.open()
        asyncio.ensure_future(runner.send_heartbeats())


def send_stream(address, identity):
    """Returns the status, the ids of the events and whether the answer ended as complete."""
    connection = http.client.HTTPConnection(address, timeout=12)
    headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "X-Deadline-Ms": "8000",
               "X-Request-Id": identity, "X-Model": "m1", "X-Token-Counts": f"100,{EVENTS}",
               "X-Prefix-Hash": f"5c1e07a2:40,{identity}:60"}
    try:
        connection.request("POST", "/chat/x", body="x", headers=headers)
        response = connection.getresponse()
        try:
            body, whole = response.read(), True
        except (http.client.IncompleteRead, ConnectionError) as error:
            body, whole = getattr(error, "partial", b""), False
        ids = [int(line[4:]) for line in body.decode(errors="replace").split("\n")
               if line.startswith("id: ")]
        return response.status, ids, whole
    except OSError as error:
        return repr(error), [], False
    finally:
        connection.close()


def case(record):
    Runner.record = staticmethod(record)
    deployment = Deployment(record, gateways=2, runners=RUNNERS, standins=Standins)
    for number in range(RUNNERS):
        deployment.run(deployment.standins.add_runner(f"i-{number:08x}", "lm-pool", "d0"))
    deployment.run(deployment.standins.set_config(ROUTES, SERVICES, TENANTS))
    deployment.start_gateways(bootstrap=True)
    deployment.wait_until_ready()
    deployment.wait_until(lambda: len(deployment.standins.serving()) >= 4, "four groups serve")
    deployment.wait_until(lambda: all(len(each.state()["groups"]) >= 4
                                      for each in deployment.gateways), "all gateways know them")
    ended = threading.Event()

    def make_grey():
        for _ in range(3):
            heads = [each for each in deployment.standins.runners.values()
                     if each.group and each.group["rank"] == 0 and each.group["state"] == "open"]
            for each in random.sample(heads, int(RUNNERS * GREY_SHARE)):
                each.grey_until = time.monotonic() + GREY_S
                record(f"runner {each.id} is grey for {GREY_S} s")
            if ended.wait(GREY_EVERY_S):
                return

    if with_trouble():
        threading.Thread(target=make_grey, daemon=True).start()
    results = {}
    numbers = iter(range(STREAMS))
    lock = threading.Lock()

    def requester():
        while True:
            with lock:
                number = next(numbers, None)
            if number is None:
                return
            identity = f"{number:016x}"
            address = random.choice(deployment.gateways).addresses["http"]
            record(f"sent {identity} to {address}")
            results[identity] = status, ids, whole = send_stream(address, identity)
            record(f"{identity} answered {status}, {len(ids)} of {EVENTS} events, "
                   f"{'ends as complete' if whole else 'broken off'}")

    threads = [threading.Thread(target=requester) for _ in range(AT_ONCE)]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    ended.set()
    served = [each for each in results.values() if each[1] == list(range(1, EVENTS + 1))]
    short = {identity: each for identity, each in results.items()
             if each[0] == 200 and each[2] and each[1] != list(range(1, EVENTS + 1))}
    record(f"{len(served)} of {STREAMS} streams whole; {len(short)} end as complete before their "
           f"last event: {', '.join(f'{i} ({len(e[1])} events)' for i, e in short.items())}",
           echo=True)
    if len(served) < STREAMS / 4:
        raise CannotRun("too few streams were served")
    return not short


run_case(FOLDER, case)
