"""Waiting requests by affinity to an upstream and by customer."""

from collections import OrderedDict
from dataclasses import dataclass

from sortedcontainers import SortedList

from sapphireyard.scheduling.order import OrderKey
from sapphireyard.scheduling.scheduling import SlotRequest

ANY = ""
"""Affinity of a request without a preferred upstream."""


@dataclass
class WaitingRequest:
    """A request in the queue.

    Parameters
    ----------
    request : SlotRequest
        The submitted request.
    customer : str
        Customer whose share is charged.
    affinity : str
        Upstream that holds the program's prefix, or `ANY`.
    key : OrderKey
        Sort key among the customer's requests.
    submitted : float
        Time of submission.
    """

    request: SlotRequest
    customer: str
    affinity: str
    key: OrderKey
    submitted: float


class _CustomerQueue:
    """The requests of one customer with one affinity."""

    def __init__(self):
        self._by_key = SortedList()
        self._by_arrival = OrderedDict()

    def __len__(self):
        return len(self._by_arrival)

    def add(self, waiting):
        self._by_key.add((waiting.key, waiting.request.request_id))
        self._by_arrival[waiting.request.request_id] = waiting

    def remove(self, waiting):
        self._by_key.remove((waiting.key, waiting.request.request_id))
        del self._by_arrival[waiting.request.request_id]

    def head(self, is_aged):
        oldest = next(iter(self._by_arrival.values()))
        if is_aged(oldest):
            return oldest
        return self._by_arrival[self._by_key[0][1]]

    def items(self):
        return list(self._by_arrival.values())


class RequestQueues:
    """All waiting requests of a group of upstreams.

    The candidates for an upstream are the heads of each affinity: the first
    requests of the customers, those with the least tag first.
    """

    def __init__(self):
        self._queues = {}
        self._tags = {}
        self._by_tag = SortedList()
        self._customers_by_affinity = {}
        self._affinities = {}
        self._lengths = {}

    @property
    def least_tag(self):
        """float: Least tag of a customer with a waiting request."""
        return self._by_tag[0][0]

    def length(self, affinity):
        """Return the number of requests with this affinity."""
        return self._lengths.get(affinity, 0)

    def affinities(self):
        """Return the affinities with waiting requests."""
        return self._customers_by_affinity.keys()

    def has_customer(self, customer):
        """Return whether a customer has a waiting request."""
        return customer in self._affinities

    def add(self, waiting, tag):
        """Add a request of a customer whose tag is `tag`."""
        if waiting.customer not in self._tags:
            self._tags[waiting.customer] = tag
            self._by_tag.add((tag, waiting.customer))
        name = (waiting.affinity, waiting.customer)
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = _CustomerQueue()
            index = self._customers_by_affinity.setdefault(
                waiting.affinity, SortedList()
            )
            index.add((tag, waiting.customer))
            self._affinities.setdefault(waiting.customer, set()).add(waiting.affinity)
        queue.add(waiting)
        self._lengths[waiting.affinity] = self.length(waiting.affinity) + 1

    def remove(self, waiting):
        """Remove a waiting request."""
        name = (waiting.affinity, waiting.customer)
        queue = self._queues[name]
        queue.remove(waiting)
        self._lengths[waiting.affinity] -= 1
        if queue:
            return
        del self._queues[name]
        self._drop_queue(waiting.affinity, waiting.customer)

    def set_tag(self, customer, tag):
        """Set the tag of a customer."""
        old = self._tags.get(customer)
        if old is None or old == tag:
            return
        self._tags[customer] = tag
        self._by_tag.remove((old, customer))
        self._by_tag.add((tag, customer))
        for affinity in self._affinities[customer]:
            self._customers_by_affinity[affinity].remove((old, customer))
            self._customers_by_affinity[affinity].add((tag, customer))

    def tag(self, customer):
        """Return the tag of a customer with a waiting request."""
        return self._tags[customer]

    def heads(self, affinity, is_aged):
        """Yield the next request of each customer in the order of their tags.

        Parameters
        ----------
        affinity : str
            Upstream or `ANY`.
        is_aged : callable
            Returns whether the oldest request of a customer has aged and so
            goes before its others.
        """
        for _, customer in self._customers_by_affinity.get(affinity, ()):
            yield self._queues[(affinity, customer)].head(is_aged)

    def set_affinity(self, waiting, affinity):
        """Change the affinity of a waiting request."""
        tag = self._tags[waiting.customer]
        self.remove(waiting)
        waiting.affinity = affinity
        self.add(waiting, tag)

    def with_affinity(self, affinity):
        """Return all requests with this affinity."""
        customers = [
            customer for _, customer in self._customers_by_affinity.get(affinity, ())
        ]
        queues = [self._queues[(affinity, customer)] for customer in customers]
        return [waiting for queue in queues for waiting in queue.items()]

    def _drop_queue(self, affinity, customer):
        index = self._customers_by_affinity[affinity]
        index.remove((self._tags[customer], customer))
        if not index:
            del self._customers_by_affinity[affinity]
        affinities = self._affinities[customer]
        affinities.discard(affinity)
        if not affinities:
            del self._affinities[customer]
            self._by_tag.remove((self._tags.pop(customer), customer))
