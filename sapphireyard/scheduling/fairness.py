"""Weighted fair shares of service among customers."""


class FairShares:
    """Start-time fair queueing over customers, in tokens of service.

    Each customer has a start tag, which grows by the service it takes divided
    by its weight. The customer with the least tag is served next. A customer
    that comes back after a pause starts at the virtual time and so gets no
    credit for what it did not ask for.

    Parameters
    ----------
    default_weight : float, optional
        Weight of customers that `set_weight` never named.
    """

    def __init__(self, *, default_weight=1.0):
        self._default_weight = default_weight
        self._weights = {}
        self._tags = {}
        self._virtual_time = 0.0

    def set_weight(self, customer, weight):
        """Set the weight of a customer; it applies to later service."""
        if weight <= 0:
            raise ValueError(f"weight of {customer} must be positive")
        self._weights[customer] = weight

    def weight(self, customer):
        """Return the weight of a customer."""
        return self._weights.get(customer, self._default_weight)

    def tag(self, customer):
        """Return the start tag of a customer."""
        return self._tags.get(customer, self._virtual_time)

    def activate(self, customer):
        """Return the tag with which a customer without a backlog joins."""
        tag = max(self.tag(customer), self._virtual_time)
        self._tags[customer] = tag
        return tag

    def advance(self, tag):
        """Move the virtual time up to the least tag among the backlogged."""
        self._virtual_time = max(self._virtual_time, tag)

    def charge(self, customer, tokens):
        """Account for service, or correct a charge; return the new tag."""
        tag = self.tag(customer) + tokens / self.weight(customer)
        self._tags[customer] = tag
        return tag

    def forget(self, customer):
        """Drop the tag and weight of a customer that is no more."""
        self._tags.pop(customer, None)
        self._weights.pop(customer, None)
