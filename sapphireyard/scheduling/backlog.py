"""Counts of waiting requests by customer, and the expected wait."""


class Backlog:
    """Waiting requests by customer.

    Parameters
    ----------
    slots : dict of str to UpstreamSlots
        The group of upstreams that serves the requests.
    shares : FairShares
        Weights of customers.
    duration : MeanDuration
        Mean time for which a slot is held.
    """

    def __init__(self, slots, shares, duration):
        self._slots = slots
        self._shares = shares
        self._duration = duration
        self._counts = {}
        self._weight = 0.0

    def __contains__(self, customer):
        return customer in self._counts

    def add(self, customer):
        """Count one more waiting request."""
        if customer not in self._counts:
            self._counts[customer] = 0
            self._weight += self._shares.weight(customer)
        self._counts[customer] += 1

    def remove(self, customer):
        """Count one waiting request fewer."""
        self._counts[customer] -= 1
        if self._counts[customer]:
            return
        del self._counts[customer]
        self._weight -= self._shares.weight(customer)

    def set_weight(self, customer, weight):
        """Set the weight of a customer."""
        if customer in self._counts:
            self._weight += weight - self._shares.weight(customer)
        self._shares.set_weight(customer, weight)

    def expected_wait(self, customer):
        """Return the seconds until all waiting requests of a customer can start.

        Infinity when no upstream is up.
        """
        ahead = self._counts.get(customer, 0)
        if not ahead:
            return 0.0
        room = sum(s.batch_limit for s in self._slots.values() if s.is_up)
        if not room:
            return float("inf")
        share = self._shares.weight(customer) / self._weight
        return ahead * self._duration.seconds / room / share
