"""Receipts: which version of the configuration each failure domain has read.

In an outage of the store hosts go on with the version that more than half of the
failure domains have. A change that none of them has read yet is unknown to all, so it
counts as in force only once more than half have left a receipt.
"""

import logging

from sapphireyard.exceptions import StoreConflict

logger = logging.getLogger(__name__)

RECEIPT_PREFIX = "config/receipt/"
"""Prefix of the names of receipts, one for each failure domain."""


class Receipts:
    """Reads and writes the receipts in the store.

    Parameters
    ----------
    store : Store
        The platform's object store.
    """

    def __init__(self, store):
        self._store = store

    async def leave(self, domain, version):
        """Record that a failure domain has read a version, or a later one.

        Raises
        ------
        StoreUnavailable
            The store did not answer; the call can be repeated.
        """
        name, value = RECEIPT_PREFIX + domain, str(version).encode()
        while True:
            stored = await self._store.get(name)
            if _read_version(stored) >= version:
                return
            try:
                if stored is None:
                    await self._store.create(name, value)
                else:
                    await self._store.update(
                        name, value, expected_version=stored.version
                    )
                return
            except StoreConflict:
                continue  # another host of the domain was first

    async def list_readers(self, domains, version):
        """Return those of some failure domains that have read a version.

        Parameters
        ----------
        domains : collection of str
            Failure domains of the fleet.
        version : int
            Version of the configuration.

        Returns
        -------
        list of str
            Failure domains, sorted.
        """
        readers = []
        for domain in sorted(domains):
            stored = await self._store.get(RECEIPT_PREFIX + domain)
            if _read_version(stored) >= version:
                readers.append(domain)
        return readers


def is_majority(readers, domains):
    """Return whether more than half of the failure domains are readers.

    A fleet without hosts has nothing that could be out of date.
    """
    return not domains or 2 * len(readers) > len(domains)


def _read_version(stored):
    """Return the version of a receipt; 0 if there is none or it cannot be read."""
    if stored is None:
        return 0
    try:
        return int(stored.value)
    except ValueError:
        logger.warning("invalid receipt %s", stored.name)
        return 0
