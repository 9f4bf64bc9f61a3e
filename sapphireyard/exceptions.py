"""Exceptions of sapphireyard: a shallow hierarchy under `SapphireyardError`.

Each exception has a stable ``code``. Those that can reach a caller have
``executed``, whether the request was executed, and ``retry_after``, when to
retry.
"""

from dataclasses import dataclass

EXECUTED_NO = "no"
EXECUTED_UNKNOWN = "unknown"
EXECUTED_YES = "yes"


class SapphireyardError(Exception):
    """Base class of all errors raised by sapphireyard."""

    code = "internal_error"


@dataclass(frozen=True)
class Finding:
    """An error in some input, with its location.

    Parameters
    ----------
    place : str
        File, row and field, header, or flag and variable.
    message : str
        What is wrong, worded for the author of the input.
    """

    place: str
    message: str

    def __str__(self):
        return f"{self.place}: {self.message}"


class SettingsError(SapphireyardError):
    """The settings are invalid; ``findings`` has every error in them."""

    code = "invalid_settings"

    def __init__(self, findings):
        super().__init__("; ".join(map(str, findings)))
        self.findings = tuple(findings)


class StoreError(SapphireyardError):
    """Base class of the errors of the object store."""

    code = "store_error"


class StoreConflict(StoreError):
    """A create found an existing object, or an update a different version."""

    code = "store_conflict"


class StoreUnavailable(StoreError):
    """The store did not answer; a write may have taken effect."""

    code = "store_unavailable"


class StoreBusy(StoreUnavailable):
    """The store refused a call beyond its rate; nothing was done."""

    code = "store_busy"


class StoreValueInvalid(StoreError):
    """An object has a value that another writer left and that cannot be used."""

    code = "store_value_invalid"


class CommitInDoubt(StoreUnavailable):
    """A commit failed as the store was unavailable, but may still become durable.

    The caller cancels the records with a later record, for example
    `CallAbandoned` after `CallReserved`.
    """

    code = "commit_in_doubt"


class WatchExpired(StoreError):
    """The store no longer keeps changes this old; list the objects again."""

    code = "store_gone"


class JournalSealed(SapphireyardError):
    """Another host sealed this journal; this incarnation no longer owns anything."""

    code = "journal_sealed"


class RecordError(SapphireyardError):
    """A journal segment or a record in it cannot be read."""

    code = "record_invalid"


class PeerError(SapphireyardError):
    """Base class of the errors between the system's own processes."""

    code = "peer_error"


class PeerUnavailable(PeerError):
    """A peer could not be reached, or its connection ended.

    Parameters
    ----------
    detail : str
        Description of the failure.
    sent : bool
        False when the request cannot have reached the peer.
    """

    code = "peer_unavailable"

    def __init__(self, detail, *, sent=True):
        super().__init__(detail)
        self.sent = sent


class UpstreamFailed(SapphireyardError):
    """An upstream returned no usable answer.

    Parameters
    ----------
    detail : str
        Description of the failure.
    sent : bool
        False when no byte of the request can have reached the upstream.
    crashed : bool
        The connection broke while the request was running.
    """

    code = "upstream_failed"

    def __init__(self, detail, *, sent=True, crashed=False):
        super().__init__(detail)
        self.sent = sent
        self.crashed = crashed


class UpstreamLate(UpstreamFailed):
    """An upstream did not begin to answer while another one could be tried."""


class UpstreamLeft(UpstreamFailed):
    """An upstream may not be used any more, and got nothing of the request."""

    def __init__(self, detail):
        super().__init__(detail, sent=False)


class HistoryLost(UpstreamFailed):
    """The history of a request could not be read to its end while it was sent."""


class CallError(SapphireyardError):
    """An error answer to a caller.

    Parameters
    ----------
    code : str
        Stable code, a key of `STATUSES`.
    detail : str
        Explanation for the caller.
    executed : {'no', 'unknown', 'yes'}
        Whether the request was executed; ``no`` is a guarantee.
    retry_after : float, optional
        Seconds after which a retry may succeed.
    findings : sequence of Finding, optional
        All errors in an invalid request.
    """

    def __init__(
        self, code, detail, *, executed=EXECUTED_NO, retry_after=None, findings=()
    ):
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail
        self.executed = executed
        self.retry_after = retry_after
        self.findings = tuple(findings)

    @property
    def status(self):
        """int: The HTTP status of the answer."""
        return STATUSES[self.code]


class NotOwner(CallError):
    """The host that was asked does not own the program; ask its owner.

    Parameters
    ----------
    owner : str
        Name of the owner, as far as this host knows.
    """

    CODE = "not_owner"

    def __init__(self, owner):
        super().__init__(self.CODE, f"the owner is {owner}", retry_after=0.0)
        self.owner = owner


class NotHome(CallError):
    """The host that was asked is not the home of the group of upstreams.

    The home is the host that grants the admission slots of the group.

    Parameters
    ----------
    home : str or None
        Name of the home, as far as this host knows.
    """

    CODE = "not_home"

    def __init__(self, home):
        super().__init__(self.CODE, f"the home is {home}", retry_after=0.0)
        self.home = home


STATUSES = {
    "invalid_request": 400,
    "key_unknown": 401,
    "key_withdrawn": 401,
    "budget_exceeded": 402,
    "not_allowed": 403,
    "route_unknown": 404,
    "program_unknown": 404,
    "turn_unknown": 404,
    "method_not_allowed": 405,
    "body_late": 408,
    "sequence_gap": 409,
    "sequence_conflict": 409,
    "outcome_unknown": 409,
    "program_ended": 409,
    "request_too_large": 413,
    "quarantined": 422,
    "headers_too_large": 431,
    "rate_exceeded": 429,
    "internal_error": 500,
    "upstream_failed": 502,
    "crashes_upstreams": 503,
    "overloaded": 503,
    "history_unavailable": 503,
    "copies_changed": 503,
    "store_unavailable": 503,
    "draining": 503,
    "not_owner": 503,
    "not_home": 503,
    "configuration_stale": 503,
    "deadline_exceeded": 504,
}
"""HTTP status of each code that a caller can see."""
