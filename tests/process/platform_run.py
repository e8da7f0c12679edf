"""Process tests of the gateway on the platform's stand-ins: real signals and sockets."""
import json
import pathlib
import signal
import subprocess
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from cluster import BIN, ROOT, wait_until  # noqa: E402
from platform_cluster import ROUTES, Callers, PlatformCluster, get, route  # noqa: E402

PORT = 28500
cluster = None


def setUpModule():
    global cluster
    cluster = PlatformCluster(PORT, ROOT / "build" / "platform-tests")
    cluster.wait_for_groups()


def tearDownModule():
    cluster.close()


class PlatformTest(unittest.TestCase):
    """Each test leaves three ready gateways, and no rule broken."""

    def tearDown(self):
        for gateway in cluster.gateways:
            if gateway.process.poll() is not None:
                gateway.write_settings()
                gateway.start()
        for runner in cluster.world.runners.values():
            if not runner.alive:
                cluster.world.do(runner.restart())
        cluster.wait_for_groups()
        self.assertEqual(cluster.world.broken, [])


class ServingTests(PlatformTest):
    def test_every_node_serves_every_kind_of_request(self):
        for gateway in range(3):
            for model in ("large", "small"):
                answer = cluster.call("/chat/x", gateway, model=model)
                self.assertEqual((answer.status, answer.whole), (200, True))
                self.assertEqual(answer.event_ids(), list(range(1, 21)))
            for path in ("/read/x", "/buy/x"):
                self.assertEqual(cluster.call(path, gateway).status, 200)

    def test_own_answer_is_returned_with_its_headers(self):
        answer = cluster.call("/read/x", identity="mine")
        self.assertEqual(answer.body, b"mine")
        self.assertEqual(answer.headers["X-Response-Seal"], "s")

    def test_directory_names_the_nodes_of_the_zone(self):
        found = cluster.directory(zone="east")
        self.assertEqual(set(found["addresses"]),
                         {cluster.gateways[i].addresses["http"] for i in (0, 2)})
        self.assertLessEqual(found["ttlS"], 5)

    def test_configuration_is_in_force_everywhere_within_its_bound(self):
        version = cluster.set_config(ROUTES + [route("/new/", "idempotent", "shop")])
        sent = time.monotonic()
        wait_until(lambda: all(g.state()["config"]["version"] == version
                               for g in cluster.gateways), "the version is in force")
        # The bound of the installations is 2 s; nothing here slows the store.
        self.assertLess(time.monotonic() - sent, 2)
        self.assertEqual(cluster.call("/new/x", 1).status, 200)
        cluster.set_config(ROUTES)
        wait_until(lambda: cluster.call("/new/x", 1).status == 404, "the route is gone")

    def test_caller_that_leaves_takes_its_stream_along(self):
        identity = cluster.next_id()
        thread = threading.Thread(target=self.leave_midway, args=(identity,))
        thread.start()
        thread.join()
        wait_until(lambda: identity in cluster.world.left, "the runner noticed")
        self.assertLess(cluster.world.left[identity], 200)

    @staticmethod
    def leave_midway(identity):
        import http.client
        connection = http.client.HTTPConnection(cluster.gateways[0].addresses["http"])
        connection.request("POST", "/chat/x", body="x", headers={
            "Host": "shop.example", "Authorization": "Bearer key-1", "X-Request-Id": identity,
            "X-Deadline-Ms": "8000", "X-Model": "large", "X-Token-Counts": "10,400"})
        answer = connection.getresponse()
        answer.read(10)
        connection.sock.close()
        answer.close()
        connection.close()


class FaultTests(PlatformTest):
    def test_stream_goes_on_at_another_group_when_a_member_is_lost(self):
        head = cluster.serving_head("small")
        # Whichever head has the stream, it soon is one that dies.
        timer = threading.Timer(0.5, self.kill_heads_one_by_one, ["small"])
        timer.start()
        answer = cluster.call("/chat/x", events=100, model="small")
        timer.join()
        self.assertFalse(head.alive)
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(answer.event_ids(), list(range(1, 101)))

    @staticmethod
    def kill_heads_one_by_one(model):
        heads = [runner for runner in cluster.world.runners.values()
                 if runner.model == model and runner.group and runner.group["state"] == "open"]
        # A request has three attempts: one head may stay.
        for head in heads[:2]:
            cluster.world.loop.call_soon_threadsafe(head.kill)
            time.sleep(0.5)

    def test_group_that_lost_a_member_is_replaced(self):
        head = cluster.serving_head("large")
        member = cluster.world.runners[head.members[1]]
        groups = len(cluster.world.serving())
        cluster.world.loop.call_soon_threadsafe(member.kill)
        wait_until(lambda: not member.alive, "it is dead")
        wait_until(lambda: len(cluster.world.serving()) >= groups, "all groups serve again")

    def test_another_node_plans_when_the_planner_is_killed(self):
        wait_until(cluster.leader, "a node plans")
        leader = cluster.leader()
        leader.kill()
        wait_until(lambda: cluster.leader() not in (None, leader), "another node plans")
        head = cluster.serving_head("large")
        groups = len(cluster.world.serving())
        cluster.world.loop.call_soon_threadsafe(head.kill)
        wait_until(lambda: not head.alive, "it is dead")
        wait_until(lambda: len(cluster.world.serving()) >= groups, "the group is replaced")

    def test_frozen_planner_wakes_without_harm(self):
        wait_until(cluster.leader, "a node plans")
        leader = cluster.leader()
        leader.signal(signal.SIGSTOP)
        try:
            others = [g for g in cluster.gateways if g is not leader]
            wait_until(lambda: any(g.state()["lease"]["held_here"] for g in others),
                       "another node plans")
            head = cluster.serving_head("large")
            cluster.world.loop.call_soon_threadsafe(head.kill)
        finally:
            leader.signal(signal.SIGCONT)
        wait_until(lambda: sum(g.state()["lease"]["held_here"] for g in cluster.gateways) == 1,
                   "one plans")
        self.assertEqual(cluster.call("/read/x", cluster.gateways.index(leader)).status, 200)

    def test_request_that_may_run_once_is_not_repeated(self):
        for runner in cluster.world.runners.values():
            if runner.service == "shop":
                runner.lose_answers = 2
        for _ in range(6):
            identity = cluster.next_id()
            answer = cluster.call("/buy/x", identity=identity)
            self.assertEqual(cluster.world.runs[identity], 1)
            # 429 and 503 would promise that it did not run.
            self.assertIn(answer.status, (200, 502, 504))

    def test_requests_are_served_while_the_store_is_away(self):
        cluster.world.store.down = True
        try:
            time.sleep(2)
            for gateway in range(3):
                self.assertEqual(cluster.call("/read/x", gateway).status, 200)
                self.assertEqual(cluster.call("/chat/x", gateway).status, 200)
        finally:
            cluster.world.store.down = False

    def test_all_nodes_killed_at_once_come_back(self):
        version = cluster.set_config(ROUTES)
        for gateway in cluster.gateways:
            gateway.kill()
        for gateway in cluster.gateways:
            gateway.start()
        wait_until(lambda: all(g.ready() for g in cluster.gateways), "all are ready")
        for index, gateway in enumerate(cluster.gateways):
            self.assertEqual(gateway.state()["config"]["version"], version)
            self.assertEqual(cluster.call("/read/x", index).status, 200)


class LeavingTests(PlatformTest):
    def test_leaving_node_loses_no_request(self):
        callers = Callers(cluster)
        time.sleep(0.5)
        gateway = cluster.gateways[0]
        gateway.signal(signal.SIGTERM)
        self.assertNotIn(gateway.addresses["http"], self.directory_soon())
        self.assertEqual(gateway.process.wait(15), 0)
        time.sleep(0.5)
        callers.stop()
        self.assertGreater(len(callers.answers), 50)
        self.assertEqual(callers.errors, [])
        self.assertEqual(set(callers.answers), {200})

    @staticmethod
    def directory_soon():
        time.sleep(0.3)
        return cluster.directory(gateway=2)["addresses"]

    def test_draining_runner_gets_nothing_new(self):
        runner = cluster.world.runners["s-0"]
        runner.draining = True
        cluster.world.do(runner.publish())
        time.sleep(0.5)
        before = sum(cluster.world.runs.values())
        address = runner.server.port
        for _ in range(10):
            self.assertEqual(cluster.call("/read/x").status, 200)
        self.assertEqual(sum(cluster.world.runs.values()), before + 10)
        seen = [t for t in cluster.gateways[0].state()["targets"] if t["target"] == "s-0"]
        self.assertTrue(seen[0]["draining"], address)
        runner.draining = False
        cluster.world.do(runner.publish())


class OperatorTests(PlatformTest):
    def change_settings(self, gateway, **changes):
        before = len(gateway.lines("settings_reloaded")) + len(gateway.lines("settings_refused"))
        gateway.write_settings(**changes)
        gateway.signal(signal.SIGHUP)
        wait_until(lambda: len(gateway.lines("settings_reloaded")) +
                   len(gateway.lines("settings_refused")) > before, "the change is judged")

    def test_changed_settings_are_taken_whole_or_refused_whole(self):
        gateway = cluster.gateways[1]
        good = {"graceS": 6, "retryRatio": 0.1, "retryWindowS": 10, "retrySlack": 7}
        self.change_settings(gateway, policyParams=good)
        self.assertEqual(gateway.lines("settings_reloaded")[-1]["grace_ms"], "6000")
        refusals = [({"policyParams": {**good, "graceS": "soon"}}, "policyParams.graceS"),
                    ({"zone": "north"}, "zone"),
                    ({"listen": {**gateway.addresses, "http": "127.0.0.1:1"}}, "listen.http")]
        for changes, field in refusals:
            reloads = len(gateway.lines("settings_reloaded"))
            self.change_settings(gateway, **changes)
            self.assertIn(field, gateway.lines("settings_refused")[-1]["error"])
            self.assertEqual(len(gateway.lines("settings_reloaded")), reloads)
        self.change_settings(gateway)
        self.assertEqual(cluster.call("/read/x", 1).status, 200)

    def test_settings_that_change_without_a_signal_are_noticed(self):
        gateway = cluster.gateways[1]
        before = len(gateway.lines("settings_reloaded"))
        gateway.write_settings(later={"field": 1})
        wait_until(lambda: len(gateway.lines("settings_reloaded")) > before, "it was read again")
        gateway.write_settings()
        wait_until(lambda: len(gateway.lines("settings_reloaded")) > before + 1, "and again")

    def test_faulty_settings_end_the_start_with_one_line(self):
        faulty = cluster.folder / "faulty.yaml"
        faulty.write_text("nodeName: x\nzone: [1]\n")
        ended = subprocess.run([str(BIN / "camphorlug-gateway"), f"--settings={faulty}"],
                               capture_output=True, text=True)
        self.assertEqual(ended.returncode, 2)
        self.assertEqual(len(ended.stderr.splitlines()), 1)
        self.assertIn("expected", ended.stderr)

    def test_command_line_shows_what_is_in_force(self):
        cluster.call("/read/x")
        overview = cluster.ctl("edge")
        self.assertEqual(overview.returncode, 0, overview.stderr)
        self.assertIn("groups serve", overview.stdout.replace("\n  ", " "))
        for part, text in [("routes", "/read/"), ("groups", "large"), ("targets", "s-0"),
                           ("peers", "edge-1"), ("retries", "requests")]:
            shown = cluster.ctl("edge", part)
            self.assertEqual(shown.returncode, 0)
            self.assertIn(text, shown.stdout)
            self.assertLessEqual(max(map(len, shown.stdout.splitlines())), 60, part)
            self.assertTrue(json.loads(cluster.ctl("edge", part, "--json").stdout), part)
        self.assertEqual(cluster.ctl("edge", "nothing").returncode, 2)

    def test_request_is_explained_from_the_logs(self):
        identity = cluster.next_id()
        for runner in cluster.world.runners.values():
            if runner.service == "shop":
                runner.lose_answers = 1
        cluster.call("/buy/x", identity=identity)
        wait_until(lambda: any(line.get("request") == identity
                               for line in cluster.gateways[0].lines("request")), "it is logged")
        logs = "".join(gateway.log.read_text() for gateway in cluster.gateways)
        told = cluster.ctl("explain", identity, text=logs)
        self.assertEqual(told.returncode, 0, told.stdout)
        story = " ".join(told.stdout.split())
        self.assertIn("unknown on route /buy/", story)
        self.assertIn("Sending 1 went to s-", story)
        self.assertEqual(cluster.ctl("explain", "nobody", text=logs).returncode, 1)

    def test_metrics_are_served(self):
        cluster.call("/read/x")
        answer = get(f"127.0.0.1:{cluster.gateways[0].metrics_port}", "/metrics")
        self.assertIn(b"camphorlug_gateway_requests_total", answer.body)


if __name__ == "__main__":
    unittest.main(verbosity=2)
