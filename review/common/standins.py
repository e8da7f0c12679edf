"""Stand-ins of the platform's store and runners, as the users' pages describe them.

Everything runs in one asyncio loop on loopback addresses. Figures are those of
the site bluemahoe-vod. A runner checks the rules that it can see (TWO, PARTIAL,
TWICE) and reports what breaks them.
"""
import asyncio
import base64
import collections
import copy
import json
import time
import urllib.parse

HEARTBEAT_S = 1.2
JOIN_S = 0.2
FORM_S = 0.3
STALL_S = 6.0
MODELS = {"m0": {"size": 4, "loadS": 16.0, "warmS": 1.6}, "m1": {"size": 2, "loadS": 12.0, "warmS": 1.1}}
SLOTS = 17
EVENT_S = 0.08
HISTORY_S = 20.0


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


class HttpServer:
    """HTTP/1.1 with kept connections; `handle(request, connection)` returns whether to keep it."""

    def __init__(self, handle, host="127.0.0.1"):
        self.handle, self.host, self.port = handle, host, 0
        self.server, self.writers = None, set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """As when the process is killed: the listener goes, and open connections break."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self.handle(Request(method, target, headers, body), Connection(reader, writer)):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Connection:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @property
    def gone(self):
        return self.reader.at_eof() or self.writer.is_closing()

    def send(self, status, body=b"", headers=None):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return True

    def start(self, headers):
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    async def chunk(self, data):
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await self.writer.drain()


class Store:
    """The metadata store: rows, transactions, the feed, and the restoration from a copy."""

    def __init__(self, world):
        self.world = world
        self.rows, self.version, self.era = {}, 0, 1
        self.changed = asyncio.Condition()
        self.down = False
        self.copies = collections.deque()
        self.server = HttpServer(self.handle)
        self.started = time.monotonic()
        # Calls of the system by kind, for the record.
        self.calls = collections.Counter()

    async def write(self, upserts, removals=()):
        self.version += 1
        for table, key, value in upserts:
            self.rows[table, key] = {"table": table, "part": "", "key": key, "ver": self.version,
                                     "value": value}
        for table, key in removals:
            if (table, key) in self.rows:
                self.rows[table, key] = {"table": table, "part": "", "key": key, "ver": self.version,
                                         "deleted": True}
        async with self.changed:
            self.changed.notify_all()

    async def put(self, table, key, value):
        """A write of the operator or of a runner. Returns whether the store took it."""
        if self.down:
            return False
        await self.write([(table, key, base64.b64encode(json.dumps(value).encode()).decode())])
        return True

    async def remove(self, table, key):
        if not self.down and self.version_of(table, key):
            await self.write([], [(table, key)])

    def version_of(self, table, key):
        row = self.rows.get((table, key))
        return row["ver"] if row and not row.get("deleted") else 0

    def take_copy(self):
        self.copy = (copy.deepcopy(self.rows), self.version, time.monotonic())

    async def restore(self):
        """Comes back from the copy: what was written since is lost, and versions go back."""
        self.rows, self.version, _ = copy.deepcopy(self.copy[0]), self.copy[1], 0
        self.era += 1
        self.down = False
        async with self.changed:
            self.changed.notify_all()

    def headers(self):
        return {"Store-Era": str(self.era), "Content-Type": "application/json"}

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def handle(self, request, connection):
        if self.down:
            return connection.send(503, {"error": "unavailable"}, self.headers())
        self.calls[request.path] += 1
        await asyncio.sleep(0.004)
        if request.path == "/api/rows-get":
            return connection.send(200, self.read(request.query), self.headers())
        if request.path == "/api/rows-feed":
            era = self.era
            answer = await self.feed(request.query)
            if self.down or (era != self.era and answer is not None and not answer["rows"]):
                return connection.send(503, {"error": "unavailable"}, self.headers())
            if answer is None:
                return connection.send(410, {"error": "gone"}, self.headers())
            return connection.send(200, answer, self.headers())
        if request.path == "/api/rows-tx":
            change = json.loads(request.body)
            failed = [row for row in change.get("expectRev", [])
                      if self.version_of(row["table"], row["key"]) != row["ver"]]
            if failed:
                rows = [self.rows[row["table"], row["key"]] for row in failed
                        if self.version_of(row["table"], row["key"])]
                return connection.send(412, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()},
                                       self.headers())
            await self.write([(row["table"], row["key"], row["value"]) for row in change.get("upserts", [])],
                             [(row["table"], row["key"]) for row in change.get("remove", [])])
            return connection.send(200, {"ver": self.version, "nowMs": self.now_ms()}, self.headers())
        return connection.send(404, {"error": "unknown"}, self.headers())

    def read(self, query):
        rows = [row for (table, key), row in sorted(self.rows.items())
                if table == query["table"] and not row.get("deleted") and key >= query.get("from", "")
                and ("target" not in query or key < query["target"])]
        limit = min(int(query.get("limit", "500")), 500)
        return {"rows": rows[:limit], "hasMore": len(rows) > limit, "ver": self.version,
                "nowMs": self.now_ms()}

    async def feed(self, query):
        since = int(query["sinceRev"])
        until = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000
        era = self.era
        while True:
            if since > self.version:
                return None
            rows = sorted((row for (table, _), row in self.rows.items()
                           if table == query["table"] and row["ver"] > since), key=lambda row: row["ver"])
            left = until - time.monotonic()
            if rows or left <= 0 or self.down or era != self.era:
                return {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Runner:
    """One runner. `domain` is None for a runner of a plain service."""

    def __init__(self, world, identity, service, zone, domain):
        self.world, self.id, self.service, self.zone, self.domain = world, identity, service, zone, domain
        self.server = HttpServer(self.handle)
        self.staged = []
        self.life = 0
        self.silent = False
        self.reset_life()

    def reset_life(self):
        self.alive = True
        self.life += 1
        self.born = int(time.time() * 1000)
        self.heartbeats = 0
        self.seq = self.fence = self.newest_epoch = 0
        self.group = None
        self.members = []
        self.model = ""
        self.draining = False
        self.stalled_at = None
        self.active = 0

    async def start(self, first_report_s=0):
        await self.server.open()
        asyncio.ensure_future(self.send_heartbeats(self.life, first_report_s))

    def kill(self):
        self.alive = False
        self.server.close()
        self.world.note("runner_killed", runner=self.id, group=self.group)

    async def restart(self):
        """Starts again under the same id and address; the host keeps its staged models."""
        self.reset_life()
        self.world.note("runner_started", runner=self.id, born=self.born)
        await self.start(first_report_s=0)

    def entry(self):
        entry = {"backend": self.service, "address": f"127.0.0.1:{self.server.port}", "zone": self.zone,
                 "version": "v1", "batchSlots": SLOTS if self.domain else 6,
                 "state": "draining" if self.draining else "ready", "warmupLeftMs": 0,
                 "seq": self.heartbeats, "born": self.born}
        if self.domain:
            entry.update(domain=self.domain, staged=list(self.staged),
                         models=[{"name": self.model, "version": 1, "adapters": []}] if self.group else [])
            if self.group:
                entry["group"] = dict(self.group)
        return entry

    async def publish(self):
        if self.alive and not self.silent:
            self.heartbeats += 1
            await self.world.store.put("servers", self.id, self.entry())

    async def send_heartbeats(self, life, first_report_s):
        await asyncio.sleep(first_report_s)
        await self.publish()
        await asyncio.sleep(HEARTBEAT_S * self.world.random.random())
        while self.alive and life == self.life:
            await self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request, connection):
        if self.silent:
            await asyncio.sleep(3600)
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return connection.send(421, headers={"X-Not-Run": "1", "At-Server": self.id})
        if request.path == "/api/report" and not self.domain:
            # The report tells of models and orders; a plain application has none, as on the bench.
            return connection.send(404, headers={"X-Instance-Id": self.id})
        if request.path == "/api/report":
            report = {"stage": "both", "models": [], "busy": False, "seq": self.seq, "queued": 0,
                      "active": self.active, "kvUsed": 0, "kvTotal": 1860000, "handles": 0,
                      "pace": 1, "born": self.born, "state": "draining" if self.draining else "ready"}
            if self.domain:
                report.update(domain=self.domain, staged=list(self.staged))
                if self.group:
                    report["group"] = dict(self.group)
            return connection.send(200, report, {"X-Instance-Id": self.id})
        if request.path == "/healthz":
            return connection.send(503 if self.draining else 200, headers={"X-Instance-Id": self.id})
        if request.path == "/api/order":
            return connection.send(await self.order(json.loads(request.body)))
        return await self.world.serve(self, request, connection)

    def is_member(self, order):
        return bool(self.group) and (self.group["name"], self.group["epoch"]) == (order.get("group"),
                                                                                order.get("epoch"))

    async def order(self, order):
        if order.get("fence", 0) < self.fence:
            status = 412
        else:
            self.fence = order.get("fence", 0)
            status = await self.carry_out(order)
        self.world.note("order", runner=self.id, op=order["op"], group=order.get("group"),
                        epoch=order.get("epoch"), model=order.get("model"), fence=order.get("fence"),
                        members=order.get("members"), status=status)
        return status

    async def carry_out(self, order):
        op = order["op"]
        if op == "stage":
            if order["model"] in self.staged:
                return 200
            self.seq += 1
            asyncio.ensure_future(self.stage(order["model"], self.life))
            return 202
        if op == "join":
            return await self.join(order)
        if not self.is_member(order):
            # Nothing to leave or to close is a state that holds already.
            return 200 if op == "leave" else 409
        if op == "leave":
            self.seq += 1
            self.group = None
            await self.publish()
            return 200
        if self.group["rank"] != 0:
            return 409
        state = self.group["state"]
        if op == "open":
            if state == "open":
                return 200
            if state != "ready":
                return 409
            self.seq += 1
            asyncio.ensure_future(self.open_group(dict(self.group), self.life))
            return 202
        if op == "close":
            if state == "ready":
                return 200
            if state != "open":
                return 409
            self.seq += 1
            self.group["state"] = "closing"
            await self.publish()
            asyncio.ensure_future(self.close_group(self.group["epoch"], self.life))
            return 202
        return 400

    def load_time(self, model):
        seconds = MODELS[model]["loadS"]
        return seconds if self.world.traffic_started else seconds / 10

    async def stage(self, model, life):
        await asyncio.sleep(self.load_time(model))
        if self.alive and life == self.life:
            self.staged = [model]
            await self.publish()

    async def join(self, order):
        if order["epoch"] < self.newest_epoch or (self.is_member(order) and self.members != order["members"]):
            return 412
        if self.is_member(order):
            return 200
        self.world.check_join(self, order)
        same_model = self.model == order["model"]
        staged = order["model"] in self.staged
        wait = JOIN_S if same_model else (MODELS[order["model"]]["warmS"] if staged
                                          else self.load_time(order["model"]))
        self.newest_epoch = order["epoch"]
        self.seq += 1
        self.model, self.members = order["model"], order["members"]
        self.stalled_at = None
        self.group = {"name": order["group"], "epoch": order["epoch"],
                      "rank": order["members"].index(self.id), "state": "joining"}
        await self.publish()
        asyncio.ensure_future(self.become_ready(order, wait, self.life))
        return 202

    async def become_ready(self, order, wait, life):
        await asyncio.sleep(wait)
        if not self.alive or life != self.life or not self.is_member(order):
            return
        if order["model"] not in self.staged and wait > JOIN_S:
            self.staged = [order["model"]]
        self.group["state"] = "ready"
        self.world.ready_members.add((order["group"], order["epoch"], tuple(order["members"]), self.id))
        await self.publish()

    async def open_group(self, group, life):
        await asyncio.sleep(FORM_S)
        if (self.alive and life == self.life and self.group and self.group["state"] == "ready"
                and self.group["epoch"] == group["epoch"]):
            self.group["state"] = "open"
            await self.publish()

    async def close_group(self, epoch, life):
        while self.active and life == self.life:
            await asyncio.sleep(0.05)
        if life == self.life and self.group and self.group["epoch"] == epoch:
            self.group["state"] = "ready"
            await self.publish()


class World:
    """The store, the runners, and what they saw."""

    def __init__(self, random, record):
        self.random, self.record = random, record
        self.store = Store(self)
        self.runners = {}
        self.ready_members = set()
        self.violations = []
        self.runs = collections.Counter()
        self.traffic_started = False
        self.began = time.monotonic()
        self.kinds = {}
        # Part of the answers that each runner of a plain service loses by a reset.
        self.lossy = {}
        self.ran_at, self.lost, self.troubled = {}, [], set()

    def note(self, event, **fields):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {event} " + json.dumps(fields) + "\n")
        self.record.flush()

    def violate(self, rule, text):
        self.violations.append((rule, text))
        self.note("RULE_BROKEN", rule=rule, what=text)

    async def open(self, config, runners):
        await self.store.server.open()
        await self.store.put("op", "config", config)
        self.config = config
        self.kinds = {route["pathPrefix"]: route["kind"] for route in config["routes"]}
        for identity, service, zone, domain in runners:
            runner = self.runners[identity] = Runner(self, identity, service, zone, domain)
            await runner.start(HEARTBEAT_S * self.random.random())
        asyncio.ensure_future(self.expire_entries())

    async def expire_entries(self):
        """Removes the entry of a runner after three intervals of silence."""
        silent_since = {}
        while True:
            for identity, runner in self.runners.items():
                if runner.alive and not runner.silent:
                    silent_since.pop(identity, None)
                    continue
                since = silent_since.setdefault(identity, time.monotonic())
                if time.monotonic() - since >= 3 * HEARTBEAT_S:
                    await self.store.remove("servers", identity)
            await asyncio.sleep(0.1)

    def head_of(self, runner):
        return self.runners.get(runner.members[0]) if runner.members else None

    def moves(self, head):
        """Whether the head's group makes progress: all of its members are alive members."""
        for identity in head.members:
            member = self.runners[identity]
            if (not member.alive or member.silent or not member.group
                    or (member.group["name"], member.group["epoch"])
                    != (head.group["name"], head.group["epoch"])):
                return False
        return True

    def check_join(self, runner, order):
        """TWO: a join of another group while the head of its group is open or closing."""
        if not runner.group or (runner.group["name"], runner.group["epoch"]) == (order["group"], order["epoch"]):
            return
        head = self.head_of(runner)
        if (head and head.alive and head.group and head.group["rank"] == 0
                and (head.group["name"], head.group["epoch"]) == (runner.group["name"], runner.group["epoch"])
                and head.group["state"] in ("open", "closing")):
            self.violate("TWO", f"{runner.id} takes a join of {order['group']} while {head.id}, the head of its "
                                f"group {runner.group['name']}, is {head.group['state']} with "
                                f"{head.active} requests at work")

    def channel_closed(self, identity, gateway):
        """LOST: more than three kept channels are closed without an answer after the request was passed on
        to a sound runner."""
        runner = self.ran_at.get(identity)
        if runner is None or runner in self.troubled:
            return
        self.lost.append(identity)
        self.note("channel_closed_unanswered", id=identity, gateway=gateway, runner=runner)
        if len(self.lost) == 4:
            self.violate("LOST", f"4 kept channels were closed without an answer to a request that a sound runner "
                                 f"had begun: {self.lost}")

    async def serve(self, runner, request, connection):
        refused = {"X-Not-Run": "1", "At-Server": runner.id}
        identity = request.headers.get("x-request-id", "")
        if runner.domain and (not runner.group or runner.group["rank"] != 0
                              or runner.model != request.headers.get("x-model")):
            return connection.send(421, headers=refused)
        if runner.domain and (runner.group["state"] != "open" or runner.active >= 2 * SLOTS):
            return connection.send(503, headers=refused)
        self.traffic_started = True
        kind = next((kind for prefix, kind in self.kinds.items() if request.path.startswith(prefix)), "")
        self.runs[identity] += 1
        self.ran_at[identity] = runner.id
        self.note("run", id=identity, runner=runner.id, resume=request.headers.get("last-event-id"))
        if self.runs[identity] > 1 and kind == "non_idempotent":
            self.violate("TWICE", f"{identity} runs again, at {runner.id}")
        if runner.domain:
            key = (runner.group["name"], runner.group["epoch"], tuple(runner.members))
            if len(runner.members) != MODELS[runner.model]["size"] or not all(
                    (*key, member) in self.ready_members for member in runner.members):
                self.violate("PARTIAL", f"{identity} begins in {key[0]}, whose members were not all ready")
        headers = {"X-Request-Id": identity, "X-Response-Seal": "s." + identity}
        runner.active += 1
        try:
            if runner.domain:
                return await self.stream(runner, request, connection, headers)
            await asyncio.sleep(0.06)
            if self.random.random() < self.lossy.get(runner.id, 0):
                self.note("answer_lost", id=identity, runner=runner.id)
                connection.writer.transport.abort()
                return False
            return connection.send(200, identity.encode() * 4, headers)
        finally:
            runner.active -= 1

    async def stream(self, runner, request, connection, headers):
        identity, life, epoch = request.headers["x-request-id"], runner.life, runner.group["epoch"]
        await asyncio.sleep(0.08)
        first = int(request.headers.get("last-event-id", "0")) + 1
        last = max(1, int(request.headers["x-token-counts"].split(",")[1]) // 5)
        connection.start({**headers, "Content-Type": "text/event-stream"})
        for number in range(first, last + 1):
            stands_since = time.monotonic()
            while not runner.group or runner.group["epoch"] != epoch or not self.moves(runner):
                if connection.gone or life != runner.life or time.monotonic() - stands_since > STALL_S:
                    if life == runner.life and runner.group and runner.group["epoch"] == epoch:
                        runner.group["state"] = "broken"
                        await runner.publish()
                    connection.writer.transport.abort()
                    return False
                await asyncio.sleep(0.02)
            if connection.gone:
                return False
            while getattr(runner, "stop_writing", False) and not connection.gone:
                await asyncio.sleep(0.02)
            await connection.chunk(f"id: {number}\ndata: {identity}.{number}\n\n".encode())
            await asyncio.sleep(EVENT_S)
        await connection.chunk(b"")
        return True

    def heads(self):
        return [runner for runner in self.runners.values()
                if runner.alive and runner.group and runner.group["rank"] == 0
                and runner.group["state"] == "open" and self.moves(runner)]
