"""The platform's list of live and leaving hosts."""

from typing import Literal

import aiohttp
import pydantic

from sapphireyard.answers import build_connector, read_limited
from sapphireyard.exceptions import SapphireyardError

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Far above any list; what exceeds it is no answer."""

READ_TIMEOUT_SECONDS = 2.0
"""Timeout of one request for the list."""


class HostListError(SapphireyardError):
    """The host list could not be read."""

    code = "host_list_failed"


class ListedHost(pydantic.BaseModel):
    """One row of the list.

    Parameters
    ----------
    name : str
        Name of the host.
    address : str, optional
        IP or IP:PORT.
    state : {'live', 'leaving'}, optional
        Whether the platform is about to remove the host.
    """

    name: str
    address: str = ""
    state: Literal["live", "leaving"] = "live"

    def runs(self, upstream):
        """Return whether an upstream, by its name or address, runs on this host."""
        if self.name == upstream.name:
            return True
        ip, _, _ = upstream.address.rpartition(":")
        return self.address in (upstream.address, ip)


class HostListAnswer(pydantic.BaseModel):
    """The body of an answer."""

    hosts: list[ListedHost]


class HttpHostList:
    """A host list read with ``GET /hosts``.

    Parameters
    ----------
    address : str
        IP:PORT, with or without ``http://``.
    """

    def __init__(self, address):
        host = address.removeprefix("http://").rstrip("/")
        self._url = f"http://{host}/hosts"

    async def read(self):
        """Return the rows, each a `ListedHost`.

        Raises
        ------
        HostListError
            There was no valid answer within the timeout.
        """
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
        try:
            async with aiohttp.ClientSession(
                connector=build_connector(), timeout=timeout
            ) as session:
                async with session.get(self._url) as response:
                    response.raise_for_status()
                    text = await read_limited(response, MAX_ANSWER_BYTES)
            return HostListAnswer.model_validate_json(text).hosts
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise HostListError(f"{self._url}: {error!r}") from error
