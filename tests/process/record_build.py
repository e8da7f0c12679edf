#!/usr/bin/env python3
"""Records what gateways of one build send and store, as test data for other builds.

    tests/process/record_build.py BINARY FOLDER

Runs three processes of BINARY against the platform's stand-ins, as platform_run.py does, and
writes their messages and rows into FOLDER.
"""
import base64
import http.client
import http.server
import json
import os
import pathlib
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from cluster import ROOT, wait_until  # noqa: E402
from platform_cluster import PlatformCluster, get  # noqa: E402

PORT = int(os.environ.get("CAMPHORLUG_TEST_PORT", "28500"))
FLEET = "/camphorlug/v2/fleet"
DEADLY_PART = "deadly"


class Listener(http.server.BaseHTTPRequestHandler):
    """Keeps the messages of nodes that look for others at this address."""

    requests = []

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"])).decode()
        Listener.requests.append(body)
        self.send_error(404)

    def log_message(self, *_):
        pass


def post(address, path, body):
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        connection.request("POST", path, body=json.dumps(body))
        return connection.getresponse().read().decode()
    finally:
        connection.close()


def own_message(attaches):
    status = ["probe", "east", "127.0.0.1:1", "127.0.0.1:2", 1, 1, 0.1, False, False, True]
    message = {"from": status, "seq": 1, "cfg": 0, "ent": 0, "sum": {"load": {}, "srv": False},
               "have": {}}
    return {**message, "attach": True} if attaches else message


def stored_rows(cluster):
    return {key: base64.b64decode(row["value"]).decode()
            for (table, key), row in sorted(cluster.standins.store.rows.items())
            if table == "camphorlug" and not row.get("deleted")}


def ban(cluster):
    """Lets a part of prompts crash targets until its ban is stored."""
    cluster.standins.deadly_part = DEADLY_PART
    for number in range(12):
        cluster.call("/read/x", number % 3, parts=["system", DEADLY_PART, f"own-{number}"])
        for runner in cluster.standins.runners.values():
            if not runner.alive:
                cluster.standins.run_coroutine(runner.restart())
        wait_until(lambda: cluster.call("/read/x").status == 200, "the targets are back")
        if all(gateway.state()["banned_parts"] for gateway in cluster.gateways):
            break
    cluster.standins.deadly_part = None
    wait_until(lambda: any(key.startswith("ban/") for key in stored_rows(cluster)),
               "the ban is stored")


def record(binary):
    """Returns the texts by file name."""
    listener = http.server.ThreadingHTTPServer(("127.0.0.1", PORT + 90), Listener)
    threading.Thread(target=listener.serve_forever, daemon=True).start()
    cluster = PlatformCluster(PORT, ROOT / "build" / "record-build", binary,
                              seeds=[f"127.0.0.1:{PORT + 90}"])
    try:
        cluster.wait_for_groups()
        wait_until(cluster.leader, "a node plans")
        ban(cluster)
        Listener.requests.clear()
        wait_until(lambda: Listener.requests, "a node looks for others")
        address = cluster.gateways[0].addresses["control"]
        texts = {"attach-request.json": Listener.requests[0],
                 "attach-reply.json": post(address, FLEET, own_message(True)),
                 "hub-reply.json": post(address, FLEET, own_message(False)),
                 "rows.json": json.dumps(stored_rows(cluster), indent=1)}
        for name in ("crashes", "entries"):
            texts[name + ".json"] = get(address, "/camphorlug/v1/" + name).body.decode()
        return texts
    finally:
        cluster.close()
        listener.shutdown()


def main():
    binary, folder = sys.argv[1:]
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    for name, text in record(pathlib.Path(binary)).items():
        (target / name).write_text(text + "\n")


if __name__ == "__main__":
    main()
