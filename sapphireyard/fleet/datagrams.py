"""Encoding of heartbeats as datagrams.

A datagram is a msgpack array: the version of the format, then the fields of the
`Heartbeat` in their order in the schema. A receiver ignores trailing fields that it
does not know, and uses the defaults of those that are missing. So hosts of
consecutive versions understand each other as long as fields are only appended.
"""

import dataclasses
import math

import msgspec

from sapphireyard.exceptions import PeerError
from sapphireyard.fleet.generated_fleet import Heartbeat

FORMAT = 2
"""Version of the format; changes when a field is removed or gets another meaning."""
FIELDS = tuple(field.name for field in dataclasses.fields(Heartbeat))
ANSWER_INDEX = FIELDS.index("answer") + 1
"""Position of the answer in the array, after the version."""

NUMBERS = ("cores", "effort", "store_age", "configuration_age", "call_rate")
MAX_LOGGED_TEXT = 200

_encoder = msgspec.msgpack.Encoder()


class HeartbeatEncoder:
    """Encodes one heartbeat for several receivers, which differ in the answer only.

    Parameters
    ----------
    heartbeat : Heartbeat
        The heartbeat.
    """

    def __init__(self, heartbeat):
        self._values = [FORMAT, *(getattr(heartbeat, name) for name in FIELDS)]

    def encode(self, answer):
        """Return the datagram for the receiver whose newest heartbeat is `answer`."""
        self._values[ANSWER_INDEX] = answer
        return _encoder.encode(self._values)


def decode_heartbeat(payload):
    """Return the `Heartbeat` of a datagram.

    Raises
    ------
    PeerError
        The datagram has another format, or its fields have other types or values
        that cannot be used.
    """
    try:
        version, *values = msgspec.msgpack.decode(payload, type=list)
        if version != FORMAT:
            raise PeerError(f"datagram of another format than {FORMAT}")
        heartbeat = msgspec.convert(dict(zip(FIELDS, values)), Heartbeat)
        _check(heartbeat)
    except (ValueError, RecursionError, msgspec.MsgspecError) as error:
        text = str(error)[:MAX_LOGGED_TEXT]
        raise PeerError(f"invalid datagram: {text}") from error
    return heartbeat


def _check(heartbeat):
    """Raise `ValueError` for values that no host can use."""
    for name in NUMBERS:
        if not math.isfinite(getattr(heartbeat, name)):
            raise ValueError(f"{name} is not finite")
    for values in heartbeat.upstream_rates.values():
        if any(map(math.isnan, values)):  # infinity is no limit
            raise ValueError("upstream_rates has a value that is not a number")
    for values in heartbeat.upstream_results.values():
        if not all(map(math.isfinite, values)):
            raise ValueError("upstream_results has a number that is not finite")
    if not all(heartbeat.crashes.values()):
        raise ValueError("crashes has an entry without its age")
