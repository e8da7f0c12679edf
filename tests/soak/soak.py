"""Plays one seed of the soak and prints one line with what was seen."""
import argparse
import collections
import os
import pathlib
import shutil
import sys
import time

sys.dont_write_bytecode = True
HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent / "process")]
from callers import Caller  # noqa: E402
from checks import Checker  # noqa: E402
from cluster import ROOT, wait_until  # noqa: E402
from faults import FaultInjector, draw_schedule  # noqa: E402
from soak_cluster import SoakCluster  # noqa: E402

# Time without faults after the last one, in which the callers go on.
CALM_S = 3


class Soak:
    """The cluster, the callers and the faults of one seed."""

    def __init__(self, arguments):
        self.arguments = arguments
        self.folder = ROOT / "build" / "soak" / str(arguments.seed)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.cluster = SoakCluster(arguments.port, self.folder, arguments.gateways)
        self.profile, self.faults = draw_schedule(
            arguments.seed, arguments.seconds, [each.name for each in self.cluster.gateways],
            list(self.cluster.standins.runners))
        self.schedule = "\n".join(map(str, self.faults)) + "\n"
        (self.folder / "schedule.txt").write_text(f"profile {self.profile}\n{self.schedule}")
        self.callers = [Caller(self.cluster, index, arguments.seed)
                        for index in range(arguments.callers)]
        self.calls = []

    def play(self):
        cluster = self.cluster
        cluster.began = time.monotonic()
        try:
            cluster.wait_for_groups()
        except AssertionError as error:
            return [f"START {error}"]
        cluster.began = time.monotonic()
        for caller in self.callers:
            caller.thread.start()
        FaultInjector(cluster).run(self.faults)
        time.sleep(CALM_S)
        for caller in self.callers:
            caller.ended.set()
        for caller in self.callers:
            caller.thread.join(60)
            self.calls += caller.calls
        failures = self.check_recovery()
        # Requests that were refused must not run later either.
        time.sleep(1)
        return Checker(cluster, self.calls).run() + failures

    def check_recovery(self):
        """All gateways serve all kinds of requests again after the last fault."""
        try:
            self.cluster.wait_for_groups()
            for index in range(len(self.cluster.gateways)):
                for path in ("/chat/x", "/read/0-10", "/buy/0-10", "/move/0-10"):
                    wait_until(lambda: self.serves(index, path), f"edge-{index} serves {path}")
        except AssertionError as error:
            return [f"RECOVER {error}"]
        return []

    def serves(self, index, path):
        probe = Caller(self.cluster, 10_000 + index, self.arguments.seed)
        probe.gateway = index
        probe.count = len(self.calls)
        probe.draw_path = lambda: path
        if not probe.connect():
            return False
        call = probe.call()
        probe.close()
        self.calls.append(call)
        return call.status == 200 and call.whole

    def keep(self, violations):
        began = self.cluster.began
        (self.folder / "violations.txt").write_text("\n".join(violations) + "\n")
        (self.folder / "disturbances.txt").write_text("\n".join(
            f"{each.began - began:.3f} to {each.ended - began:.3f} {each.kind} {each.subject}"
            for each in self.cluster.record.disturbances) + "\n")
        with open(self.folder / "calls.txt", "w") as file:
            for call in sorted(self.calls, key=lambda call: call.sent):
                runs = [(run.target, round(run.began - began, 3), run.status, run.seal)
                        for run in self.cluster.record.runs[call.identity]]
                file.write(f"{call.sent - began:.3f} to {call.ended - began:.3f} {call.identity} "
                           f"{call.path} edge-{call.gateway} {call.status} whole={call.whole} "
                           f"{call.error} {len(call.body)} bytes, {call.events} events, "
                           f"limit {call.limit_s}, reused={call.reused} runs={runs} "
                           f"{call.headers.get('X-Response-Seal')}\n")

    def summary(self, violations):
        runs = self.cluster.record.runs
        seen = collections.Counter(str(call.status) if call.whole else
                                   "cut" if call.status or runs[call.identity] else "closed unread"
                                   for call in self.calls)
        hung = sum(call.error == "hung" for call in self.calls)
        return (f"soak/seed-{self.arguments.seed}: {'FAILED' if violations else 'ok'}, profile "
                f"{self.profile}, {len(self.faults)} faults, {len(self.calls)} requests, "
                + ", ".join(f"{count} {status}" for status, count in sorted(seen.items()))
                + f", {hung} hung, {len(self.cluster.configs)} versions, "
                f"lag {self.cluster.lag_s * 1000:.0f} ms, {len(violations)} violations")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--callers", type=int, default=12)
    # Beside the ports of the process tests, which differ between work trees.
    parser.add_argument("--port", type=int,
                        default=int(os.environ.get("CAMPHORLUG_TEST_PORT", "28500")) + 1000)
    parser.add_argument("--keep", action="store_true")
    soak = Soak(parser.parse_args())
    try:
        violations = soak.play()
    finally:
        soak.cluster.close()
    if violations or soak.arguments.keep:
        soak.keep(violations)
    if violations:
        print(soak.schedule + "\n".join(violations[:20]))
    elif not soak.arguments.keep:
        shutil.rmtree(soak.folder)
    print(soak.summary(violations), flush=True)
    # The stand-ins' event loop is a daemon thread and ends with this process.
    sys.exit(1 if violations else 0)


main()
