"""What the status of an upstream's answer means, or that there is none."""

from sapphireyard.answers import LAST_STATUS
from sapphireyard.exceptions import UpstreamFailed

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that assure callers that a request has not run and never will."""
FIRST_FINAL_STATUS = 200
"""Lowest status of an answer that is not an interim one."""
SERVER_ERROR = 500
"""Lowest status that tells of an error of the upstream."""
SILENT_SHARE = 0.4
"""Share of the time left after which an upstream without any part of an answer is
silent. Sound ones take a tenth of it."""
MIN_SILENT_SECONDS = 0.2


def find_silent_seconds(seconds_left):
    """Return the seconds after which an upstream counts as silent."""
    return max(MIN_SILENT_SECONDS, seconds_left * SILENT_SHARE)


def check_answer(answer):
    """Raise `UpstreamFailed` for an answer that must not be forwarded.

    An interim answer, such as one that switches protocols, answers no request, nor does
    one with a status that does not exist, as a relay may have passed on. A
    success must carry the upstream's signature. A status that tells callers that the
    request has not run is valid only as a refusal by the upstream.
    """
    if not FIRST_FINAL_STATUS <= answer.status <= LAST_STATUS:
        raise UpstreamFailed(f"status {answer.status} is no final answer")
    if 200 <= answer.status < 300 and not answer.signed:
        raise UpstreamFailed("answer without a signature")
    if answer.status in NOT_RUN_STATUSES:
        raise UpstreamFailed(f"status {answer.status} without a refusal")
