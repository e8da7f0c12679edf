"""Stand-ins for the platform's store, runners and requesters, and a small deployment of gateways.

The store and the runners follow PROTOCOL.md. They run in the event loop of the script; the gateways
are separate processes, started with the command of deploy/system.toml. All addresses are loopback
addresses that belong to this run alone.
"""
import asyncio
import base64
import json
import os
import pathlib
import re
import shlex
import shutil
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "films.example"
KEY = "n2ctnfzs989anu6wsjnb"
HEARTBEAT_S = 1.2
PORTS = {"http": 8227, "readiness": 8220, "control": 8229, "directory": 8224}


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Head:
    """The first line and the headers of a message."""

    def __init__(self, block):
        lines = block.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                self.headers.setdefault(name.strip().lower(), value.strip())

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


class Server:
    """A small HTTP/1.1 server. `answer(head, body, reader, writer)` returns whether the channel
    stays open."""

    def __init__(self, ip, port=0):
        self.ip = ip
        self.port = port
        self.writers = set()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = Head((await reader.readuntil(b"\r\n\r\n"))[:-4])
                if head.get("transfer-encoding").lower() == "chunked":
                    body = await read_chunked(reader)
                else:
                    body = await reader.readexactly(int(head.get("content-length", "0")))
                if not await self.answer(head, body, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass  # the other side has closed the channel
        finally:
            self.writers.discard(writer)
            writer.close()

    async def end_process(self):
        """Closes everything as a kernel does for a process that exits: channels with FIN."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()


def message(status, body=b"", headers=None):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store(Server):
    """The platform's store: rows with versions, conditional transactions and a feed of changes."""

    def __init__(self, ip):
        super().__init__(ip)
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.era = 1
        self.up = True

    def write(self, upserts=(), removals=()):
        self.version += 1
        for table, key, value in upserts:
            self.rows[table, key] = {"table": table, "part": "", "key": key, "ver": self.version,
                                     "value": value}
        for table, key in removals:
            if (table, key) in self.rows:
                self.rows[table, key] = {"table": table, "part": "", "key": key,
                                         "ver": self.version, "deleted": True}
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.write([(table, key, base64.b64encode(text).decode())])

    def copy(self):
        return dict(self.rows), self.version

    def restore(self, copied):
        """Comes back from an older copy."""
        self.rows, self.version = dict(copied[0]), copied[1]
        self.era += 1
        self.wake()

    def version_of(self, table, key):
        row = self.rows.get((table, key))
        return row["ver"] if row and not row.get("deleted") else 0

    async def answer(self, head, body, _reader, writer):
        if not self.up:
            writer.close()
            return False
        method, target, _ = head.first.split(" ")
        path, _, text = target.partition("?")
        query = {}
        for part in text.split("&"):
            name, _, value = part.partition("=")
            query[name] = self.decode(value)
        status, answer = 404, {}
        if path == "/api/rows-get":
            status, answer = 200, self.read(query)
        elif path == "/api/rows-feed":
            status, answer = await self.feed(query)
        elif path == "/api/rows-tx" and method == "POST":
            status, answer = self.commit(json.loads(body))
        if not self.up:
            writer.close()
            return False
        writer.write(message(status, json.dumps(answer).encode(),
                             {"Content-Type": "application/json", "Store-Era": self.era}))
        await writer.drain()
        return True

    @staticmethod
    def decode(text):
        parts = text.split("%")
        return parts[0] + "".join(chr(int(part[:2], 16)) + part[2:] for part in parts[1:])

    def read(self, query):
        rows = [row for (table, key), row in sorted(self.rows.items())
                if table == query["table"] and not row.get("deleted")
                and key >= query.get("from", "")
                and ("target" not in query or key < query["target"])]
        return {"rows": rows, "hasMore": False, "ver": self.version, "nowMs": self.now_ms()}

    @staticmethod
    def now_ms():
        return int(time.monotonic() * 1000)

    async def feed(self, query):
        since = int(query["sinceRev"])
        era = self.era
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if self.version < since or self.era != era:
                return 410, {}
            rows = sorted((row for (table, _), row in self.rows.items()
                           if table == query["table"] and row["ver"] > since),
                          key=lambda row: row["ver"])
            left = until - time.monotonic()
            if rows or left <= 0 or not self.up:
                return 200, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, change):
        checks = change.get("expectRev", [])
        if any(self.version_of(check["table"], check["key"]) != check["ver"] for check in checks):
            rows = [self.rows[check["table"], check["key"]] for check in checks
                    if self.version_of(check["table"], check["key"])]
            return 412, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
        self.write([(row["table"], row["key"], row["value"]) for row in change.get("upserts", [])],
                   [(row["table"], row["key"]) for row in change.get("remove", [])])
        return 200, {"ver": self.version, "nowMs": self.now_ms()}


class Runner(Server):
    """A runner of a plain service. `work` answers a request; tests replace it."""

    def __init__(self, fleet, identity, ip, service, slots=17, zone="hall-a"):
        super().__init__(ip)
        self.fleet = fleet
        self.id = identity
        self.service = service
        self.slots = slots
        self.zone = zone
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.alive = True
        self.reports = True
        self.active = 0

    async def start(self):
        await self.open()
        self.alive = True
        self.publish()
        asyncio.ensure_future(self.beat())

    async def beat(self):
        born = self.born
        while self.alive and self.born == born:
            await asyncio.sleep(HEARTBEAT_S)
            if self.alive and self.born == born and self.reports:
                self.publish()

    def entry(self):
        return {"backend": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "batchSlots": self.slots, "state": self.state, "warmupLeftMs": 0,
                "seq": self.seq, "born": self.born}

    def publish(self):
        self.seq += 1
        if self.fleet.store.up:
            self.fleet.store.put("servers", self.id, self.entry())

    def remove_entry(self):
        self.fleet.store.write(removals=[("servers", self.id)])

    def extra_headers(self):
        return {"Server-Leaving": "1"} if self.state == "draining" else {}

    async def answer(self, head, body, reader, writer):
        expected = head.get("x-expect-instance", self.id)
        if expected != self.id:
            writer.write(message(421, headers={"X-Not-Run": "1"}))
            return True
        method, target, _ = head.first.split(" ")
        if target == "/api/report":
            report = {"stage": "both", "models": [], "busy": False, "seq": 0, "queued": 0,
                      "active": self.active, "kvUsed": 0, "kvTotal": 1000, "handles": 0,
                      "born": self.born, "state": self.state}
            writer.write(message(200, json.dumps(report).encode(), self.extra_headers()))
            return True
        self.active += 1
        try:
            return await self.work(method, target, head, body, reader, writer)
        finally:
            self.active -= 1

    def echo(self, head):
        return {"X-Request-Id": head.get("x-request-id"), "X-Response-Seal": "3e1b.07.5a2",
                **self.extra_headers()}

    async def work(self, method, target, head, body, reader, writer):
        self.fleet.ran(self, head, f"{method} {target}")
        writer.write(message(200, b"answer to " + head.get("x-request-id").encode(),
                             self.echo(head)))
        await writer.drain()
        return True

    async def exit(self):
        self.alive = False
        await self.end_process()


class Answer:
    """What a requester received on its channel until the answer or the channel ended."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.ending = ""

    def event_ids(self):
        return [int(line[3:]) for line in self.body.split(b"\n") if line.startswith(b"id:")]


class Gateway:
    """One gateway process."""

    def __init__(self, fleet, index, ip, zone):
        self.fleet = fleet
        self.index = index
        self.ip = ip
        self.zone = zone
        self.process = None
        self.settings = fleet.folder / f"edge-{index}.yaml"
        self.log = fleet.folder / f"edge-{index}.log"

    def address(self, name):
        return f"{self.ip}:{PORTS[name]}"

    def start(self, bootstrap=True):
        settings = {
            "nodeName": f"edge-{self.zone}-{self.index}", "role": "edge", "machineClass": "edge",
            "serves": ["edge", "control", "directory"], "ip": self.ip, "zone": self.zone,
            "region": "kingston", "zones": {"hall-a": "kingston", "hall-b": "kingston"},
            "listen": {name: self.address(name) for name in PORTS},
            "portRange": [7340, 7355], "seeds": [self.fleet.gateways[0].address("control")],
            "bootstrap": bootstrap, "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cpus": 1, "memoryMb": 260, "maxFds": 4200,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
            "policyParams": {"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000,
                             "syncS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
                             "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
                             "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 103,
                             "recoveryS": 12, "passMs": 120, "stallMs": 6000, "requireFence": True,
                             "ttl_max_s": 5},
            "provider": {"address": self.fleet.store.address, "form": "table", "writesPerS": 400,
                         "readsPerS": 2000, "txMs": 5.0, "partWritesS": 200, "rowBytes": 65536,
                         "across": False, "historyS": 20}}
        # JSON is valid YAML.
        self.settings.write_text(json.dumps(settings))
        deploy = (ROOT / "deploy/system.toml").read_text()
        command = shlex.split(re.search(r'^run = "(.*)"$', deploy, re.MULTILINE).group(1))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CAMPHORLUG_NODE_FILE"] = str(self.settings)
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log,
                                            stderr=subprocess.STDOUT)

    async def ready(self):
        try:
            return (await self.get("readiness", "/api/readyz")).status == 200
        except OSError:
            return False

    async def get(self, name, path):
        text = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        return await exchange(self.address(name), text.encode(), 5)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


async def read_answer(reader, within, on_event=None):
    """Reads one answer as a requester does."""
    answer = Answer()
    try:
        await asyncio.wait_for(read_into(answer, reader, on_event), within)
    except asyncio.TimeoutError:
        answer.ending = "nothing more in time"
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial if answer.status else b""
        answer.ending = "channel closed early"
    except ConnectionError:
        answer.ending = "channel reset"
    return answer


async def read_into(answer, reader, on_event):
    head = Head((await reader.readuntil(b"\r\n\r\n"))[:-4])
    answer.status = int(head.first.split(" ")[1])
    answer.headers = head.headers
    if head.get("transfer-encoding").lower() == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                break
            answer.body += (await reader.readexactly(size + 2))[:-2]
            if on_event:
                on_event(answer)
    elif "content-length" in head.headers:
        answer.body = await reader.readexactly(int(head.get("content-length")))
    else:
        answer.body = await reader.read(-1)
    answer.complete = True
    answer.ending = "complete"


async def exchange(address, text, within):
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
    try:
        writer.write(text)
        return await read_answer(reader, within)
    finally:
        writer.close()


class Channel:
    """A requester's kept channel to a gateway."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.gateway.ip, PORTS["http"]), 1)
        return self

    def close(self):
        if self.writer:
            self.writer.close()


class Fleet:
    """The store, the runners and the gateways of one run."""

    def __init__(self, folder, routes, services, gateways=2):
        self.case = pathlib.Path(folder)
        self.record = Record(self.case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="camphorlug-case-"))
        self.net = 20 + os.getpid() % 200, os.getpid() // 200 % 250
        self.next_ip = 0
        self.store = Store(self.new_ip())
        self.runners = {}
        self.runs = {}
        self.requests = 0
        self.paths = {}
        self.routes = routes
        self.services = services
        self.version = 0
        self.tenants = [{"name": "hule930", "apiKeys": [KEY]}]
        self.gateways = []
        for index in range(gateways):
            self.gateways.append(Gateway(self, index, self.new_ip(), "hall-a"))

    def new_ip(self):
        self.next_ip += 1
        return f"127.{self.net[0]}.{self.net[1]}.{self.next_ip}"

    async def open(self):
        await self.store.open()
        self.configure()
        for runner in self.runners.values():
            await runner.start()
        for gateway in self.gateways:
            gateway.start()
        for _ in range(150):
            if all([await gateway.ready() for gateway in self.gateways]):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the gateways did not become ready")
        await asyncio.sleep(1)

    def configure(self):
        self.version += 3
        self.store.put("op", "config", {
            "version": self.version, "routes": self.routes, "services": self.services,
            "tenants": self.tenants,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                       "idleTimeoutMs": 30000}})

    def add(self, identity, service, kind=Runner, **more):
        runner = kind(self, identity, self.new_ip(), service, **more)
        self.runners[identity] = runner
        return runner

    def ran(self, runner, head, what=""):
        identity = head.get("x-request-id")
        self.runs.setdefault(identity, []).append(runner.id)
        self.record(f"run {identity} at {runner.id} {what} deadline={head.get('x-deadline-ms')}")

    def next_id(self):
        self.requests += 1
        return f"{os.getpid():08x}{self.requests:08x}"

    def request(self, path, identity, budget_ms, body=b"", method="POST", headers=None):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {identity}",
                 f"X-Deadline-Ms: {budget_ms}", f"Authorization: Bearer {KEY}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def call(self, channel, path, budget_ms, identity=None, **more):
        """Sends a request on a kept channel and reads its answer."""
        identity = identity or self.next_id()
        self.paths[identity] = path
        self.record(f"send {identity} to gateway {channel.gateway.index} {path} budget={budget_ms}")
        channel.writer.write(self.request(path, identity, budget_ms, **more))
        answer = await read_answer(channel.reader, budget_ms / 1000 + 2)
        answer.id = identity
        self.record(f"answer {identity} {answer.status} {len(answer.body)} bytes, {answer.ending}")
        return answer

    async def close(self):
        for gateway in self.gateways:
            gateway.end()
            if gateway.process and os.environ.get("KEEP_LOGS"):
                shutil.copy(gateway.log, self.case / f"edge-{gateway.index}.log")
        for runner in self.runners.values():
            if runner.alive:
                await runner.exit()
        shutil.rmtree(self.folder, ignore_errors=True)


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def stream_head(headers, framing="Transfer-Encoding: chunked"):
    lines = ["HTTP/1.1 200 OK", framing, "Content-Type: text/event-stream"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def event(head, number):
    return f"id: {number}\ndata: {head.get('x-request-id')}.{number}\n\n".encode()


def first_event(head):
    """The number of the event at which a run begins."""
    return int(head.get("last-event-id") or 0) + 1


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def route(prefix, kind, service, **more):
    return {"name": prefix.strip("/"), "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutMs": 6000, "goalMs": 300, "gapTargetMs": 200, "attempts": 2, "priority": 1,
            "backend": service, **more}


def run(case):
    """Runs `case()`, a coroutine that returns whether the rule held. Exits with 0, 1 or 2."""
    async def run_case():
        # The case's own clean-up ends its processes.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        loop.set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(), 110)

    try:
        held = asyncio.run(run_case())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        print(f"could not run: {error!r}")
        raise SystemExit(2)
    raise SystemExit(0 if held else 1)
