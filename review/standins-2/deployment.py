"""Starts gateways with the deploy file's command beside stand-ins of the platform.

Each gateway is a separate process on a loopback address of its own. The store and the runners are
the project's own stand-ins (tests/process/platform_standins.py), extended where a case needs it.
"""
import atexit
import http.client
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "process"))
import platform_standins  # noqa: E402

HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
CONTACT_S = 3.0
RECOVERY_S = 12.0
MAX_FDS = 4200
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text, echo=False):
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()
        if echo:
            print(line, flush=True)


def free_port_block(count):
    """Returns the first of `count` free neighbouring ports below 32000."""
    for _ in range(50):
        first = random.randrange(20000, 31000)
        sockets = []
        try:
            for port in range(first, first + count):
                tried = socket.socket()
                sockets.append(tried)
                tried.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
    raise CannotRun("no block of free ports")


def free_network(count):
    """Returns a prefix like 127.5.7 whose addresses have the gateways' ports free."""
    for _ in range(50):
        prefix = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
        sockets = []
        try:
            for number in range(1, count + 1):
                for port in (8227, 8220, 8229, 8224, 9464):
                    tried = socket.socket()
                    sockets.append(tried)
                    tried.bind((f"{prefix}.{number}", port))
            return prefix
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
    raise CannotRun("no free loopback addresses")


def gateway_command():
    """The command of the deploy file, which runs in the root of the repository."""
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        words = tomllib.load(file)["roles"]["edge"]["run"].split()
    if not (ROOT / words[0]).exists():
        raise CannotRun(f"{words[0]} is missing: run the build of the deploy file first")
    return words


class Gateway:
    def __init__(self, deployment, number, zone):
        self.deployment = deployment
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.ip = f"{deployment.network}.{number}"
        self.addresses = {"http": f"{self.ip}:8227", "readiness": f"{self.ip}:8220",
                          "control": f"{self.ip}:8229", "directory": f"{self.ip}:8224"}
        self.settings = deployment.folder / f"{self.name}.yaml"
        self.log = deployment.folder / f"{self.name}.log"
        self.process = None

    def write_settings(self, seeds, bootstrap):
        deployment = self.deployment
        zones = {zone: "kingston" for zone in deployment.zones}
        settings = {
            "nodeName": self.name, "role": "edge", "machineClass": "edge",
            "serves": ["edge", "control", "directory"], "ip": self.ip, "zone": self.zone,
            "region": "kingston", "zones": zones, "listen": self.addresses,
            "portRange": [7340, 7355], "seeds": seeds, "bootstrap": bootstrap,
            "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cpus": 1, "memoryMb": 260, "maxFds": MAX_FDS,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
            "policies": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                         "tenants", "platform", "gangs"],
            "faultBudget": {"nodes": 1, "zones": 0, "regions": 0},
            "policyParams": {"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000,
                             "syncS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
                             "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
                             "strictRevoke": False, "revokeMs": 5000, "retryRatio": 0.2,
                             "retryWindowS": 10, "retrySlack": 103, "recoveryS": 12,
                             "passMs": 120, "retryAfterS": 0, "stallMs": 6000,
                             "requireFence": True, "ceilingWindowS": 5, "ceilingOver": 1.1,
                             "ttl_max_s": 5},
            "provider": {"address": f"127.0.0.1:{deployment.port}", "form": "table",
                         "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0, "partWritesS": 200,
                         "rowBytes": 65536, "across": False, "historyS": 20,
                         "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0}}
        # JSON is valid YAML.
        self.settings.write_text(json.dumps(settings))

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CAMPHORLUG_NODE_FILE"] = str(self.settings)

        def limit_descriptors():
            # `limits.maxFds` of the settings, which the platform enforces.
            resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))

        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                gateway_command(), cwd=ROOT, env=environment, stdout=log,
                stderr=subprocess.STDOUT, preexec_fn=limit_descriptors)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def is_ready(self):
        try:
            return get(self.addresses["readiness"], "/api/readyz", 2)[0] == 200
        except OSError:
            return False

    def state(self):
        return json.loads(get(self.addresses["control"], "/camphorlug/v1/state", 5)[1])


def get(address, path, timeout):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def resolve(gateway, zone):
    """The addresses that the directory of a gateway names."""
    path = f"/api/resolve?name={HOST}&region=kingston&zone={zone}"
    return json.loads(get(gateway.addresses["directory"], path, 1)[1])["addresses"]


class Deployment:
    """Gateways, a store and runners; `close` ends all that was started."""

    def __init__(self, record, gateways, runners, standins=platform_standins.PlatformStandins):
        resource.setrlimit(resource.RLIMIT_NOFILE,
                           (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="camphorlug-case-"))
        self.gateways = []
        atexit.register(self.close)
        self.zones = ["hall-a", "hall-b", "hall-c"]
        self.port = free_port_block(runners + 1)
        self.network = free_network(gateways)
        self.standins = standins(self.port)
        for number in range(gateways):
            zone = self.zones[number % len(self.zones)]
            self.gateways.append(Gateway(self, number + 1, zone))

    def run(self, coroutine):
        return self.standins.run_coroutine(coroutine)

    def start_gateways(self, bootstrap):
        seeds = [each.addresses["control"] for each in self.gateways[:3]]
        for each in self.gateways:
            each.write_settings(seeds, bootstrap)
            each.start()
        self.record(f"{len(self.gateways)} gateways started")

    def wait_until(self, condition, what, limit_s=40):
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"not within {limit_s} s: {what}")
            time.sleep(0.1)
        self.record(what)

    def wait_until_ready(self):
        self.wait_until(lambda: all(each.is_ready() for each in self.gateways),
                        "all gateways are ready")

    def close(self):
        for each in self.gateways:
            each.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case):
    """Runs `case(record)`, which returns whether the rule held, and exits with its result."""
    # A case that is stopped from outside still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    record = Record(pathlib.Path(folder) / "record.txt")
    record(f"trouble: {with_trouble()}")
    try:
        held = case(record)
    except CannotRun as reason:
        record(f"cannot run: {reason}", echo=True)
        sys.exit(CANNOT_RUN)
    except Exception as error:  # a fault of the case itself says nothing about the rule
        record(f"cannot run: {error!r}", echo=True)
        sys.exit(CANNOT_RUN)
    record("the rule held" if held else "THE RULE WAS BROKEN", echo=True)
    sys.exit(HELD if held else BROKEN)
