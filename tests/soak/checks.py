"""Checks the promises of the system against what callers and targets saw.

The excusals and bounds are those of the rules page; each has a comment that names its rule.
"""
import collections

# Bounds of the rules page, in seconds.
CONTACT_S = 3
DRAIN_S = 2
CONFIG_APPLY_S = 2
ROLLBACK_SLACK_S = 0.25
LOSS_SLACK_S = 0.2
GRACE_S = 8
LATE_ANSWER_S = 0.5
ATTEMPTS = 3
FAULTS_OF_A_TARGET = {"target_kill", "target_reset", "target_refuse", "fail", "busy", "truncate",
                      "extra", "target_delay", "target_cut", "target_silence"}
UNPLANNED_AT_A_GATEWAY = {"kill", "pause", "caller_delay", "caller_reset", "caller_cut",
                          "caller_silence"}
OUT_OF_TOUCH = UNPLANNED_AT_A_GATEWAY | {"start", "term"}
STORE_FAULTS = {"store_down", "store_slow", "store_lose"}


class Checker:
    """Judges the calls of one soak after it has ended."""

    def __init__(self, cluster, calls):
        self.cluster = cluster
        self.record = cluster.record
        self.configs = cluster.configs
        self.calls = calls
        # Callers and targets share a process, whose own lateness is no lateness of a gateway.
        self.lag_s = cluster.lag_s
        self.violations = list(cluster.record.violations) + list(cluster.standins.violations)

    def run(self):
        for call in self.calls:
            self.check_answer(call)
            self.check_runs(call)
            self.check_loss(call)
        self.check_attempts()
        self.check_unasked()
        self.check_leaving_targets()
        self.check_configurations()
        self.check_late_answers()
        return self.violations

    def violate(self, rule, call, text):
        runs = ", ".join(f"{run.target}@{run.began - call.sent:+.2f}"
                         for run in self.record.runs[call.identity]) or "no run"
        self.violations.append(
            f"{rule} {call.identity} {call.path} at edge-{call.gateway}, sent at "
            f"{call.sent - self.cluster.began:.2f} s, {call.ended - call.sent:.2f} s, "
            f"status {call.status} {'whole' if call.whole else call.error} [{runs}]: {text}")

    def disturbed(self, kinds, subjects, began, ended):
        return any(each.kind in kinds and (subjects is None or each.subject in subjects)
                   and each.began <= ended and each.ended >= began
                   for each in self.record.disturbances)

    def in_touch(self, call, moment):
        # Rule "In touch": no disturbance of the machine, and a stable core, for contactMs.
        return not (self.disturbed(OUT_OF_TOUCH, {f"edge-{call.gateway}"}, moment - CONTACT_S,
                                   moment)
                    or self.disturbed(STORE_FAULTS, None, moment - CONTACT_S, moment))

    def check_answer(self, call):
        """Own and whole answers, and the order of events."""
        seal = call.headers.get("X-Response-Seal")
        runs = self.record.runs[call.identity]
        own = [run for run in runs if run.seal == seal]
        if call.whole and 200 <= call.status < 300 and not seal:
            self.violate("MIXED", call, "a success without a seal")
        if seal and not own:
            self.violate("MIXED", call, f"the seal {seal} of another request")
        elif seal and own[0].status != call.status:
            self.violate("MIXED", call, f"the target answered {own[0].status}")
        elif seal and call.status != 200 and call.whole and call.body != own[0].body:
            self.violate("MIXED", call, f"another body: {call.body[:60]}")
        elif seal and call.status == 200 and call.is_stream:
            self.check_events(call)
        elif seal and call.status == 200:
            is_own = (call.body == own[0].body if call.whole
                      else own[0].body.startswith(call.body))
            if not is_own:
                self.violate("MIXED", call, f"{len(call.body)} bytes, not the target's "
                                            f"{len(own[0].body)}: {call.body[:60]}")

    def check_events(self, call):
        expected = "".join(f"id: {number}\ndata: {call.identity}.{number}\n\n"
                           for number in range(1, call.events + 1)).encode()
        if call.whole and call.body != expected:
            self.violate("ORDER", call, f"{call.body.count(b'data:')} of {call.events} events, "
                                        f"the end is {call.body[-60:]}")
        # A target that breaks off may do so within an event; another run starts the event again.
        whole_events = call.body[:call.body.rfind(b"\n\n") + 2]
        if not call.whole and not expected.startswith(whole_events):
            self.violate("ORDER", call, f"events out of order: {whole_events[-200:]}")

    def check_runs(self, call):
        runs = self.record.runs[call.identity]
        if call.prefix in ("/buy/", "/talk/") and len(runs) > 1:
            self.violate("TWICE", call, "not idempotent, ran more than once")
        if call.status in (408, 421, 429, 503) and "X-Response-Seal" not in call.headers and runs:
            self.violate("REFUSED", call, "refused but ran")
        if 400 <= call.status < 500 and call.status not in (404, 408, 421, 429):
            self.violate("DENIED", call, "a proper request was denied")

    def check_loss(self, call):
        """Each request gets an answer or a refusal, also around planned work."""
        if call.whole or self.excused_loss(call):
            return
        if call.error == "hung":
            self.violate("LOST", call, "neither an answer nor a refusal")
        elif call.status or self.record.runs[call.identity]:
            self.violate("LOST", call, "passed on, without a whole answer")
        elif call.ended - call.sent > LOSS_SLACK_S + self.lag_s:
            self.violate("LOST", call, "closed without an answer")

    def excused_loss(self, call):
        began, gateway = call.sent - CONTACT_S, f"edge-{call.gateway}"
        # LOST: no unplanned disturbance from contactMs before the request to its end.
        if self.disturbed(UNPLANNED_AT_A_GATEWAY, {gateway}, began, call.ended):
            return True
        # LOST: the runner broke off. A group's streams end with any of its members.
        targets = {name for run in self.record.runs[call.identity]
                   for name in (run.target, *run.members)}
        if self.disturbed(FAULTS_OF_A_TARGET, targets, began, call.ended):
            return True
        # LOST: the request's own limit or the route's was reached.
        if call.ended - call.sent >= self.time_limit(call):
            return True
        # LOST: still at work in the last sixth of graceS on a request that was sent no later
        # than 3 s after the SIGTERM.
        return any(each.kind == "term" and each.subject == gateway
                   and each.began <= call.ended and call.sent <= each.began + 3
                   and call.ended >= each.began + GRACE_S * 5 / 6
                   for each in self.record.disturbances)

    def versions_of(self, call):
        """The configurations that may be in force for a call, by its gateway's contact."""
        versions = []
        for version, later in zip(self.configs, self.configs[1:] + [None]):
            replaced = later is not None and later.confirmed + CONFIG_APPLY_S < call.sent
            if version.sent <= call.ended and not (
                    replaced and self.in_touch(call, later.confirmed + CONFIG_APPLY_S)
                    and self.in_touch(call, call.sent)):
                versions.append(version)
        return versions

    def time_limit(self, call, choose=min):
        limits = [version.routes[call.prefix]["timeoutMs"] / 1000
                  for version in self.versions_of(call) if call.prefix in version.routes]
        return min(call.limit_s, choose(limits or [call.limit_s]))

    def check_attempts(self):
        def counts(run):
            return not self.disturbed(FAULTS_OF_A_TARGET, {run.target}, run.began - CONTACT_S,
                                      run.began + CONTACT_S)
        over = [call for call in self.calls
                if sum(map(counts, self.record.runs[call.identity])) > ATTEMPTS]
        # BUDGET: more than three requests break the rule.
        if len(over) > 3:
            self.violate("BUDGET", over[0], f"{len(over)} requests ran at too many targets")

    def check_unasked(self):
        asked = {call.identity: call for call in self.calls}
        for identity, runs in list(self.record.runs.items()):
            for run in runs:
                if identity not in asked or asked[identity].path != run.path:
                    self.violations.append(f"UNASKED {identity} {run.path} ran at {run.target}")

    def check_leaving_targets(self):
        for call in self.calls:
            for run in self.record.runs[call.identity]:
                # DRAIN binds machines in touch; "Held up" excuses a harmed link to the target.
                if (run.draining_for > DRAIN_S + self.lag_s and self.in_touch(call, run.began)
                        and self.in_touch(call, run.began - run.draining_for)
                        and not self.disturbed(FAULTS_OF_A_TARGET, {run.target},
                                               run.began - CONTACT_S, run.began)):
                    self.violate("DRAIN", call,
                                 f"reached {run.target} {run.draining_for:.2f} s after it drained")

    def handled_as(self, call):
        """The configurations under which the call could be handled as it was; None if any."""
        services = {run.service for run in self.record.runs[call.identity]}
        if services:
            return [version for version in self.configs
                    if services == {version.routes.get(call.prefix, {}).get("backend")}]
        if call.status == 404:
            return [version for version in self.configs if call.prefix not in version.routes]
        return None

    def check_configurations(self):
        """New versions are in force in time, and no process goes back to an older one."""
        newest_seen = collections.defaultdict(list)
        for call in sorted(self.calls, key=lambda call: call.sent):
            handled = self.handled_as(call)
            if handled is None:
                continue
            in_force = self.versions_of(call)
            possible = [version for version in handled if version in in_force]
            if not possible:
                self.violate("CONFIG", call, "handled as none of the versions "
                             f"{[version.index for version in in_force]} allows")
                continue
            # CONFIG: in one boot of its processes, a machine goes only forward.
            boot = sum(1 for each in self.cluster.supervisor.boots[f"edge-{call.gateway}"]
                       if each <= call.sent)
            # Eight times the slack on a slowed machine.
            slack = ROLLBACK_SLACK_S * (8 if not self.in_touch(call, call.sent) else 1)
            floor = max((index for moment, index in newest_seen[call.gateway, boot]
                         if moment + slack + self.lag_s < call.sent), default=0)
            if max(version.index for version in possible) < floor:
                self.violate("CONFIG", call, f"went back from version {floor} to "
                                             f"{possible[-1].index}")
            if call.ended < self.next_boot(call):
                newest_seen[call.gateway, boot].append(
                    (call.ended, min(version.index for version in possible)))

    def next_boot(self, call):
        return min((each for each in self.cluster.supervisor.boots[f"edge-{call.gateway}"]
                    if each > call.sent), default=float("inf"))

    def check_late_answers(self):
        due = [call for call in self.calls
               if call.ended - call.sent > self.time_limit(call, max)
               and not self.disturbed(OUT_OF_TOUCH, {f"edge-{call.gateway}"},
                                      call.sent - CONTACT_S, call.ended)]
        late = [call for call in due if call.ended - call.sent
                > self.time_limit(call, max) + LATE_ANSWER_S + self.lag_s]
        # CONFIG: more than half of them half a second late, where there are eight or more.
        if len(due) >= 8 and 2 * len(late) > len(due):
            self.violate("CONFIG", late[0], f"{len(late)} of {len(due)} requests unanswered "
                                            "half a second after their time limit")
