"""The configuration in force: routes, services and customers."""

import hashlib
from dataclasses import dataclass, field

import xxhash

from sapphireyard.fleet.quotas import QuotaRule


@dataclass(frozen=True)
class EngineLimits:
    """What a model engine can carry.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    kv_tokens : int
        Tokens of KV memory.
    tokens_per_event : int
        Tokens generated for each event of a stream.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int


@dataclass(frozen=True)
class Service:
    """A kind of upstream.

    Parameters
    ----------
    name : str
        Name by which upstreams say what they are.
    connections : int
        Connections that each upstream accepts from all hosts together.
    engine : EngineLimits or None
        None for plain services.
    """

    name: str
    connections: int
    engine: EngineLimits | None = None


@dataclass(frozen=True)
class Route:
    """What is allowed to requests of one host name and path.

    Parameters
    ----------
    name, host, prefix : str
        Name, host name of the callers' URL, and beginning of its path.
    repeatable : bool
        The request may run more than once.
    streaming : bool
        The answer is a stream of events.
    timeout, target_latency : float
        Longest time until the answer ends, and time in which it is worth most;
        seconds.
    priority : int
        0 goes first.
    targets : tuple of (str, float)
        Services and their weights.
    attempts : int
        Most upstreams that one request may be sent to.
    retention : float or None
        Seconds for which turns are kept; None where nothing is kept.
    public : bool
        No key is needed.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    streaming: bool
    timeout: float
    target_latency: float
    priority: int
    targets: tuple
    attempts: int = 1
    retention: float | None = None
    public: bool = False

    def choose_service(self, key):
        """Return the name of the service for a request, by the weights.

        Requests with the same key go to the same service while the weights stay.
        """
        total = sum(weight for _, weight in self.targets)
        point = xxhash.xxh3_64_intdigest(key.encode()) / 2**64 * total
        for name, weight in self.targets:
            point -= weight
            if point < 0:
                return name
        return self.targets[-1][0]


@dataclass(frozen=True)
class Customer:
    """Who calls.

    Parameters
    ----------
    name : str
        Name that upstreams are told.
    quota : QuotaRule or None
        Requests allowed over all hosts; None without a limit.
    priority : int or None
        Goes before the priority of a route.
    """

    name: str
    quota: QuotaRule | None = None
    priority: int | None = None


@dataclass(frozen=True)
class RequestLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 5.0
    idle_seconds: float = 60.0


def digest_key(key):
    """Return the digest by which a caller's key is looked up."""
    return hashlib.blake2b(key.encode(), digest_size=16).digest()


@dataclass(frozen=True)
class RouteTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Grows with each change.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        Services by name.
    customers : dict of str to Customer
        Customers by name.
    keys : dict of bytes to str
        Names of customers by the digests of their keys; no key is kept.
    limits : RequestLimits
        What a caller may send.
    """

    version: int = 0
    routes: tuple = ()
    services: dict = field(default_factory=dict)
    customers: dict = field(default_factory=dict)
    keys: dict = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()

    def __post_init__(self):
        by_host = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        object.__setattr__(self, "_by_host", by_host)

    def find_route(self, host, path):
        """Return the route with the longest prefix of `path`, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_customer(self, key):
        """Return the `Customer` who holds a key, or None."""
        name = self.keys.get(digest_key(key)) if key else None
        return self.customers.get(name)

    def find_quota(self, name):
        """Return the `QuotaRule` of a customer by name, or None."""
        customer = self.customers.get(name)
        return customer.quota if customer else None
