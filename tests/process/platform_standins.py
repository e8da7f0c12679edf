"""Stand-ins for the users' platform: its store and runners, and the rules that they check.

All of them run in the event loop of one thread, which tests access through
`PlatformStandins.run_coroutine`. Load and join times are at most a tenth of
those of the real platform.
"""
import asyncio
import base64
import collections
import json
import threading
import time
import urllib.parse

HEARTBEAT_S = 0.3
LOAD_S = 0.3
STAGED_LOAD_S = 0.1
JOIN_S = 0.05
EVENT_S = 0.02


class Request:
    """A request that a stand-in received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body


class HttpServer:
    """Minimal HTTP/1.1 server; `handle(request, connection)` writes the response."""

    def __init__(self, port, handle):
        self.port = port
        self.handle = handle
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def close(self):
        """Stops listening and resets the open connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def stop_listening(self):
        """Refuses new connections and goes on with the open ones."""
        self.server.close()

    def end(self):
        """Stops listening and closes the open connections in order, as a kernel does for a process
        that ends."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.answer_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass  # the client closed its connection
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = {name.lower(): value.strip() for name, _, value in
                   (line.partition(":") for line in head[1:] if line)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return await self.handle(Request(method, target, headers, body),
                                 Connection(reader, writer))


class Connection:
    """The connection of one request, to which its response is written."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @property
    def disconnected(self):
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
        self.start_with(lines, headers)

    def start_without_framing(self, headers):
        """Starts a response that ends with its connection."""
        self.start_with(["HTTP/1.1 200 OK", "Connection: close"], headers)

    def start_with(self, lines, headers):
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    async def chunk(self, data):
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await self.writer.drain()


class Store:
    """Versioned rows with conditional transactions and a change feed."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.down = False
        self.answers_to_lose = 0

    async def write(self, upserts, removals=()):
        self.version += 1
        for table, key, value in upserts:
            self.rows[table, key] = {"table": table, "part": "", "key": key,
                                     "ver": self.version, "value": value}
        for table, key in removals:
            self.rows[table, key] = {"table": table, "part": "", "key": key,
                                     "ver": self.version, "deleted": True}
        async with self.changed:
            self.changed.notify_all()

    async def put(self, table, key, value):
        await self.write([(table, key, base64.b64encode(json.dumps(value).encode()).decode())])

    def version_of(self, table, key):
        row = self.rows.get((table, key))
        return row["ver"] if row and not row.get("deleted") else 0

    async def handle(self, request, connection):
        if self.down:
            await asyncio.sleep(3600)
        if request.path == "/api/rows-get":
            return connection.send(200, self.read(request.query))
        if request.path == "/api/rows-feed":
            return connection.send(200, await self.feed(request.query))
        return await self.commit(json.loads(request.body), connection)

    def read(self, query):
        rows = [row for (table, key), row in sorted(self.rows.items())
                if table == query["table"] and not row.get("deleted")
                and key >= query.get("from", "") and ("target" not in query
                                                      or key < query["target"])]
        return {"rows": rows, "hasMore": False, "ver": self.version, "nowMs": 0}

    async def feed(self, query):
        since, limit = int(query["sinceRev"]), int(query["waitMs"]) / 1000
        until = time.monotonic() + limit
        while True:
            rows = sorted((row for (table, _), row in self.rows.items()
                           if table == query["table"] and row["ver"] > since),
                          key=lambda row: row["ver"])
            left = until - time.monotonic()
            if rows or left <= 0 or self.down:
                return {"rows": rows, "ver": self.version, "nowMs": 0}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass  # no row changed before the time limit

    async def commit(self, change, connection):
        failed_checks = [check for check in change["expectRev"]
                         if self.version_of(check["table"], check["key"]) != check["ver"]]
        if failed_checks:
            return connection.send(412, {"rows": [], "ver": self.version})
        await self.write([(row["table"], row["key"], row["value"]) for row in change["upserts"]],
                         [(row["table"], row["key"]) for row in change["remove"]])
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            return False
        return connection.send(200, {"ver": self.version, "nowMs": 0})


class Runner:
    """One instance: publishes its entry, and handles orders and requests."""

    def __init__(self, standins, identity, port, service, domain):
        self.standins = standins
        self.id = identity
        self.port = port
        self.service = service
        self.domain = domain
        self.born = 1
        self.alive = True
        self.silent = False
        self.lose_answers = 0
        self.paused_until = 0
        # Ids of the requests whose streams are in progress.
        self.streams = []
        self.answer_bytes = 0
        self.draining = False
        # Its streams have neither a length nor chunks.
        self.unframed = False
        # Its process ends after this event of a stream that it has begun.
        self.ends_after_event = None
        # Status of its answers to resumed requests; it runs none of them.
        self.resumption_status = None
        # Says in its responses that it leaves, while its row says `ready`.
        self.leaving = False
        # Seconds in Retry-After of the next refusal.
        self.refuse_for = 0
        self.refused_at = None
        # Requests a second that it takes from all nodes together, as said in its responses.
        self.request_limit = None
        # When each request arrived.
        self.arrivals = []
        self.fence = 0
        # Orders begun, as its report tells; not the `seq` of its row.
        self.seq = 0
        self.heartbeats = 0
        self.newest_epoch = 0
        self.group = None
        self.members = []
        self.model = ""
        self.staged = []
        self.server = HttpServer(port, self.handle)

    def entry(self):
        entry = {"backend": self.service, "address": f"127.0.0.1:{self.port}", "zone": "east",
                 "version": "v1", "batchSlots": 8, "state": "draining" if self.draining else "ready",
                 "warmupLeftMs": 0, "seq": self.heartbeats, "born": self.born}
        if self.domain:
            entry.update(domain=self.domain, staged=self.staged,
                         models=[{"name": self.model, "version": 1, "adapters": []}]
                         if self.group else [])
            if self.group:
                entry["group"] = dict(self.group)
        return entry

    async def publish(self):
        if self.alive and not self.silent:
            self.heartbeats += 1
            await self.standins.store.put("servers", self.id, self.entry())

    async def send_heartbeats(self):
        while self.alive:
            await self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request, connection):
        if self.silent:
            await asyncio.sleep(3600)
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return connection.send(421, headers={"X-Not-Run": "1"})
        if request.path == "/api/report":
            return connection.send(200, {"seq": self.seq, "busy": False})
        if request.path == "/api/order":
            status = await self.order(json.loads(request.body))
            return connection.send(status)
        return await self.serve_request(request, connection)

    async def order(self, order):
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        is_member = self.group and (self.group["name"], self.group["epoch"]) == (
            order.get("group"), order.get("epoch"))
        kind = order["op"]
        if kind == "stage":
            asyncio.ensure_future(self.stage(order["model"]))
            return 202
        if kind == "join":
            return await self.join(order, is_member)
        if kind == "leave":
            if is_member:
                self.group = None
                await self.publish()
            return 200
        if not is_member or self.group["rank"] != 0 or self.group["state"] == "joining":
            return 409
        if kind == "open":
            self.group["state"] = "open"
        else:
            # Closing lets the streams in progress end first.
            self.group["state"] = "closing" if self.streams else "ready"
        await self.publish()
        return 202 if self.group["state"] == "closing" else 200

    async def stage(self, model):
        await asyncio.sleep(LOAD_S)
        self.staged = [model]
        await self.publish()

    async def join(self, order, is_member):
        if order["epoch"] < self.newest_epoch or (is_member and self.members != order["members"]):
            return 412
        if is_member:
            return 200
        self.standins.check_join(self, order)
        wait = (JOIN_S if self.model == order["model"] else
                STAGED_LOAD_S if order["model"] in self.staged else LOAD_S)
        self.newest_epoch = order["epoch"]
        self.seq += 1
        self.model = order["model"]
        self.members = order["members"]
        self.group = {"name": order["group"], "epoch": order["epoch"],
                      "rank": order["members"].index(self.id), "state": "joining"}
        await self.publish()
        asyncio.ensure_future(self.become_ready(order, wait))
        return 202

    async def become_ready(self, order, wait):
        await asyncio.sleep(wait)
        if self.alive and self.group and self.group["epoch"] == order["epoch"]:
            self.group["state"] = "ready"
            self.standins.ready_members.add(
                (order["group"], order["epoch"], tuple(self.members), self.id))
            await self.publish()

    async def serve_request(self, request, connection):
        refused = {"X-Not-Run": "1"}
        if self.domain and (not self.group or self.group["rank"] != 0):
            return connection.send(421, headers=refused)
        if self.domain and self.group["state"] != "open":
            return connection.send(503, headers=refused)
        self.arrivals.append(time.monotonic())
        if self.standins.deadly_part in self.prompt_parts(request):
            self.kill()
            return False
        if self.refuse_for:
            refused["Retry-After"] = str(self.refuse_for)
            self.refuse_for = 0
            self.refused_at = time.monotonic()
            return connection.send(503, headers=refused)
        self.standins.check_run(self, request)
        response_headers = {"X-Request-Id": request.headers.get("x-request-id", ""),
                            "X-Response-Seal": "s"}
        if self.leaving:
            response_headers["Server-Leaving"] = "1"
        if self.request_limit is not None:
            response_headers["Server-Limit"] = str(self.request_limit)
        if self.domain:
            return await self.serve_stream(request, connection, response_headers)
        await asyncio.sleep(EVENT_S)
        while time.monotonic() < self.paused_until and not connection.disconnected:
            await asyncio.sleep(EVENT_S)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return False
        body = b"y" * self.answer_bytes or request.headers["x-request-id"].encode()
        return connection.send(200, body, response_headers)

    async def serve_stream(self, request, connection, response_headers):
        # A stream can outlast the instance that began it; a restarted one has its own list.
        streams, identity = self.streams, request.headers["x-request-id"]
        streams.append(identity)
        try:
            return await self.stream(request, connection, response_headers)
        finally:
            streams.remove(identity)
            if not self.streams and self.group and self.group["state"] == "closing":
                self.group["state"] = "ready"
                await self.publish()

    @staticmethod
    def prompt_parts(request):
        parts = request.headers.get("x-prefix-hash", "").split(",")
        return [part.partition(":")[0] for part in parts if part]

    async def stream(self, request, connection, response_headers):
        first = int(request.headers.get("last-event-id", "0")) + 1
        if first > 1 and self.resumption_status:
            return connection.send(self.resumption_status, b"", response_headers)
        stream_headers = {**response_headers, "Content-Type": "text/event-stream"}
        if self.unframed:
            connection.start_without_framing(stream_headers)
        else:
            connection.start(stream_headers)
        last = int(request.headers.get("x-token-counts", "1,20").split(",")[1])
        for number in range(first, last + 1):
            # A group makes progress only while all of its members do.
            while not connection.disconnected and (
                    time.monotonic() < self.paused_until
                    or not self.standins.group_makes_progress(self)):
                await asyncio.sleep(EVENT_S)
            if connection.disconnected:
                self.standins.disconnects[request.headers["x-request-id"]] = number
                return False
            text = f"id: {number}\ndata: {request.headers['x-request-id']}.{number}\n\n"
            await self.send_event(connection, text.encode())
            if first == 1 and number == self.ends_after_event:
                self.end()
                return False
            await asyncio.sleep(EVENT_S)
        if self.unframed:
            return False
        await connection.chunk(b"")
        return True

    async def send_event(self, connection, data):
        if self.unframed:
            connection.writer.write(data)
            await connection.writer.drain()
        else:
            await connection.chunk(data)

    def pause_streams(self, seconds):
        """Writes nothing to any stream for a while, and then goes on."""
        self.paused_until = time.monotonic() + seconds

    def kill(self):
        self.alive = False
        self.server.close()

    def end(self):
        """Ends the process; unlike `kill`, its connections are closed in order."""
        self.alive = False
        self.server.end()

    async def restart(self):
        """Restarts the instance under its id with a fresh state."""
        self.__init__(self.standins, self.id, self.port, self.service, self.domain)
        self.born = int(time.time() * 1000)
        await self.server.open()
        asyncio.ensure_future(self.send_heartbeats())


class PlatformStandins:
    """The store and the runners, and the rule violations that they observed."""

    store_class = Store

    def __init__(self, port):
        self.port = port
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.runners = {}
        self.runs = collections.Counter()
        self.idempotent_prefixes = {}
        self.disconnects = {}
        self.ready_members = set()
        self.violations = []
        # A runner crashes when it receives a request with this part in its prompt.
        self.deadly_part = None
        self.versions = 0
        self.run_coroutine(self.open())

    def run_coroutine(self, coroutine):
        """Runs a coroutine in the event loop's thread and returns its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    async def open(self):
        self.store = self.store_class()
        server = HttpServer(self.port, self.store.handle)
        await server.open()
        asyncio.ensure_future(self.expire_silent_entries())

    async def add_runner(self, identity, service, domain=None):
        port = self.port + 1 + len(self.runners)
        runner = Runner(self, identity, port, service, domain)
        self.runners[identity] = runner
        await runner.server.open()
        asyncio.ensure_future(runner.send_heartbeats())

    async def expire_silent_entries(self):
        silent_for = collections.Counter()
        while True:
            for identity, runner in list(self.runners.items()):
                is_silent = not runner.alive or runner.silent
                silent_for[identity] = silent_for[identity] + 1 if is_silent else 0
                if silent_for[identity] == 3:
                    await self.store.write([], [("servers", identity)])
            await asyncio.sleep(HEARTBEAT_S)

    async def set_config(self, routes, services, tenants, **limits):
        self.versions += 3
        self.idempotent_prefixes = {route["pathPrefix"]: route["kind"] != "non_idempotent"
                                    for route in routes}
        await self.store.put("op", "config", {
            "version": self.versions, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"maxHeaderBytes": 16000, "maxBodyBytes": 1000000, **limits}})
        return self.versions

    def group_makes_progress(self, head):
        def is_in_group(identity):
            member = self.runners[identity]
            return (member.alive and not member.silent and member.group
                    and member.group["epoch"] == head.group["epoch"])
        return head.alive and not head.silent and head.group and all(map(is_in_group, head.members))

    def check_join(self, runner, order):
        if not runner.group or runner.group["name"] == order["group"]:
            return
        head = self.runners[runner.members[0]]
        if (head.alive and head.group and head.group["epoch"] == runner.group["epoch"]
                and head.group["state"] in ("open", "closing")):
            self.violations.append(
                f"{runner.id} joins {order['group']} while the head of its group is open")

    def check_run(self, runner, request):
        identity = request.headers.get("x-request-id", "")
        self.runs[identity] += 1
        prefix = "/" + request.path.split("/")[1] + "/"
        if self.runs[identity] > 1 and not self.idempotent_prefixes.get(prefix, True):
            self.violations.append(
                f"{identity} was executed more than once although it is not idempotent")
        if "authorization" in request.headers:
            self.violations.append(f"{identity} was forwarded with the caller's key")
        if runner.group:
            key = (runner.group["name"], runner.group["epoch"], tuple(runner.members))
            if not all((*key, member) in self.ready_members for member in runner.members):
                self.violations.append(
                    f"{identity} runs in {key}, whose members were never all ready")

    def serving(self):
        """Returns the models of the groups that serve, one entry per group."""
        return sorted(runner.model for runner in self.runners.values()
                      if runner.group and runner.group["rank"] == 0
                      and runner.group["state"] == "open" and self.group_makes_progress(runner))
