#!/usr/bin/env python3
"""Process tests that replace nodes of an earlier build by this one and back, under traffic.

    tests/process/upgrade_run.py --old=BINARY

BINARY is the `camphorlug-gateway` of the earlier build, made from the repository's history.
"""
import argparse
import os
import pathlib
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from cluster import BIN, ROOT, wait_until  # noqa: E402
from platform_cluster import ROUTES, PlatformCluster, route  # noqa: E402

PORT = int(os.environ.get("CAMPHORLUG_TEST_PORT", "28500"))
NEW = BIN / "camphorlug-gateway"
OLD = None
DEADLY_PART = "deadly"


class MixedCallers:
    """Threads that send requests of all kinds to the nodes that the directory names."""

    KINDS = ["/read/x", "/buy/x", "/chat/x"]
    EVENTS = 40

    def __init__(self, cluster, threads=6):
        self.cluster = cluster
        self.ended = threading.Event()
        self.served = 0
        # By processes of the earlier build that had just started, which name themselves.
        self.refused_by_old = 0
        self.failures = []
        self.purchases = []
        self.refused = []
        self.threads = [threading.Thread(target=self.run, args=(number,))
                        for number in range(threads)]
        for thread in self.threads:
            thread.start()

    def find_addresses(self, number):
        for offset in range(3):
            try:
                found = self.cluster.directory(gateway=(number + offset) % 3)
            except (OSError, ValueError):
                continue  # this node is being replaced
            if found["addresses"]:
                return found["addresses"], time.monotonic() + found["ttlS"]
        return [], 0

    def run(self, number):
        addresses, known_until, turn = [], 0, number
        while not self.ended.is_set():
            if time.monotonic() > known_until:
                addresses, known_until = self.find_addresses(turn)
            if not addresses:
                self.failures.append("no node answers for the directory")
                continue
            turn += 1
            self.send(self.KINDS[turn % 3], addresses[turn % len(addresses)],
                      "large" if turn % 2 else "small")

    def send(self, path, address, model):
        identity = self.cluster.next_id()
        try:
            response = self.cluster.call(path, address=address, identity=identity, model=model,
                                         events=self.EVENTS)
        except OSError as error:
            self.failures.append(f"{path} {address} {identity}: {error}")
            return
        if self.is_refusal_of_starting_old_node(address, response):
            self.refused_by_old += 1
            self.refused.append(identity)
            # As callers do: not run, so that they return after the time that they were told.
            time.sleep(float(response.headers["Retry-After"]))
            self.send(path, address, model)
            return
        whole = response.whole and (path != "/chat/x" or response.event_ids() ==
                                    list(range(1, self.EVENTS + 1)))
        if response.status == 200 and whole:
            self.served += 1
            if path == "/buy/x":
                self.purchases.append(identity)
        else:
            self.failures.append(f"{path} {address} {identity}: {response.status} "
                                 f"{'whole' if whole else 'cut short'} {response.body[-200:]}")

    def is_refusal_of_starting_old_node(self, address, response):
        node = next(each for each in self.cluster.gateways if each.addresses["http"] == address)
        return (node.binary == OLD and response.status == 503
                and response.body == b"no configuration is known yet\n")

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()


class PlannerWatch:
    """Counts the moments in which two nodes say at once that they plan."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.ended = threading.Event()
        self.samples = 0
        self.doubles = []
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def planners(self):
        found = []
        for gateway in self.cluster.gateways:
            try:
                if gateway.state()["lease"]["held_here"]:
                    found.append(gateway.index)
            except (OSError, ValueError):
                continue  # this node is being replaced
        return found

    def run(self):
        while not self.ended.is_set():
            self.samples += 1
            planners = self.planners()
            # The lease may have passed on between the two answers.
            if len(planners) > 1 and self.planners() == planners:
                self.doubles.append((time.monotonic(), planners))
            self.ended.wait(0.05)

    def stop(self):
        self.ended.set()
        self.thread.join()


class UpgradeTest(unittest.TestCase):
    # Ports of one cluster; the stand-ins of earlier tests keep theirs.
    PORTS = 200
    clusters = 0

    def setUp(self):
        port = PORT + self.PORTS * UpgradeTest.clusters
        UpgradeTest.clusters += 1
        self.cluster = PlatformCluster(port, ROOT / "build" / "upgrade-tests", OLD)
        self.addCleanup(self.cluster.close)
        self.cluster.wait_for_groups()

    def replace(self, gateway, binary):
        gateway.signal(signal.SIGTERM)
        self.assertEqual(gateway.process.wait(15), 0)
        gateway.binary = binary
        gateway.start()
        wait_until(gateway.ready, "the new process is ready")
        self.cluster.wait_for_groups()

    def check_configuration(self, number):
        """A change is active on nodes of both builds in time."""
        cluster = self.cluster
        version = cluster.set_config(ROUTES + [route(f"/new-{number}/", "idempotent", "shop")])
        sent = time.monotonic()
        wait_until(lambda: all(gateway.state()["config"]["version"] == version
                               for gateway in cluster.gateways), "the version is active")
        self.assertLess(time.monotonic() - sent, 2)

    def lose_a_head(self):
        """The planner replaces a group, whichever build it is."""
        cluster = self.cluster
        groups = len(cluster.standins.serving())
        head = cluster.serving_head("large")
        cluster.standins.loop.call_soon_threadsafe(head.kill)
        wait_until(lambda: not head.alive, "the runner is stopped")
        wait_until(lambda: len(cluster.standins.serving()) >= groups, "the group is replaced")
        cluster.standins.run_coroutine(head.restart())
        cluster.wait_for_groups()

    def play(self, disturb):
        cluster = self.cluster
        callers, watch = MixedCallers(cluster), PlannerWatch(cluster)
        try:
            for binary in (NEW, OLD):
                for number, gateway in enumerate(cluster.gateways):
                    self.replace(gateway, binary)
                    disturb(number)
                    time.sleep(1)
        finally:
            callers.stop()
            watch.stop()
        print(f"{callers.served} requests served, {len(callers.failures)} failed, "
              f"{callers.refused_by_old} refused by the earlier build at its start, {watch.samples} looks at the planner", flush=True)
        self.assertEqual(callers.failures, [])
        self.assertEqual([each for each in callers.purchases
                          if cluster.standins.runs[each] != 1], [])
        self.assertEqual([each for each in callers.refused if cluster.standins.runs[each]], [])
        self.assertEqual(watch.doubles, [])
        self.assertEqual(cluster.standins.violations, [])
        wait_until(lambda: len(watch.planners()) == 1, "one node plans")

    def test_callers_are_served_while_nodes_are_replaced(self):
        self.play(lambda number: None)

    def test_configuration_changes_reach_nodes_of_both_builds(self):
        self.play(self.check_configuration)

    def test_groups_are_repaired_while_nodes_are_replaced(self):
        self.play(lambda number: self.lose_a_head())

    def test_ban_holds_on_nodes_of_both_builds(self):
        cluster = self.cluster
        cluster.standins.deadly_part = DEADLY_PART
        parts = ["system", "topic", DEADLY_PART, "own"]
        for number in range(12):
            cluster.call("/read/x", number % 3, parts=parts)
            for runner in cluster.standins.runners.values():
                if not runner.alive:
                    cluster.standins.run_coroutine(runner.restart())
            wait_until(lambda: cluster.call("/read/x").status == 200, "the targets are back")
            if all(gateway.state()["banned_parts"] for gateway in cluster.gateways):
                break
        for binary in (NEW, OLD):
            for gateway in cluster.gateways:
                self.replace(gateway, binary)
                for index in range(3):
                    response = cluster.call("/read/x", index, parts=parts)
                    self.assertEqual(response.status, 503)
                    self.assertIn("Retry-After", response.headers)
        self.assertTrue(all(runner.alive for runner in cluster.standins.runners.values()))

    def test_operators_tool_shows_nodes_of_both_builds(self):
        self.replace(self.cluster.gateways[1], NEW)
        for index in range(3):
            shown = self.cluster.ctl("edge", gateway=index)
            self.assertEqual(shown.returncode, 0, shown.stderr)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", type=pathlib.Path, required=True)
    options, rest = parser.parse_known_args()
    OLD = options.old.resolve()
    unittest.main(argv=[sys.argv[0], *rest], verbosity=2)
