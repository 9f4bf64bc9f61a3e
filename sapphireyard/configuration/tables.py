"""The tables that operators write: row classes, checks and conversion."""

import ipaddress
import math
from dataclasses import dataclass, field
from functools import partial

from pydantic import ValidationError

from sapphireyard.configuration.generated_tables import CustomerRow, PoolRow, RouteRow
from sapphireyard.exceptions import Finding

ROW_MODELS = {"routes": RouteRow, "pools": PoolRow, "customers": CustomerRow}
"""Model of the rows of each table that a table file may contain."""

NAME_FIELDS = {"keys": "digest"}
"""Field that identifies a row, for tables where it is not ``name``."""

PUBLIC_CUSTOMER = "public"
"""Customer of calls without a key on open routes; reserved, not in tables."""

KEY_ACTIVE = "active"
KEY_WITHDRAWN = "withdrawn"
ROLE_CUSTOMER = "customer"
ROLE_OPERATOR = "operator"

MAX_PORT = 65535


@dataclass(frozen=True)
class Route:
    """A name that callers use; see ``schema/tables.yaml`` for the fields."""

    name: str
    kind: str
    pool: str
    repeatable: bool
    open: bool = False
    timeout_seconds: float = 120.0
    customers: tuple = ()
    hedge: bool = False
    path: str = ""


@dataclass(frozen=True)
class Upstream:
    """One back end of a pool."""

    name: str
    address: str
    fencing: str = "ignore"
    state: str = "active"
    role: str = ""


@dataclass(frozen=True)
class Model:
    """A model or adapter to keep loaded."""

    name: str
    version: str = ""


@dataclass(frozen=True)
class Pool:
    """Upstreams that serve the same routes."""

    name: str
    upstreams: tuple[Upstream, ...]
    batch_size: int = 16
    kv_tokens: int = 64_000
    prefill_rate: float = 8_000.0
    decode_seconds: float = 0.02
    models: tuple[Model, ...] = ()
    adapters: tuple[Model, ...] = ()
    latency_weight: float = 0.5
    service_concurrency: int = 8


@dataclass(frozen=True)
class Customer:
    """A customer and its limits."""

    name: str
    rate: float
    burst: float
    weight: float = 1.0
    idle_seconds: float = 3600.0
    total_seconds: float = 86400.0
    budget_tokens: int = 0
    budget_calls: int = 0
    budget_seconds: float = 0.0


@dataclass(frozen=True)
class KeyEntry:
    """An issued key; only its salted digest is stored."""

    digest: str
    role: str = ROLE_CUSTOMER
    customer: str = ""
    state: str = KEY_ACTIVE
    note: str = ""

    @property
    def name(self):
        """str: Short form of the digest, by which operators name the key."""
        return self.digest[:12]


@dataclass(frozen=True)
class Configuration:
    """One version of all tables.

    Attributes
    ----------
    version : int
        Increases with each change.
    salt : str
        Hex salt of key digests.
    routes, pools, customers : dict
        Rows by name.
    keys : dict
        `KeyEntry` by digest.
    """

    version: int
    salt: str = ""
    routes: dict = field(default_factory=dict)
    pools: dict = field(default_factory=dict)
    customers: dict = field(default_factory=dict)
    keys: dict = field(default_factory=dict)

    def is_withdrawn(self, key_digest):
        """Return whether a key was withdrawn or was never issued."""
        entry = self.keys.get(key_digest)
        return entry is None or entry.state != KEY_ACTIVE


@dataclass(frozen=True)
class TableRow:
    """A row to check, with its location in a table file or in the store."""

    table: str
    value: object
    place: str

    @property
    def name(self):
        """str: The row's name, empty when it has none."""
        name = self.value.get("name", "") if isinstance(self.value, dict) else ""
        return name if isinstance(name, str) else ""

    def build_finding(self, path, message):
        """Return a `Finding` for the field at `path` of this row."""
        return Finding(f"{self.place}, {path}" if path else self.place, message)


def check_rows(rows):
    """Return all findings in the rows of all tables.

    Parameters
    ----------
    rows : sequence of TableRow
        The rows of routes, pools and customers.
    """
    findings = []
    for row in rows:
        findings += _check_fields(row)
    mappings = [row for row in rows if isinstance(row.value, dict)]
    findings += _check_duplicates(mappings)
    findings += _check_routes(mappings)
    findings += _check_upstreams(mappings)
    findings += _check_customers(mappings)
    return findings


def normalise(table, value):
    """Return a checked row as plain data without fields that equal their default."""
    model = ROW_MODELS[table].model_validate(value)
    return model.model_dump(exclude_defaults=True)


def build_configuration(version, salt, tables):
    """Return the `Configuration` of stored rows; unknown fields are ignored.

    Parameters
    ----------
    version : int
        Version of the manifest.
    salt : str
        Hex salt of key digests.
    tables : dict
        Lists of rows (plain data) by table: routes, pools, customers, keys.
    """
    built = {table: build_rows(table, tables.get(table, ())) for table in ROW_BUILDERS}
    return Configuration(version=version, salt=salt, **built)


def build_rows(table, rows):
    """Return the row objects of a table's rows (plain data) by name."""
    build = ROW_BUILDERS[table]
    field = NAME_FIELDS.get(table, "name")
    return {row[field]: build(row) for row in rows}


def _build(row_class, row):
    known = row_class.__dataclass_fields__
    values = {name: value for name, value in row.items() if name in known}
    for name, value in values.items():
        if isinstance(value, list):
            values[name] = tuple(value)
    return row_class(**values)


def _build_pool(row):
    parts = {
        "upstreams": [_build(Upstream, each) for each in row["upstreams"]],
        "models": [_build(Model, each) for each in row.get("models", ())],
        "adapters": [_build(Model, each) for each in row.get("adapters", ())],
    }
    return _build(Pool, {**row, **parts})


ROW_BUILDERS = {
    "routes": partial(_build, Route),
    "pools": _build_pool,
    "customers": partial(_build, Customer),
    "keys": partial(_build, KeyEntry),
}
"""Function that builds the row object of a row, by table."""


def _check_fields(row):
    try:
        model = ROW_MODELS[row.table].model_validate(row.value)
    except ValidationError as error:
        return [
            row.build_finding(_join_path(entry["loc"]), entry["msg"])
            for entry in error.errors()
        ]
    return [
        row.build_finding(name, "must be a finite number")
        for name, value in model.model_dump().items()
        if isinstance(value, float) and not math.isfinite(value)
    ]


def _join_path(location):
    path = ""
    for step in location:
        path += f"[{step}]" if isinstance(step, int) else f".{step}"
    return path.removeprefix(".")


def _check_duplicates(rows):
    findings = []
    seen = {}
    for row in rows:
        if not row.name:
            continue
        first = seen.setdefault((row.table, row.name), row)
        if first is not row:
            findings.append(
                row.build_finding(
                    "name", f"{row.name!r} is already defined at {first.place}"
                )
            )
    return findings


def _names(rows, table):
    return {row.name for row in rows if row.table == table}


def _check_routes(rows):
    findings = []
    pools = _names(rows, "pools")
    customers = _names(rows, "customers")
    kinds = {}
    for row in rows:
        if row.table != "routes":
            continue
        pool, kind = row.value.get("pool"), row.value.get("kind")
        if isinstance(pool, str) and pool not in pools:
            findings.append(row.build_finding("pool", f"no pool is named {pool!r}"))
        elif isinstance(pool, str) and kinds.setdefault(pool, kind) != kind:
            message = f"pool {pool!r} serves routes of kind {kinds[pool]!r}"
            findings.append(row.build_finding("kind", message))
        if kind == "service" and "/" in row.name:
            findings.append(
                row.build_finding(
                    "name", "the name of a service route must not contain /"
                )
            )
        if row.value.get("hedge") is True and row.value.get("repeatable") is False:
            findings.append(
                row.build_finding("hedge", "only repeatable routes may hedge")
            )
        allowed = row.value.get("customers")
        for index, name in enumerate(allowed if isinstance(allowed, list) else ()):
            if isinstance(name, str) and name not in customers:
                message = f"no customer is named {name!r}"
                findings.append(row.build_finding(f"customers[{index}]", message))
    return findings


def _check_upstreams(rows):
    findings = []
    names, addresses = {}, {}
    for row in rows:
        upstreams = row.value.get("upstreams") if row.table == "pools" else None
        for index, upstream in enumerate(
            upstreams or () if _is_list(upstreams) else ()
        ):
            if not isinstance(upstream, dict):
                continue
            path = f"upstreams[{index}]"
            for key, seen in (("name", names), ("address", addresses)):
                value = upstream.get(key)
                if not isinstance(value, str):
                    continue
                if value in seen:
                    message = f"{value!r} is already defined at {seen[value]}"
                    findings.append(row.build_finding(f"{path}.{key}", message))
                seen.setdefault(value, f"{row.place}, {path}")
            if not _is_address(upstream.get("address")):
                findings.append(row.build_finding(f"{path}.address", "must be IP:PORT"))
    return findings


def _is_list(value):
    return isinstance(value, list)


def _is_address(text):
    if not isinstance(text, str):
        return True  # The field check reports it.
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
        return 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def _check_customers(rows):
    return [
        row.build_finding("name", f"{PUBLIC_CUSTOMER!r} is reserved for open routes")
        for row in rows
        if row.table == "customers" and row.name == PUBLIC_CUSTOMER
    ]
