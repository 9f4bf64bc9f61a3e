"""Questions to several history hosts at once."""

import asyncio
import logging

from sapphireyard.exceptions import CallError, PeerError
from sapphireyard.history.generated_history import DiskQuery, RecordsQuery

logger = logging.getLogger(__name__)

SURVEY_TIMEOUT_SECONDS = 0.3
"""Longest wait for hosts to tell whether they serve; they answer from memory."""
END_POSITION = 2**62
"""Position after which no copy has records: a query from there returns none."""


async def list_serving(peers, hosts):
    """Return the hosts that answer as serving members."""
    answers = await _ask_all(peers, hosts, RecordsQuery(END_POSITION))
    return list(answers)


async def ask_disks(peers, hosts):
    """Return the `DiskStatus` of the hosts that answer."""
    return await _ask_all(peers, hosts, DiskQuery())


async def _ask_all(peers, hosts, message):
    answers = await asyncio.gather(*(_ask(peers, each, message) for each in hosts))
    return {h: answer for h, answer in zip(hosts, answers) if answer is not None}


async def _ask(peers, host, message):
    """Return the answer of a host, or None if it is away or refuses."""
    try:
        return await peers.ask(host, message, timeout=SURVEY_TIMEOUT_SECONDS)
    except (PeerError, CallError) as error:
        logger.info("%s counts as away: %s", host, error)
        return None
