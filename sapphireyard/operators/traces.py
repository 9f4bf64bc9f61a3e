"""Merges the logs of many hosts around one request.

Clocks of hosts may disagree. Every entry host logs when a version of the configuration
comes into force, which is at nearly the same time everywhere: a host whose times of
these lines differ from the others' by more than the spread of the versions has a wrong
clock, and its lines are shifted.
"""

import json
from collections import defaultdict
from dataclasses import dataclass
from datetime import datetime
from statistics import median

CONFIGURATION_DECISION = "configuration"
STATE_DECISIONS = frozenset(
    {
        CONFIGURATION_DECISION,
        "copies",
        "hosts",
        "join",
        "reload",
        "rotation",
        "start",
        "stop",
        "store",
        "upstream",
    }
)
"""Decisions on the state of a host rather than on one request."""
CONTACT_MESSAGES = frozenset({"host is out of touch", "host is back in touch"})
MIN_OFFSET_SECONDS = 1.0
"""Smaller differences are not corrected: versions spread over the fleet as slowly."""


@dataclass(frozen=True)
class LogLine:
    """A line of a host's log.

    Parameters
    ----------
    time : float
        Unix seconds, by the host's clock.
    host : str
        Name of the host.
    fields : dict
        All fields of the line.
    """

    time: float
    host: str
    fields: dict

    @property
    def is_state(self):
        """bool: Whether the line is on the state of the host."""
        return (
            self.fields.get("decision") in STATE_DECISIONS
            or self.fields.get("message") in CONTACT_MESSAGES
        )


def parse_line(text):
    """Return the `LogLine` of a line of text, or None if it is none.

    Lines may have a prefix, such as the one that a log collector adds.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        at = datetime.fromisoformat(fields["time"]).timestamp()
        return LogLine(at, fields["host"], fields)
    except (ValueError, KeyError, TypeError):
        return None


def estimate_offsets(lines):
    """Return the seconds by which the clock of each host is ahead of the others'.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all hosts.

    Returns
    -------
    dict of str to float
        Offsets by host; 0 for a host without any version in common with others.
    """
    versions = defaultdict(dict)
    hosts = set()
    for line in lines:
        hosts.add(line.host)
        if line.fields.get("decision") == CONFIGURATION_DECISION:
            times = versions[line.fields.get("version")]
            times.setdefault(line.host, line.time)
    differences = defaultdict(list)
    for times in versions.values():
        middle = median(times.values())
        for host, at in times.items():
            differences[host].append(at - middle)
    offsets = dict.fromkeys(hosts, 0.0)
    for host, values in differences.items():
        if abs(median(values)) >= MIN_OFFSET_SECONDS:
            offsets[host] = median(values)
    return offsets


def trace_request(lines, request_id, *, seconds):
    """Return the lines that explain what happened to a request.

    These are the lines of the request, of the other requests of its program, and of
    the state of the hosts that served them, around that time.

    Parameters
    ----------
    lines : list of LogLine
        Lines of all hosts.
    request_id : str
        The request.
    seconds : float
        Time before the first and after the last line of the request that is shown.

    Returns
    -------
    list of (float, LogLine)
        Corrected Unix seconds and line, in the order of time; empty if no line has the
        request.
    """
    offsets = estimate_offsets(lines)
    timed = [(line.time - offsets[line.host], line) for line in lines]
    own = [
        (at, line) for at, line in timed if line.fields.get("request_id") == request_id
    ]
    if not own:
        return []
    program = next((p for _, line in own if (p := line.fields.get("program"))), None)
    first = min(at for at, _ in own) - seconds
    last = max(at for at, _ in own) + seconds
    near = [(at, line) for at, line in timed if first <= at <= last]
    related = [
        (at, line)
        for at, line in near
        if line.fields.get("request_id") == request_id
        or (program is not None and line.fields.get("program") == program)
    ]
    hosts = {line.host for _, line in related}
    states = [(at, line) for at, line in near if line.is_state and line.host in hosts]
    return sorted(related + states, key=lambda pair: pair[0])
