"""The faults of a seed: drawn as a schedule, then applied to a cluster."""
import dataclasses
import random
import signal
import threading
import time

from links import DIRECTIONS

PLANNED = ["term", "term_series", "hup", "config", "config_series", "silence",
           "silence_series", "drain"]
PROFILES = {
    "planned": [],
    "targets": ["target_kill", "target_reset", "target_refuse", "fail", "busy", "truncate",
                "extra"],
    "links": ["caller_delay", "caller_reset", "caller_cut", "caller_silence", "target_delay",
              "target_cut", "target_silence", "target_reset"],
    "processes": ["kill", "kill_all", "pause", "pause"],
    "store": ["store_down", "store_slow", "store_lose"],
}
PROFILES["all"] = sorted(set(sum(PROFILES.values(), [])))
GATEWAY_FAULTS = {"term", "hup", "kill", "pause", "caller_delay", "caller_reset", "caller_cut",
                  "caller_silence"}
TARGET_FAULTS = {"silence", "drain", "target_kill", "target_reset", "target_refuse", "fail",
                 "busy", "truncate", "extra", "target_delay", "target_cut", "target_silence"}
# Faults that are in force for their length; the others take place at their start.
LENGTHS_S = {"silence": (0.5, 1.5), "pause": (0.3, 4), "store_down": (0.5, 5),
             "store_slow": (1, 5), "target_kill": (0.6, 4), "drain": (2.5, 4)}
USUAL_LENGTH_S = (0.3, 3)
# A target leaves no sooner than this after the store has accepted that it drains.
DRAIN_S = 2


@dataclasses.dataclass
class Fault:
    """One fault; `draw` is its own source of further parameters."""
    kind: str
    subject: str
    start_s: float
    length_s: float
    draw: float

    def __str__(self):
        return (f"{self.start_s:6.2f} s  {self.kind} {self.subject} for {self.length_s:.2f} s"
                f" ({self.draw:.3f})")


def draw_schedule(seed, seconds, gateways, targets):
    """Returns the name of the seed's profile and its faults in order of their start."""
    source = random.Random(f"{seed}/schedule")
    profile = source.choice(["planned", "planned", "targets", "links", "processes", "store",
                             "all", "all"])
    # Planned work mixes into every profile; in series and overlapping by its density.
    kinds = PLANNED + 2 * PROFILES[profile]
    count = int(seconds * source.choice([0.3, 0.6, 1.2]))
    faults = []
    for _ in range(count):
        kind = source.choice(kinds)
        subject = (source.choice(gateways) if kind in GATEWAY_FAULTS else
                   source.choice(targets) if kind in TARGET_FAULTS else "all")
        faults.append(Fault(kind, subject, source.uniform(1, seconds),
                            source.uniform(*LENGTHS_S.get(kind, USUAL_LENGTH_S)),
                            source.random()))
    return profile, sorted(faults, key=lambda fault: fault.start_s)


class FaultInjector:
    """Applies the faults of a schedule, each in a thread of its own."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.record = cluster.record
        self.loop = cluster.standins.loop
        self.config_lock = threading.Lock()

    def run(self, faults):
        began = time.monotonic()
        threads = []
        for fault in faults:
            time.sleep(max(0, began + fault.start_s - time.monotonic()))
            threads.append(threading.Thread(target=self.apply, args=(fault,)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def apply(self, fault):
        if fault.kind.startswith("caller_") or fault.kind in ("target_delay", "target_cut",
                                                              "target_silence", "target_reset",
                                                              "target_refuse"):
            self.disturb_link(fault)
        elif fault.kind in ("fail", "busy", "truncate", "extra"):
            self.misbehave(fault)
        else:
            getattr(self, fault.kind)(fault)

    def gateway(self, fault):
        return next(each for each in self.cluster.gateways if each.name == fault.subject)

    def runner(self, fault):
        return self.cluster.standins.runners[fault.subject]

    def in_loop(self, function, *arguments):
        async def call():
            return function(*arguments)
        return self.cluster.run_coroutine(call())

    def lasting(self, fault, kind=None):
        """Records a disturbance while it lasts."""
        disturbance = self.record.disturb(kind or fault.kind, fault.subject)
        time.sleep(fault.length_s)
        return disturbance

    # Gateways.

    def term(self, fault):
        gateway = self.gateway(fault)
        if gateway.process.poll() is None:
            self.cluster.supervisor.terminate(gateway, 0.2 + fault.draw * 2)

    def term_series(self, fault):
        for gateway in self.cluster.gateways[:4]:
            if gateway.process.poll() is None:
                self.cluster.supervisor.terminate(gateway, fault.draw)
            time.sleep(fault.length_s)

    def kill(self, fault):
        gateway = self.gateway(fault)
        if gateway.process.poll() is None:
            self.cluster.supervisor.kill(gateway, fault.draw * 3)

    def kill_all(self, fault):
        for gateway in self.cluster.gateways:
            if gateway.process.poll() is None:
                self.cluster.supervisor.kill(gateway, fault.draw)

    def pause(self, fault):
        gateway = self.gateway(fault)
        process = gateway.process
        disturbance = self.record.disturb("pause", fault.subject)
        process.send_signal(signal.SIGSTOP)
        time.sleep(fault.length_s)
        process.send_signal(signal.SIGCONT)
        disturbance.ended = time.monotonic()

    def hup(self, fault):
        gateway = self.gateway(fault)
        gateway.write_settings(policyParams={
            "graceS": 8, "retryRatio": 0.1 + 0.2 * fault.draw, "retryWindowS": 10,
            "retrySlack": 50 + int(50 * fault.draw), "ttl_max_s": 5})
        if gateway.process.poll() is None:
            self.cluster.supervisor.signal(gateway, signal.SIGHUP)

    # The store.

    def config(self, fault):
        with self.config_lock:
            moves = len(self.cluster.configs) % 2
            self.cluster.set_version(["shop", "depot"][moves],
                                     8000 if fault.draw < 0.5 else 2500)

    def config_series(self, fault):
        for _ in range(5):
            self.config(fault)
            time.sleep(fault.length_s / 5)

    def store_down(self, fault):
        store = self.cluster.standins.store
        store.down = True
        disturbance = self.lasting(fault)
        store.down = False
        disturbance.ended = time.monotonic()

    def store_slow(self, fault):
        store = self.cluster.standins.store
        store.delay_s = 0.2 + fault.draw
        disturbance = self.lasting(fault)
        store.delay_s = 0
        disturbance.ended = time.monotonic()

    def store_lose(self, fault):
        store = self.cluster.standins.store
        store.answers_to_lose = 1 + int(fault.draw * 10)
        disturbance = self.lasting(fault)
        store.answers_to_lose = 0
        disturbance.ended = time.monotonic()

    # Targets and links.

    def silence(self, fault):
        self.runner(fault).pause_streams(fault.length_s)
        disturbance = self.lasting(fault)
        disturbance.ended = time.monotonic()

    def silence_series(self, fault):
        """All targets fall silent as often as a route allows attempts."""
        for _ in range(3):
            for runner in list(self.cluster.standins.runners.values()):
                runner.pause_streams(0.5 + fault.draw)
            time.sleep(0.9 + fault.draw)

    def drain(self, fault):
        runner = self.runner(fault)
        if not runner.alive or runner.draining:
            return
        self.record.note("drain", fault.subject)
        self.cluster.run_coroutine(runner.drain())
        # It serves on for `drainMs` and a little longer.
        time.sleep(DRAIN_S + fault.length_s)
        self.end_and_restart(fault, 0.6 + fault.draw * 2)

    def target_kill(self, fault):
        self.end_and_restart(fault, fault.length_s)

    def end_and_restart(self, fault, gap_s):
        runner = self.runner(fault)
        if not runner.alive:
            return
        disturbance = self.record.disturb("target_kill", fault.subject)
        self.in_loop(runner.kill)
        time.sleep(gap_s)
        self.cluster.run_coroutine(runner.restart())
        disturbance.ended = time.monotonic()

    def misbehave(self, fault):
        runner = self.runner(fault)
        runner.fault = fault.kind
        disturbance = self.lasting(fault)
        runner.fault = ""
        disturbance.ended = time.monotonic()

    def disturb_link(self, fault):
        link = self.cluster.links[fault.subject]
        kind = fault.kind.partition("_")[2]
        disturbance = self.record.disturb(fault.kind, fault.subject)
        if kind == "reset":
            self.in_loop(link.reset_connections)
        elif kind == "refuse":
            self.in_loop(link.refuse)
            time.sleep(fault.length_s)
            self.cluster.run_coroutine(link.open())
        elif kind == "delay":
            link.delay_s = 0.02 + 0.3 * fault.draw
            time.sleep(fault.length_s)
            link.delay_s = 0
        else:
            directions = DIRECTIONS if kind == "silence" else [DIRECTIONS[int(fault.draw * 2)]]
            self.in_loop(link.hold, directions)
            time.sleep(fault.length_s)
            self.in_loop(link.release)
        disturbance.ended = time.monotonic()
