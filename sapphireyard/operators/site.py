"""Operators' changes to a site: its tables, keys and upstreams in the store."""

import asyncio
from dataclasses import dataclass

from sapphireyard.configuration.changes import diff_tables
from sapphireyard.configuration.keys import create_key, create_salt, digest_key
from sapphireyard.configuration.manifests import TABLES, ManifestRepository
from sapphireyard.configuration.receipts import Receipts, is_majority
from sapphireyard.configuration.tables import (
    KEY_ACTIVE,
    KEY_WITHDRAWN,
    ROLE_OPERATOR,
    ROW_MODELS,
    TableRow,
    check_rows,
    normalise,
)
from sapphireyard.exceptions import (
    Finding,
    SapphireyardError,
    SettingsError,
    StoreConflict,
)
from sapphireyard.operators._table_files import load_files
from sapphireyard.ownership.assignment_store import AssignmentStore

MAX_WRITE_ATTEMPTS = 8
"""Maximum number of attempts to write a commutative change despite conflicts."""

MAX_SEARCHED_VERSIONS = 1000
"""Maximum number of versions that are searched for a given version."""

IN_FORCE_SECONDS = 5.0
"""Longest wait for the receipts of a new version; hosts read it within a second."""

POLL_SECONDS = 0.1
"""Interval of the reads of receipts."""

MIN_KEY_NAME_LENGTH = 6
"""Minimum number of characters that identify a key."""


@dataclass(frozen=True)
class Spread:
    """How far a version has spread.

    Parameters
    ----------
    readers, domains : tuple of str
        Failure domains that have read the version, and all of the fleet.
    """

    readers: tuple
    domains: tuple

    @property
    def in_force(self):
        """bool: Whether no outage of the store can bring back an older version."""
        return is_majority(self.readers, self.domains)


class TableConflict(SapphireyardError):
    """Another operator's change was written first.

    Attributes
    ----------
    changes : list of RowChange
        Changes that the other operator made.
    manifest : Manifest
        The current version.
    """

    code = "table_conflict"

    def __init__(self, changes, manifest):
        super().__init__(
            f"version {manifest.version} by {manifest.author or 'unknown'} came first"
        )
        self.changes = changes
        self.manifest = manifest


class Site:
    """Reads and changes the configuration in the store.

    Parameters
    ----------
    store : Store
        The platform's object store.
    clock : Clock
        Source of the versions' timestamps.
    author : str
        Author recorded in the versions.
    """

    def __init__(self, store, *, clock, author):
        self._repository = ManifestRepository(store)
        self._receipts = Receipts(store)
        self._assignments = AssignmentStore(store)
        self._clock = clock
        self._author = author

    async def read(self):
        """Return the current manifest (None before the first) and all rows."""
        manifest, _, tables = await self._repository.read_tables()
        return manifest, tables

    async def wait_in_force(self, *, seconds=IN_FORCE_SECONDS):
        """Wait until the current version is in force; return its `Spread`.

        Parameters
        ----------
        seconds : float, optional
            Longest wait; the version may not be in force afterwards.

        Raises
        ------
        StoreUnavailable
            The store did not answer, so the spread is not known.
        """
        manifest, _ = await self._repository.read()
        version = manifest.version if manifest is not None else 0
        spread = await self._read_spread(version)
        for _ in range(round(seconds / POLL_SECONDS)):
            if spread.in_force:
                break
            await asyncio.sleep(POLL_SECONDS)
            spread = await self._read_spread(version)
        return spread

    async def _read_spread(self, version):
        assignment = await self._assignments.read()
        members = assignment.members.values() if assignment is not None else ()
        domains = {member.failure_domain for member in members}
        readers = await self._receipts.list_readers(domains, version)
        return Spread(tuple(readers), tuple(sorted(domains)))

    async def history(self, *, limit):
        """Return up to `limit` manifests, the newest first."""
        return await self._repository.history(limit=limit)

    async def diff_version(self, version):
        """Return the changes that a version made.

        Raises
        ------
        SettingsError
            The version is not in the history.
        """
        newer = None
        for manifest in await self.history(limit=MAX_SEARCHED_VERSIONS):
            if newer is not None:
                old = await self._repository.read_version(manifest)
                new = await self._repository.read_version(newer)
                return diff_tables(old, new)
            if manifest.version == version:
                newer = manifest
        if newer is not None:
            return diff_tables({}, await self._repository.read_version(newer))
        raise SettingsError(
            [Finding("version", f"version {version} is not in the history")]
        )

    async def plan(self, paths):
        """Return the changes that applying some files would make.

        Raises
        ------
        SettingsError
            With all findings in the files and in the stored tables they do not replace.
        """
        _, _, old, new = await self._plan(paths)
        return diff_tables(old, new)

    async def apply(self, paths, *, base_version=0):
        """Apply the tables of some files.

        Parameters
        ----------
        paths : sequence of str
            Files; each table in them replaces the whole stored table.
        base_version : int, optional
            Version that the files are based on; 0 for the current one.

        Returns
        -------
        manifest : Manifest
            The current version.
        changes : list of RowChange
            What changed; if empty, nothing is written.

        Raises
        ------
        SettingsError
            With all findings.
        TableConflict
            Another change was written first; nothing of this one was applied.
        """
        base, object_version, old, new = await self._plan(paths)
        if base_version and base is not None and base.version != base_version:
            raise TableConflict(await self._diff_since(base_version, old), base)
        changes = diff_tables(old, new)
        if not changes:
            return base, []
        note = f"apply {', '.join(map(str, paths))}"
        try:
            manifest = await self._write(new, base, object_version, note)
        except StoreConflict:
            winner, tables = await self.read()
            raise TableConflict(diff_tables(old, tables), winner) from None
        return manifest, changes

    async def give_key(self, customer, *, note=""):
        """Issue a new key and return it with its `KeyEntry` row.

        Parameters
        ----------
        customer : str
            Customer of the key; empty for an operator's key.
        """
        key = create_key()
        row = {"note": note}
        if customer:
            row["customer"] = customer
        else:
            row["role"] = ROLE_OPERATOR

        def change(tables, salt):
            names = {each["name"] for each in tables["customers"]}
            if customer and customer not in names:
                finding = Finding("customer", f"no customer is named {customer!r}")
                raise SettingsError([finding])
            row["digest"] = digest_key(key, salt)
            tables["keys"].append(row)

        await self._apply_change(change, f"give a key to {customer or 'an operator'}")
        return key, row

    async def withdraw_key(self, name):
        """Withdraw the key whose digest starts with `name`; return its row."""
        found = {}

        def change(tables, salt):
            rows = [row for row in tables["keys"] if row["digest"].startswith(name)]
            if len(name) < MIN_KEY_NAME_LENGTH or len(rows) != 1:
                message = (
                    f"{name!r} matches {len(rows)} keys; enter at least "
                    f"{MIN_KEY_NAME_LENGTH} characters of one, see keys list"
                )
                raise SettingsError([Finding("key", message)])
            rows[0]["state"] = KEY_WITHDRAWN
            found.update(rows[0])

        await self._apply_change(change, f"withdraw key {name}")
        return found

    async def set_upstream_state(self, name, state):
        """Set the state of an upstream and return whether it exists."""
        found = []

        def change(tables, salt):
            found[:] = [
                upstream
                for pool in tables["pools"]
                for upstream in pool["upstreams"]
                if upstream["name"] == name
            ]
            for upstream in found:
                upstream["state"] = state
            tables["pools"] = [normalise("pools", row) for row in tables["pools"]]

        _, tables = await self.read()
        change(tables, "")
        if not found:
            return False
        await self._apply_change(change, f"upstream {name} is {state}")
        return True

    async def _plan(self, paths):
        rows, replaced, findings = load_files(paths)
        base, object_version, old = await self._repository.read_tables()
        for table in ROW_MODELS:
            if table not in replaced:
                rows += [_locate_stored_row(table, row) for row in old[table]]
        findings = findings + check_rows(rows) + _check_key_customers(rows, old["keys"])
        if findings:
            raise SettingsError(findings)
        new = {table: [] for table in TABLES}
        new["keys"] = old["keys"]
        for row in rows:
            new[row.table].append(normalise(row.table, row.value))
        return base, object_version, old, new

    async def _diff_since(self, version, tables):
        for manifest in await self.history(limit=MAX_SEARCHED_VERSIONS):
            if manifest.version == version:
                old = await self._repository.read_version(manifest)
                return diff_tables(old, tables)
        return []

    async def _apply_change(self, change, note):
        """Apply a commutative change, and retry it after a conflict."""
        for attempt in range(MAX_WRITE_ATTEMPTS):
            base, object_version, tables = await self._repository.read_tables()
            salt = base.salt if base is not None else create_salt()
            change(tables, salt)
            try:
                return await self._write(tables, base, object_version, note, salt)
            except StoreConflict:
                if attempt == MAX_WRITE_ATTEMPTS - 1:
                    raise TableConflict([], (await self.read())[0]) from None
                await asyncio.sleep(0)

    async def _write(self, tables, base, object_version, note, salt=""):
        return await self._repository.write(
            tables,
            base=base,
            object_version=object_version,
            author=self._author,
            note=note,
            now=self._clock.wall(),
            salt=salt,
        )


def _locate_stored_row(table, row):
    return TableRow(table, row, f"stored {table} {row['name']!r}")


def _check_key_customers(rows, keys):
    customers = {row.name for row in rows if row.table == "customers"}
    findings = []
    for key in keys:
        customer = key.get("customer", "")
        if key.get("state", KEY_ACTIVE) != KEY_ACTIVE or not customer:
            continue
        if customer not in customers:
            message = f"customer {customer!r} would be removed; withdraw the key first"
            findings.append(Finding(f"stored keys {key['digest'][:12]}", message))
    return findings
