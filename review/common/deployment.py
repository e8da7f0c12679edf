"""Starts the gateways with the command of deploy/system.toml, and sends callers' requests."""
import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from standins import MODELS, SLOTS, World  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY = "key-1"
HOST = "vod.example"
ZONES = ["hall-a", "hall-b", "hall-c"]
POLICY = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000,
          "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
          "strictRevoke": False, "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 103,
          "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "stallMs": 6000, "requireFence": True,
          "ceilingWindowS": 5, "ceilingOver": 1.1, "ttl_max_s": 5}


def route(prefix, kind, service, timeout, goal, attempts, **more):
    return {"name": prefix.strip("/"), "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout,
            "goalMs": goal, "attempts": attempts, "priority": 1, "backend": service, **more}


def make_config():
    stream = {"gapTargetMs": 300, "resumeStreams": True, "affinity": True}
    models = [{"name": name, "size": each["size"], "pace": 1.0, "share": 0.5, "loadS": each["loadS"],
               "warmS": each["warmS"]} for name, each in MODELS.items()]
    engine = {"batchSlots": SLOTS, "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096,
              "read_per_s": 45900, "pairs_per_m": 0.433, "chunk": 2048, "stride": 5, "kvCapTokens": 1860000,
              "loads_at_once": 7, "loadsPerS": 5.0, "formMs": 300, "keeps": 1, "report_lag_ms": 200,
              "far_x": 4.0, "usual": {"prompt": 1000, "answer": 150}, "models": models}
    return {"version": 3, "routes": [route("/chat/", "stream", "lm-pool", 8000, 400, 2, **stream),
                                     route("/art/", "non_idempotent", "storefront", 2000, 300, 1),
                                     route("/card/", "idempotent", "storefront", 2000, 300, 2)],
            "services": [{"name": "lm-pool", "healthPath": "/healthz", "maxConns": 428, "engine": engine},
                         {"name": "storefront", "healthPath": "/healthz", "maxConns": 96}],
            "tenants": [{"name": "members", "apiKeys": [KEY]}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 10000,
                       "idleTimeoutMs": 30000}}


def make_runners(domains=6, size=10):
    runners = [(f"i-{domain}{number:02}", "lm-pool", ZONES[domain % 3], f"d{domain}")
               for domain in range(domains) for number in range(size)]
    return runners + [(f"s-{number}", "storefront", ZONES[number], None) for number in range(3)]


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def is_free(address, port):
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
            return True
        except OSError:
            return False


class Gateway:
    """One process on a loopback address of its own, as on a machine of its own."""

    def __init__(self, deployment, index):
        self.deployment, self.index = deployment, index
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["edge"]
        metrics_port = int(role["metrics"].split("/")[0])
        self.command = role["run"].split()
        while True:
            self.ip = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}.{random.randint(1, 254)}"
            if is_free(self.ip, metrics_port):
                break
        self.listen = {name: f"{self.ip}:{free_port(self.ip)}" for name in
                       ("http", "readiness", "control", "directory")}
        self.settings = deployment.folder / f"node-{index}.yaml"
        self.log = deployment.folder / f"node-{index}.log"
        self.process = self.collector = None

    def write_settings(self, bootstrap):
        fields = {
            "nodeName": f"edge-{self.index}", "role": "edge", "machineClass": "edge",
            "serves": ["edge", "control", "directory"], "ip": self.ip, "zone": ZONES[self.index % 3],
            "region": "kingston", "zones": {zone: "kingston" for zone in ZONES}, "listen": self.listen,
            "portRange": [7340, 7355],
            "seeds": [each.listen["control"] for each in self.deployment.gateways[:3]],
            "bootstrap": bootstrap, "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cpus": 1, "memoryMb": 260, "maxFds": 4200, "linkMbps": 1000.0,
                       "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
            "policies": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                         "platform", "gangs"],
            "faultBudget": {"nodes": 1, "zones": 0, "regions": 0}, "policyParams": POLICY,
            "provider": {"address": self.deployment.store_address(self.index), "form": "table",
                         "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0, "partWritesS": 200,
                         "rowBytes": 65536, "across": False, "historyS": 20, "blobBytes": 8388608,
                         "blobMs": 25.0, "blobMbS": 80.0}}
        # JSON is YAML.
        self.settings.write_text(json.dumps(fields))

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        with open(self.log, "ab") as log:
            output = log
            if self.deployment.collects_logs:
                # A process of its own that takes the standard output and writes the file.
                self.collector = subprocess.Popen(["cat"], stdin=subprocess.PIPE, stdout=log)
                output = self.collector.stdin
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdout=output, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.deployment.folder),
                     "LANG": "C.UTF-8", "CAMPHORLUG_NODE_FILE": str(self.settings)})

    def signal(self, number):
        self.process.send_signal(number)

    def lines(self, event):
        found = []
        with open(self.log, errors="replace") as log:
            for line in log:
                if f'"event":"{event}"' in line:
                    with contextlib.suppress(ValueError):
                        found.append(json.loads(line))
        return found


class Response:
    def __init__(self, identity):
        self.identity, self.status, self.headers, self.body = identity, None, {}, b""
        self.whole, self.error = False, ""

    def event_ids(self):
        return [int(line[3:]) for line in self.body.decode("latin-1").split("\n") if line.startswith("id:")]


class Deployment:
    def __init__(self, record_path, gateways=3):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="camphorlug-review-"))
        self.record = open(record_path, "w")
        self.random = random.Random()
        self.world = World(self.random, self.record)
        self.count, self.gateways, self.sent = gateways, [], 0
        self.collects_logs = False

    def store_address(self, _index):
        return f"127.0.0.1:{self.world.store.server.port}"

    async def open(self, config=None, runners=None):
        await self.world.open(config or make_config(), runners or make_runners())
        for index in range(self.count):
            self.gateways.append(Gateway(self, index))
        for gateway in self.gateways:
            gateway.start(bootstrap=True)

    def close(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
            if gateway.collector and gateway.collector.poll() is None:
                gateway.collector.send_signal(signal.SIGCONT)
                gateway.collector.kill()
                gateway.collector.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun("timed out: " + what)
            await asyncio.sleep(0.05)

    async def get(self, address, path, timeout=5):
        host, port = address.split(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n".encode())
            raw = await asyncio.wait_for(reader.read(-1), timeout)
        finally:
            writer.close()
        head, _, body = raw.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), body

    async def state(self, gateway):
        _, body = await self.get(gateway.listen["control"], "/camphorlug/v1/state")
        return json.loads(body)

    async def wait_ready(self, seconds=30):
        end = time.monotonic() + seconds
        for gateway in self.gateways:
            while True:
                with contextlib.suppress(OSError, asyncio.TimeoutError, IndexError, ValueError):
                    if (await self.get(gateway.listen["readiness"], "/api/readyz"))[0] == 200:
                        break
                if time.monotonic() > end:
                    raise CannotRun("a gateway is not ready")
                await asyncio.sleep(0.1)

    def next_id(self):
        self.sent += 1
        return f"{os.getpid():x}{self.sent:08x}"

    async def call(self, path, gateway=0, model="m0", tokens=(1000, 100), identity=None, limit_ms=8000, body=b"x",
                   last_event=None, parts=None, quiet=False, method="POST", key=KEY):
        """One request on a new connection; `whole` says whether a complete response came."""
        identity = identity or self.next_id()
        answer = Response(identity)
        host, port = self.gateways[gateway].listen["http"].split(":")
        headers = {"Host": HOST, "Authorization": f"Bearer {key}", "X-Request-Id": identity,
                   "X-Deadline-Ms": str(limit_ms), "Connection": "close"}
        if method == "POST":
            headers["Content-Length"] = str(len(body))
        else:
            body = b""
        if path.startswith("/chat/"):
            headers.update({"X-Model": model, "X-Token-Counts": f"{tokens[0]},{tokens[1]}"})
            headers["X-Prefix-Hash"] = ",".join(parts or ["5c1e07a2:40", f"{self.sent:08x}:{tokens[0] - 40}"])
        if last_event is not None:
            headers["Last-Event-Id"] = str(last_event)
        if not quiet:
            self.world.note("sent", id=identity, path=path, gateway=gateway, model=model)
        try:
            await asyncio.wait_for(self.exchange(answer, host, int(port), path, headers, body, method),
                                   limit_ms / 1000 + 1)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            answer.error = type(error).__name__
        if not quiet:
            self.world.note("answered", id=identity, status=answer.status, whole=answer.whole,
                            bytes=len(answer.body), error=answer.error)
        return answer

    async def exchange(self, answer, host, port, path, headers, body, method):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port, limit=1 << 20), 1)
        try:
            await self.send_on(reader, writer, answer, path, headers, body, method)
        finally:
            writer.close()

    @staticmethod
    async def send_on(reader, writer, answer, path, headers, body, method="POST"):
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(head.encode("latin-1") + b"\r\n" + body)
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                answer.headers[name.lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += data[:-2]
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.whole = True

    async def traffic(self, per_s, paths=("/chat/x", "/chat/x", "/art/x", "/card/x")):
        """Sends requests until it is cancelled."""
        pending, turn = set(), 0
        try:
            while True:
                turn += 1
                task = asyncio.ensure_future(self.call(
                    paths[turn % len(paths)], gateway=self.random.randrange(len(self.gateways)),
                    model=self.random.choice(list(MODELS)), tokens=(self.random.randint(200, 2000),
                                                                    self.random.randint(20, 250))))
                pending.add(task)
                task.add_done_callback(pending.discard)
                await asyncio.sleep(self.random.expovariate(per_s))
        finally:
            for task in list(pending):
                task.cancel()

    async def kept_traffic(self, paths, model=None, pause_s=0):
        """One caller on a kept channel: sends request after request, and notes channels that were closed
        without an answer after a sound runner had begun the request."""
        reader = writer = None
        turn = self.random.randrange(100)
        while True:
            await asyncio.sleep(pause_s * self.random.uniform(0.5, 1.5))
            turn += 1
            path = paths[turn % len(paths)]
            identity = self.next_id()
            gateway = self.gateways[turn % len(self.gateways)] if writer is None else gateway
            host, port = gateway.listen["http"].split(":")
            headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": identity,
                       "X-Deadline-Ms": "8000", "Content-Length": "1"}
            if path.startswith("/chat/"):
                headers.update({"X-Model": model or self.random.choice(list(MODELS)),
                                "X-Token-Counts": f"{self.random.randint(200, 2000)},{self.random.randint(20, 200)}",
                                "X-Prefix-Hash": f"5c1e07a2:40,{self.sent:08x}:400"})
            answer = Response(identity)
            self.world.note("sent", id=identity, path=path, gateway=gateway.index, kept=True)
            try:
                if writer is None:
                    reader, writer = await asyncio.wait_for(
                        asyncio.open_connection(host, int(port), limit=1 << 20), 1)
                await asyncio.wait_for(self.send_on(reader, writer, answer, path, headers, b"x"), 9)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                answer.error = type(error).__name__
            self.world.note("answered", id=identity, status=answer.status, whole=answer.whole,
                            bytes=len(answer.body), error=answer.error)
            if answer.status is None and answer.error in ("IncompleteReadError", "ConnectionResetError"):
                self.world.channel_closed(identity, gateway.index)
            if not answer.whole or answer.headers.get("connection", "").lower() == "close":
                if writer is not None:
                    writer.close()
                reader = writer = None
                await asyncio.sleep(0.05)

    async def wait_for_groups(self, seconds=40):
        """Both models serve, and no group forms any more."""
        def settled():
            heads = self.world.heads()
            return {head.model for head in heads} == set(MODELS) and not any(
                runner.group and runner.group["state"] in ("joining", "ready") and runner.group["rank"] == 0
                for runner in self.world.runners.values())
        steady = 0
        end = time.monotonic() + seconds
        while steady < 20:
            steady = steady + 1 if settled() else 0
            if time.monotonic() > end:
                raise CannotRun("the groups do not form")
            await asyncio.sleep(0.1)


class CannotRun(Exception):
    """The case could not be brought about."""


def run(case, folder, gateways=3):
    """Runs `case(deployment, trouble)`; returns the exit code: 1 if a rule broke, 0 if all held, 2 if it
    could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(pathlib.Path(folder) / "record.txt", gateways)
    deployment.world.note("case", trouble=trouble)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(asyncio.wait_for(case(deployment, trouble), 110))
    except Exception as error:  # whatever fails, it is not the rule
        if not deployment.world.violations:
            deployment.world.note("cannot_run", why=str(error) or type(error).__name__)
            print("the case could not run:", error or type(error).__name__)
            return 2
    finally:
        for rule, text in deployment.world.violations[:5]:
            print(f"{rule}: {text}")
        if deployment.world.violations:
            print(f"{len(deployment.world.violations)} breaks in all")
        deployment.world.note("end", broken=len(deployment.world.violations))
        deployment.close()
    if deployment.world.violations:
        return 1
    print("all rules held")
    return 0


def finish(code):
    """Ends at once: what still runs in the loop are stand-ins only."""
    sys.stdout.flush()
    os._exit(code)
