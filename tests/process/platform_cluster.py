"""Runs gateway processes against the stand-ins of the platform."""
import http.client
import json
import os
import socket
import subprocess
import threading
import time

from cluster import BIN, wait_until
from platform_standins import PlatformStandins

KEY = "key-1"
HOST = "shop.example"
ZONES = ["east", "west", "east"]
ENGINE = {"batchSlots": 8, "loadsPerS": 50, "loads_at_once": 8, "models": [
    {"name": "large", "size": 2, "share": 0.5, "pace": 1, "loadS": 0.3, "warmS": 0.1},
    {"name": "small", "size": 1, "share": 0.5, "pace": 1, "loadS": 0.3, "warmS": 0.1}]}


def route(prefix, kind, service, **more):
    return {"name": prefix, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 8000,
            "goalMs": 1000, "gapTargetMs": 300, "attempts": 3, "backend": service, **more}


ROUTES = [route("/chat/", "stream", "engines", resumeStreams=True),
          route("/draft/", "stream", "engines"),
          route("/read/", "idempotent", "shop"), route("/buy/", "non_idempotent", "shop")]
SERVICES = [{"name": "engines", "healthPath": "/h", "engine": ENGINE},
            {"name": "shop", "healthPath": "/h"}]
TENANTS = [{"name": "org", "apiKeys": [KEY]}]


class Response:
    """A complete response, or the part received before the connection closed."""

    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    def event_ids(self):
        return [int(line[4:]) for line in self.body.decode().split("\n")
                if line.startswith("id: ")]


class Gateway:
    """One gateway process."""

    def __init__(self, cluster, index, binary=BIN / "camphorlug-gateway", seeds=()):
        self.cluster = cluster
        self.index = index
        base = cluster.port + 100 + 10 * index
        self.addresses = {name: f"127.0.0.1:{base + offset}" for offset, name in
                          enumerate(["http", "readiness", "control", "directory"])}
        self.metrics_port = base + 5
        self.settings = cluster.folder / f"edge-{index}.yaml"
        self.log = cluster.folder / f"edge-{index}.log"
        self.process = None
        # Another build's in tests of replacements.
        self.binary = binary
        self.seeds = list(seeds)

    def write_settings(self, **changes):
        settings = {
            "nodeName": f"edge-{self.index}", "zone": ZONES[self.index % len(ZONES)], "ip": "127.0.0.1",
            "listen": self.addresses,
            "seeds": [self.cluster.gateways[0].addresses["control"], *self.seeds],
            "policyParams": {"graceS": 8, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 100,
                             "ttl_max_s": 5},
            "provider": {"address": f"127.0.0.1:{self.cluster.port}"}, **changes}
        # JSON is valid YAML. The rename is atomic, so no reader sees a partial file.
        fresh = self.settings.with_suffix(".new")
        fresh.write_text(json.dumps(settings))
        fresh.rename(self.settings)

    def start(self):
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                [str(self.binary), f"--settings={self.settings}",
                 f"--metrics_port={self.metrics_port}"], stdout=log, stderr=subprocess.STDOUT)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def ready(self):
        try:
            return get(self.addresses["readiness"], "/api/readyz").status == 200
        except OSError:
            return False

    def state(self):
        return json.loads(get(self.addresses["control"], "/camphorlug/v1/state").body)

    def log_lines(self, event):
        lines = []
        for line in self.log.read_text().splitlines():
            if f'"event":"{event}"' in line:
                lines.append(json.loads(line))
        return lines


def get(address, path, headers=None):
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        connection.request("GET", path, headers=headers or {})
        response = connection.getresponse()
        return Response(response.status, dict(response.getheaders()), response.read(), True)
    finally:
        connection.close()


class PlatformCluster:
    """Three gateways, ten engine instances in two domains and two plain instances."""

    def __init__(self, port, folder, binary=BIN / "camphorlug-gateway", seeds=()):
        self.port = port
        self.folder = folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.requests = 0
        self.lock = threading.Lock()
        self.standins = PlatformStandins(port)
        for number in range(10):
            self.standins.run_coroutine(
                self.standins.add_runner(f"i-{number}", "engines", f"d{number // 5}"))
        for number in range(2):
            self.standins.run_coroutine(self.standins.add_runner(f"s-{number}", "shop"))
        self.set_config(ROUTES)
        self.gateways = []
        for index in range(3):
            self.gateways.append(Gateway(self, index, binary, seeds))
        for gateway in self.gateways:
            gateway.log.unlink(missing_ok=True)
            gateway.write_settings()
            gateway.start()

    def set_config(self, routes, **limits):
        return self.standins.run_coroutine(
            self.standins.set_config(routes, SERVICES, TENANTS, **limits))

    def close(self):
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.kill()

    def wait_for_groups(self):
        wait_until(lambda: set(self.standins.serving()) == {"large", "small"}, "both models serve")
        wait_until(lambda: all(gateway.ready() for gateway in self.gateways),
                   "all gateways are ready")
        wait_until(lambda: all(len(gateway.state()["groups"]) >= 2 for gateway in self.gateways),
                   "all gateways know the groups")

    def next_id(self):
        with self.lock:
            self.requests += 1
            return f"r{os.getpid()}-{self.requests}"

    def call(self, path, gateway=0, events=20, model="large", identity=None, limit_ms=8000,
             address=None, parts=None, key=KEY):
        """Sends a request. `whole` of the response is False if the connection closed early."""
        connection = http.client.HTTPConnection(
            address or self.gateways[gateway].addresses["http"], timeout=15)
        identity = identity or self.next_id()
        headers = {"Host": HOST, "Authorization": f"Bearer {key}", "X-Deadline-Ms": str(limit_ms),
                   "X-Request-Id": identity}
        if path.startswith(("/chat/", "/draft/")):
            headers.update({"X-Model": model, "X-Token-Counts": f"10,{events}"})
        if parts:
            headers["X-Prefix-Hash"] = ",".join(f"{part}:100" for part in parts)
        try:
            # Requests with equal bodies count as the same one, which can be banned as a whole.
            connection.request("POST", path, body=identity, headers=headers)
            response = connection.getresponse()
            try:
                return Response(response.status, dict(response.getheaders()), response.read(), True)
            except (http.client.IncompleteRead, ConnectionError) as error:
                part = getattr(error, "partial", b"")
                return Response(response.status, dict(response.getheaders()), part, False)
        finally:
            connection.close()

    def open_slow_reader(self, path, gateway=0, body=b"x", announced=None):
        """Sends a request on a connection with a small receive buffer and reads nothing.

        With `announced`, the body goes on after `body` up to so many bytes.
        """
        host, port = self.gateways[gateway].addresses["http"].split(":")
        reader = socket.socket()
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        reader.settimeout(10)
        reader.connect((host, int(port)))
        reader.sendall(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
                       f"X-Deadline-Ms: 6000\r\nX-Request-Id: {self.next_id()}\r\n"
                       f"Content-Length: {announced or len(body)}\r\n\r\n".encode() + body)
        return reader

    @staticmethod
    def read_all(reader, size):
        """Reads until `size` bytes or the end; returns the number of bytes."""
        received = 0
        with reader:
            while received < size:
                data = reader.recv(1 << 20)
                if not data:
                    break
                received += len(data)
        return received

    def directory(self, gateway=0, zone="east"):
        response = get(self.gateways[gateway].addresses["directory"],
                       f"/api/resolve?name={HOST}&region=r&zone={zone}")
        return json.loads(response.body)

    def leader(self):
        return next((gateway for gateway in self.gateways
                     if gateway.process.poll() is None and gateway.ready()
                     and gateway.state()["lease"]["held_here"]), None)

    def serving_head(self, model):
        return next(runner for runner in self.standins.runners.values()
                    if runner.model == model and runner.group and runner.group["rank"] == 0
                    and runner.group["state"] == "open" and runner.alive)

    def ctl(self, *arguments, text=None, gateway=0):
        return subprocess.run(
            [str(BIN / "camphorlugctl"), *arguments,
             f"--node={self.gateways[gateway].addresses['control']}"],
            capture_output=True, text=True, input=text)


class BackgroundCallers:
    """Threads that continuously query the directory and send plain requests."""

    def __init__(self, cluster, threads=3):
        self.cluster = cluster
        self.ended = threading.Event()
        self.statuses = []
        self.errors = []
        self.threads = [threading.Thread(target=self.run) for _ in range(threads)]
        for thread in self.threads:
            thread.start()

    def run(self):
        addresses, known_until, turn = [], 0, 0
        while not self.ended.is_set():
            if time.monotonic() > known_until:
                found = self.cluster.directory(gateway=2)
                addresses = found["addresses"]
                known_until = time.monotonic() + min(found["ttlS"], 5)
            turn += 1
            try:
                self.statuses.append(self.cluster.call(
                    "/read/x", address=addresses[turn % len(addresses)]).status)
            except OSError as error:
                self.errors.append(error)

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()
