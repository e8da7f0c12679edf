"""Callers on kept connections, and the record of their calls."""
import dataclasses
import http.client
import random
import select
import socket
import threading
import time

from platform_cluster import HOST, KEY

# A call without any answer this long after its own time limit counts as hung.
HANG_S = 6
# Every fourth caller reads slowly: it takes long answers, through a small buffer, after a pause.
SLOW_READERS = 4
# It goes past the proxy, whose buffers would take the answer in its place.
SLOW_READER_BUFFER = 65536
SLOW_READER_BYTES = 8_000_000


@dataclasses.dataclass
class Call:
    """One request and what its caller saw of it."""
    identity: str
    path: str
    gateway: int
    limit_s: float
    events: int
    sent: float
    reused: bool
    ended: float = 0
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    error: str = ""

    @property
    def prefix(self):
        return "/" + self.path.split("/")[1] + "/"

    @property
    def is_stream(self):
        return self.prefix in ("/chat/", "/talk/")


class Caller:
    """One thread that sends one request after the other on a connection that it keeps."""

    def __init__(self, cluster, index, seed):
        self.cluster = cluster
        self.index = index
        self.random = random.Random(f"{seed}/caller/{index}")
        self.is_slow = index % SLOW_READERS == SLOW_READERS - 1
        self.connection = None
        self.gateway = index % len(cluster.gateways)
        self.calls = []
        self.count = 0
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self):
        while not self.ended.is_set():
            if not self.connect():
                self.gateway = self.random.randrange(len(self.cluster.gateways))
                time.sleep(0.05)
                continue
            call = self.call()
            if call.status == 503 or not call.whole:
                time.sleep(0.1)

    def connect(self):
        """Keeps the open connection, or opens one. Returns False if there is none."""
        if self.connection is not None:
            if not select.select([self.connection.sock], [], [], 0)[0]:
                return True
            self.read_between_calls()
            self.close()
        try:
            link = self.cluster.links[f"edge-{self.gateway}"]
            port = link.target_port if self.is_slow else link.port
            self.connection = http.client.HTTPConnection("127.0.0.1", port)
            self.connection.sock = socket.socket()
            if self.is_slow:
                self.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                                SLOW_READER_BUFFER)
            self.connection.sock.settimeout(10)
            self.connection.sock.connect(("127.0.0.1", port))
            self.connection.used = False
            return True
        except OSError:
            self.close()
            return False

    def read_between_calls(self):
        try:
            data = self.connection.sock.recv(1000)
        except OSError:
            return
        if data:
            self.cluster.record.violations.append(
                f"caller {self.index}: bytes on an idle connection: {data[:80]}")

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def draw_path(self):
        prefix = self.random.choices(
            ["/chat/", "/talk/", "/read/", "/buy/", "/move/", "/gen/"], [40, 10, 20, 15, 8, 7])[0]
        if prefix in ("/chat/", "/talk/"):
            return prefix + "x"
        if prefix == "/gen/":
            newest = self.cluster.configs[-1].index
            prefix = f"/gen-{max(0, newest - self.random.randrange(5))}/"
        work_ms = self.random.choice([0, 20, 20, 100, 500])
        size = self.random.choice([10, 10, 1000, 200_000])
        if self.is_slow:
            size = SLOW_READER_BYTES
        return f"{prefix}{work_ms}-{size}"

    def call(self):
        self.count += 1
        call = Call(f"c{self.index}-{self.count}", self.draw_path(), self.gateway,
                    self.random.choice([3, 6, 6]), self.random.choice([5, 20, 60, 120]),
                    time.monotonic(), self.connection.used)
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": call.identity,
                   "X-Deadline-Ms": str(int(call.limit_s * 1000))}
        if call.is_stream:
            headers.update({"X-Model": self.random.choice(["large", "small"]),
                            "X-Token-Counts": f"10,{call.events}"})
        try:
            self.connection.sock.settimeout(call.limit_s + HANG_S)
            self.connection.request("POST", call.path, body="x", headers=headers)
            self.connection.used = True
            response = self.connection.getresponse()
            call.status, call.headers = response.status, dict(response.getheaders())
            if self.is_slow:
                time.sleep(self.random.uniform(0, 4))
            call.body = response.read()
            call.whole = True
        except TimeoutError:
            call.error = "hung"
        except (OSError, http.client.HTTPException) as error:
            call.error = repr(error)
            call.body = getattr(error, "partial", b"")
        call.ended = time.monotonic()
        self.calls.append(call)
        if not call.whole or response.will_close:
            self.close()
            self.gateway = self.random.randrange(len(self.cluster.gateways))
        return call
