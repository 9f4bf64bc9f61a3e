"""The configuration in force: routes, services and customers."""

import hashlib
from dataclasses import dataclass, field
from functools import cached_property

import xxhash

from sapphireyard.fleet.quotas import QuotaRule


@dataclass(frozen=True)
class EngineLimits:
    """Capacity of a model engine.

    Parameters
    ----------
    slots : int
        Requests that run concurrently.
    kv_tokens : int
        Capacity of the KV cache in tokens.
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
        Name by which upstreams state the service that they provide.
    connections : int
        Connections that each upstream accepts, over all hosts.
    engine : EngineLimits or None
        None for plain services.
    cold_rate : float
        Requests per second that a cold upstream takes from all hosts; 0 without a
        limit.
    cold_seconds : float
        Time for which an upstream is cold after its start.
    """

    name: str
    connections: int
    engine: EngineLimits | None = None
    cold_rate: float = 0.0
    cold_seconds: float = 0.0


@dataclass(frozen=True)
class Route:
    """Rules for the requests to one host name and path prefix.

    Parameters
    ----------
    name, host, prefix : str
        Name, host name in the callers' URL, and prefix of its path.
    repeatable : bool
        The request may run more than once.
    streaming : bool
        The answer is a stream of events.
    timeout, target_latency : float
        Longest time until the answer ends, and time within which the answer is worth
        most; seconds.
    priority : int
        0 is the highest.
    targets : tuple of (str, float)
        Services and their weights.
    attempts : int
        Maximum number of upstreams that one request is sent to.
    retention : float or None
        Seconds for which turns are kept; None if they are not kept.
    public : bool
        No key is needed.
    regions : frozenset of str
        Regions that its requests may be sent to; empty without a limit.
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
    regions: frozenset = frozenset()

    def choose_service(self, key):
        """Return the name of the service for a request, chosen by weight.

        Requests with the same key go to the same service until the weights change.
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
    """A customer of the deployment.

    Parameters
    ----------
    name : str
        Name that is sent to upstreams.
    quota : QuotaRule or None
        Requests allowed over all hosts; None without a limit.
    priority : int or None
        Overrides the priority of a route.
    regions : frozenset of str
        Regions that its requests may be sent to; empty without a limit.
    """

    name: str
    quota: QuotaRule | None = None
    priority: int | None = None
    regions: frozenset = frozenset()


@dataclass(frozen=True)
class RequestLimits:
    """Size limits of requests, and time limits for their headers and idleness."""

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
        Increases with each change.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        Services by name.
    customers : dict of str to Customer
        Customers by name.
    keys : dict of bytes to str
        Names of customers by the digests of their keys; the keys are not stored.
    limits : RequestLimits
        Limits for callers.
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

    @cached_property
    def longest_retention(self):
        """float: Longest retention of all routes, in seconds; 0 if none keeps turns."""
        return max((route.retention or 0.0 for route in self.routes), default=0.0)

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

    def find_tokens_per_event(self, service):
        """Return the tokens that each event of a service counts.

        Returns
        -------
        int or None
            1 for a service that states no engine; None if there is no such service.
        """
        found = self.services.get(service)
        if found is None:
            return None
        return found.engine.tokens_per_event if found.engine else 1

    def find_quota(self, name):
        """Return the `QuotaRule` of a customer by name; None without a limit.

        Raises
        ------
        KeyError
            There is no such customer in this version.
        """
        return self.customers[name].quota
