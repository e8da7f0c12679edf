"""Starts the demo's processes and gives the process tests access to them."""
import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BIN = ROOT / "build" / "default" / "bin"
FOLDER = ROOT / "build" / "process-tests"
TOPOLOGY = FOLDER / "topology.json"
WAIT_LIMIT_S = 60
PORT_BASE = "28000"


class Response:
    """A complete HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def outcome(self):
        return self.headers.get("Camphorlug-Outcome", "")

    def json(self):
        return json.loads(self.body)


def http_request(address, method, path, body=None, headers=None, timeout=60):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Response(response.status, dict(response.getheaders()), response.read().decode())
    finally:
        connection.close()


def wait_until(condition, description):
    deadline = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"condition not met within {WAIT_LIMIT_S} s: {description}")
        time.sleep(0.1)


def join_content(events):
    return "".join(event["choices"][0].get("delta", {}).get("content", "") for event in events)


class Stream:
    """A streamed response that is read event by event."""

    def __init__(self, address, path, body, headers):
        self.connection = http.client.HTTPConnection(address, timeout=60)
        self.connection.request("POST", path, json.dumps(body), headers)
        self.response = self.connection.getresponse()
        self.status = self.response.status
        self.events = []
        self.last_id = ""
        self.done = False

    def next(self):
        """Reads one event. Returns False at the end of the stream."""
        while True:
            line = self.response.readline().decode()
            if not line:
                return False
            line = line.rstrip("\n")
            if line.startswith("id: "):
                self.last_id = line[4:]
            if line == "data: [DONE]":
                self.done = True
                return False
            if line.startswith("data: "):
                self.events.append(json.loads(line[6:]))
                return True

    def read(self, count):
        for _ in range(count):
            self.next()

    def read_to_end(self):
        while self.next():
            pass
        self.close()
        return self

    def close(self):
        self.response.close()
        self.connection.close()

    @property
    def text(self):
        return join_content(event for event in self.events if "choices" in event)


class Cluster:
    """Starts and stops the demo, sends requests to it and injects faults."""

    def up(self):
        self.run_demo("up")
        self.topology = json.loads(TOPOLOGY.read_text())
        self.model = self.topology["services"]["model"]
        self.plain = self.topology["services"]["plain"]

    def down(self):
        self.run_demo("down")

    @staticmethod
    def run_demo(command):
        environment = dict(os.environ, CAMPHORLUG_DEMO_PORT=PORT_BASE,
                           CAMPHORLUG_DEMO_FOLDER=str(FOLDER))
        subprocess.run([str(ROOT / "scripts" / "demo"), command], check=True, env=environment,
                       stdout=subprocess.DEVNULL)

    def node(self, index=0):
        return self.topology["nodes"][index]

    def target(self, target_id):
        return next(each for each in self.topology["targets"] if each["id"] == target_id)

    def plain_targets(self):
        return [each for each in self.topology["targets"] if each["service"] == self.plain]

    def headers(self, organisation="north-parish", **more):
        key = self.topology["keys"]["organisations"][organisation]
        return {"Authorization": f"Bearer {key}", **more}

    def chat_body(self, prompt, tokens, stream=True):
        return {"stream": stream, "max_tokens": tokens,
                "messages": [{"role": "user", "content": prompt}]}

    def stream(self, prompt, tokens, node=0, **headers):
        return Stream(self.node(node)["address"], f"/services/{self.model}/v1/chat/completions",
                      self.chat_body(prompt, tokens), self.headers(**headers))

    def call_plain(self, path, body="", node=0, **headers):
        return http_request(self.node(node)["address"], "POST", f"/services/{self.plain}{path}",
                            body, self.headers(**headers))

    def operator(self, path, node=0, method="GET", body=None):
        headers = {"Authorization": f"Bearer {self.topology['keys']['operator']}"}
        return http_request(self.node(node)["operator_address"], method,
                            f"/operator/v1/{path}", body, headers).json()

    def groups(self, node=0):
        return self.operator("groups", node)["groups"]

    def routable_groups(self, node=0):
        return [group for group in self.groups(node) if not group["obstacle"]]

    def leader_of(self, group_id, node=0):
        group = next(each for each in self.groups(node) if each["group"] == group_id)
        return self.target(group["members"][0])

    def inject_fault(self, target, kind, **parameters):
        body = json.dumps({"fault": kind, **parameters})
        try:
            http_request(target["fault_address"], "POST", "/faults", body)
        except (ConnectionError, http.client.HTTPException):
            pass  # a target that exits or freezes does not respond

    def clear_faults(self, target):
        http_request(target["fault_address"], "DELETE", "/faults")

    def log(self, target):
        return http_request(target["fault_address"], "GET", "/log").json()

    def executions(self, body_hash):
        return sum(1 for target in self.plain_targets() for entry in self.log(target)
                   if entry["body_sha256"] == body_hash)

    def signal(self, process, number=signal.SIGKILL):
        os.kill(process["pid"], number)

    def load(self, seconds, rate_per_minute, tokens=20, entries=None):
        addresses = entries or [each["address"] for each in self.topology["nodes"]]
        plan = f"""entries = {json.dumps(addresses)}
service = "{self.model}"
seconds = {seconds}
seed = 1
[[caller]]
organisation = "north-parish"
key = "{self.topology['keys']['organisations']['north-parish']}"
class = "standard"
rate_per_minute = {rate_per_minute}
tokens = {tokens}
"""
        file = tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False)
        file.write(plan)
        file.close()
        return subprocess.Popen([str(BIN / "camphorlug-load"), f"--plan={file.name}", "--json"],
                                stdout=subprocess.PIPE, text=True)

    def ctl(self, *arguments, node=0):
        environment = dict(os.environ, CAMPHORLUG_KEY=self.topology["keys"]["operator"])
        return subprocess.run(
            [str(BIN / "camphorlugctl"), *arguments,
             f"--node={self.node(node)['operator_address']}"],
            capture_output=True, text=True, env=environment, cwd=tempfile.gettempdir())
