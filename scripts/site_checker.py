"""Checks a soak of the platform's deployment by the rules on the users' pages.

All evidence is from outside: what callers, upstreams and the store saw, and when faults
were injected. A rule that excuses hosts which are out of touch is checked with exactly
that excuse.
"""

from collections import defaultdict
from dataclasses import dataclass
from time import monotonic

from scripts.site_callers import REFUSED, REPEATABLE, TURN
from scripts.site_upstreams import DRAIN_SECONDS

CONTACT_SECONDS = 3.0
CATCH_UP_SECONDS = 4.3
MAX_LOST_COPIES = 1
"""History hosts that may be lost at the same time while turns are served."""
GRACE_SECONDS = 8.0
CONFIG_APPLY_SECONDS = 2.0
LOSS_SLACK_SECONDS = 0.2
RECOVER_SECONDS = 12.0
ROUTE_SECONDS = 3.0
"""Time-out of the routes of the deployment, and patience of its callers."""
MAX_KEPT_LOSSES = 3
"""Requests on kept connections that hosts in touch may cut off in a run."""
LATE_STOP_SECONDS = 3.0
LAST_PART = 5 / 6
"""A request sent until then after a stop may be cut off in the last part of it."""
MIN_RECOVERED = 0.25
HISTORY_NETWORK = "127.0.2."

RULES = {
    "DRAIN": "leaving upstreams get no request from hosts in touch",
    "LOST stop": "planned stops and changes cut off no request",
    "LOST kept": "hosts in touch cut off no request, within what may be lost at once",
    "LOST turn": "no kept turn is unknown",
    "TWICE": "requests that may not be repeated run once at most",
    "REFUSED": "refused requests do not run",
    "UNASKED": "upstreams get what callers sent",
    "MIXED": "answers are whole and the upstream's",
    "DENIED": "nothing that is allowed is denied",
    "CONFIG": "new versions are in force in time",
    "FAULT": "no process ends by itself or fails to start",
    "RECOVER": "requests are served after the last fault",
    "errors": "no request ends with an internal error of a host",
    "finished": "all faults were injected",
}


@dataclass
class Disturbance:
    """A fault of a host, of the store (``host`` empty) or of all hosts (``*``)."""

    host: str
    kind: str
    start: float
    end: float = float("inf")


class Disturbances:
    """What was done to hosts and to the store, and when."""

    def __init__(self):
        self.spans = []

    def begin(self, host, kind, *, seconds=None):
        """Record the start of a fault; return it, so that its end can be set."""
        now = monotonic()
        end = float("inf") if seconds is None else now + seconds
        self.spans.append(Disturbance(host, kind, now, end))
        return self.spans[-1]

    def find(self, hosts, start, end):
        """Return the faults of some hosts that overlap a span of time."""
        return [
            span
            for span in self.spans
            if span.host in hosts and span.start <= end and span.end >= start
        ]

    def is_stable(self, at):
        """Return whether the store was undisturbed for the time to get in touch."""
        return not self.find({""}, at - CONTACT_SECONDS, at)

    def count_lost(self, prefix, start, end):
        """Return how many hosts of a network were lost at some time in a span."""
        hosts = {span.host for span in self.spans if span.host.startswith(prefix)}
        return len(
            {each.host for each in self.find(hosts, start - CATCH_UP_SECONDS, end)}
        )

    def describe(self, at):
        """Return what was done shortly before a moment, in one line."""
        return "; ".join(
            f"{span.kind} {span.host or 'store'} {span.start - at:+.1f}"
            f" to {min(span.end, at + CONTACT_SECONDS) - at:+.1f}"
            for span in self.spans
            if span.start <= at and span.end >= at - 2 * CONTACT_SECONDS
        )

    def is_in_touch(self, host, start, end=None):
        """Return whether a host is in touch from `start` to `end`."""
        hosts = {"", "*", host}
        return not self.find(hosts, start - CONTACT_SECONDS, end or start)


class SiteChecker:
    """Collects violations by rule.

    Parameters
    ----------
    site : PlatformSite
        The deployment; its logs are quoted.
    traffic : Traffic
        The callers.
    fleet : Fleet
        The upstreams.

    Attributes
    ----------
    notes : list of str
        Cases that a rule allows in a small number.
    """

    def __init__(self, site, traffic, fleet):
        self._site = site
        self._traffic = traffic
        self._fleet = fleet
        self._started = monotonic()
        self._violations = defaultdict(list)
        self._passed_on = {}
        self.disturbances = Disturbances()
        self.counts = defaultdict(int)
        self.notes = []

    def record_violation(self, rule, text, *, at=None, request_id=""):
        """Record a violation, with what the hosts logged about its request."""
        at = at or monotonic()
        lines = [f"{at - self._started:.2f} s: {text}"]
        lines.append(f"    before: {self.disturbances.describe(at)}")
        if request_id:
            lines += self._quote_logs(request_id)
        self._violations[rule].append("\n".join(lines))

    def check(self):
        """Check what was recorded; return the violations of each rule."""
        attempts = {each.request_id: each for each in self._traffic.attempts}
        self._note_passed_on(attempts)
        runs = defaultdict(list)
        arrivals = defaultdict(list)
        for upstream in self._fleet.all:
            for request in upstream.received:
                arrivals[request.headers.get("request-id")].append((upstream, request))
            for request in upstream.executed:
                runs[request.headers.get("request-id")].append((upstream, request))
        for request_id, found in arrivals.items():
            attempt = attempts.get(request_id)
            if attempt is not None:
                for upstream, request in found:
                    self._check_arrival(attempt, upstream, request)
        for request_id, found in runs.items():
            self._check_runs(request_id, attempts.get(request_id), found)
        for attempt in attempts.values():
            found = runs.get(attempt.request_id, [])
            self._check_answer(attempt, found)
            if not attempt.complete and not attempt.gave_up:
                self._check_loss(attempt, arrivals.get(attempt.request_id, []), found)
        self._check_turns(attempts)
        if len(self._violations["LOST kept"]) <= MAX_KEPT_LOSSES:
            self.notes += self._violations.pop("LOST kept", [])
        return {rule: self._violations[rule] for rule in RULES}

    def check_recovery(self, since):
        """Check that requests sent after the last fault are served."""
        late = [each for each in self._traffic.attempts if each.sent_at >= since]
        served = sum(each.served for each in late)
        self.counts["requests after the last fault"] = len(late)
        if not late or served < MIN_RECOVERED * len(late):
            self.record_violation("RECOVER", f"{served} of {len(late)} were served")

    def _check_arrival(self, attempt, upstream, request):
        if request.headers.get("expect-instance") != upstream.name:
            return  # answered 421
        self.counts["arrivals"] += 1
        if self._is_late(attempt, upstream, request):
            self.record_violation(
                "DRAIN",
                f"{upstream.name} got {attempt.request_id} ({attempt.kind}) from"
                f" {attempt.ip}, left {request.at - upstream.left_at:.2f} s before,"
                f" sent by its caller {request.at - attempt.sent_at:.3f} s before",
                at=request.at,
                request_id=attempt.request_id,
            )
        passed_on_at = self._passed_on.get((id(upstream), attempt.ip))
        if passed_on_at is None or attempt.sent_at <= passed_on_at + DRAIN_SECONDS:
            return
        if not self.disturbances.find({attempt.ip}, passed_on_at, request.at):
            self.record_violation(
                "DRAIN",
                f"{upstream.name} got {attempt.request_id} from {attempt.ip}, which"
                f" was told {request.at - passed_on_at:.2f} s before that it leaves",
                at=request.at,
                request_id=attempt.request_id,
            )

    def _is_late(self, attempt, upstream, request):
        """Return whether a request came too long after the store knew of the leave."""
        left_at = upstream.left_at
        if left_at is None or request.at <= left_at + DRAIN_SECONDS:
            return False
        if not self.disturbances.is_stable(left_at):
            return False
        return self.disturbances.is_in_touch(attempt.ip, attempt.sent_at, request.at)

    def _note_passed_on(self, attempts):
        """Note when hosts first passed on that an upstream says it is leaving."""
        for upstream in self._fleet.all:
            if upstream.said_at is None:
                continue
            for request in upstream.executed:
                attempt = attempts.get(request.headers.get("request-id"))
                if request.at < upstream.said_at or attempt is None:
                    continue
                if attempt.served:
                    key = id(upstream), attempt.ip
                    before = self._passed_on.get(key, attempt.ended_at)
                    self._passed_on[key] = min(before, attempt.ended_at)

    def _check_runs(self, request_id, attempt, found):
        upstream, request = found[0]
        if attempt is None:
            if request_id not in self._traffic.probes:
                self.record_violation(
                    "UNASKED", f"{upstream.name} ran {request_id}", at=request.at
                )
            return
        self.counts["runs"] += len(found)
        if len(found) > 1 and attempt.kind != REPEATABLE:
            names = [upstream.name for upstream, _ in found]
            self.record_violation(
                "TWICE",
                f"{attempt.kind} {request_id} ran at {names}",
                at=request.at,
                request_id=request_id,
            )
        for upstream, request in found:
            sent = (attempt.method, attempt.target, attempt.expected)
            if (request.method, request.target, request.body) != sent:
                self.record_violation(
                    "UNASKED",
                    f"{upstream.name} ran {request.method} {request.target} with"
                    f" {request.body!r}, sent was {sent}",
                    at=request.at,
                    request_id=request_id,
                )

    def _check_answer(self, attempt, found):
        self.counts["attempts"] += 1
        problem = ""
        rule = "MIXED"
        echoed = attempt.headers.get("request-id", attempt.request_id)
        if echoed != attempt.request_id:
            problem = f"answer of request {echoed}"
        elif attempt.status in REFUSED and found and attempt.kind != REPEATABLE:
            rule, problem = "REFUSED", f"status {attempt.status}, but it ran"
        elif attempt.status in (400, 401, 403, 404, 410, 413, 431):
            rule = "LOST turn" if attempt.after else "DENIED"
            problem = f"status {attempt.status}: {attempt.answer!r}"
        elif attempt.status == 500 and "response-signature" not in attempt.headers:
            rule, problem = "errors", f"status 500: {attempt.answer!r}"
        elif attempt.served:
            problem = _find_mixed(attempt, found)
        if problem:
            self.record_violation(
                rule,
                f"{attempt.kind} {attempt.request_id} at {attempt.ip}: {problem}",
                at=attempt.ended_at,
                request_id=attempt.request_id,
            )

    def _check_loss(self, attempt, arrivals, runs):
        """Check a request whose connection ended without a complete answer."""
        self.counts["without answer"] += 1
        waited = attempt.ended_at - attempt.sent_at
        was_late = waited > LOSS_SLACK_SECONDS
        if not (arrivals or was_late) or waited >= ROUTE_SECONDS:
            return
        if not all(upstream.is_sound_for(request) for upstream, request in runs):
            return
        text = (
            f"{attempt.kind} {attempt.request_id} at {attempt.ip}, sent"
            f" {waited:.3f} s before, {len(arrivals)} arrivals, status {attempt.status}"
        )
        where = {"at": attempt.ended_at, "request_id": attempt.request_id}
        since = attempt.sent_at - CONTACT_SECONDS
        hosts = {span.host for span in self.disturbances.spans}
        stops = []
        for span in self.disturbances.find(hosts, since, attempt.ended_at):
            if span.kind not in ("stop", "restart after stop"):
                stops = None
                break
            if span.kind == "stop" and span.host == attempt.ip:
                stops.append(span)
        if stops:
            after = attempt.ended_at - stops[-1].start
            sent_after = attempt.sent_at - stops[-1].start
            excused = sent_after <= LATE_STOP_SECONDS and (
                after >= LAST_PART * GRACE_SECONDS
            )
            if after <= GRACE_SECONDS + 1 and not excused:
                self.record_violation(
                    "LOST stop", f"{text}, {after:.2f} s after SIGTERM", **where
                )
                return
        in_touch = self.disturbances.is_in_touch(
            attempt.ip, attempt.sent_at, attempt.ended_at
        )
        lost = self.disturbances.count_lost(
            HISTORY_NETWORK, attempt.sent_at, attempt.ended_at
        )
        if arrivals and in_touch and lost <= MAX_LOST_COPIES:
            self.record_violation("LOST kept", text, **where)

    def _check_turns(self, attempts):
        self.counts["continued turns"] = sum(
            each.kind == TURN and each.served and bool(each.after)
            for each in attempts.values()
        )

    def _quote_logs(self, request_id):
        """Return the lines of all logs about a request."""
        return [
            f"    {folder.name}: {line}"
            for folder in sorted(self._site.folder.iterdir())
            for line in (folder / "log").read_text().splitlines()
            if request_id in line
        ]

    def describe(self):
        """Return the counts of checks in one line."""
        return ", ".join(f"{name} {n}" for name, n in sorted(self.counts.items()))


def _find_mixed(attempt, found):
    """Return what is wrong with a success; empty if it is its upstream's answer."""
    signature = attempt.headers.get("response-signature", "")
    for upstream, _ in found:
        if signature != f"signed-by-{upstream.name}":
            continue
        body = f"answer of {upstream.name} to {attempt.target}".encode()
        if upstream.events:
            events = [
                f"id: {n}\ndata: {d}\n\n" for n, d in enumerate(upstream.events, 1)
            ]
            body = "".join(events).encode()
        if attempt.answer == body:
            return ""
    return f"signature {signature!r}, body {attempt.answer!r}"
