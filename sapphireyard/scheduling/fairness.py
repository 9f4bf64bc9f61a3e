"""Weighted fair shares of service among customers."""


class FairShares:
    """Start-time fair queueing over customers, in tokens of service.

    Each customer has a start tag, which grows by the service it takes divided
    by its weight. The customer with the least tag is served next. A customer
    that returns after an idle period starts at the virtual time, so it gains
    no credit for service that it did not request.

    Parameters
    ----------
    default_weight : float, optional
        Weight of customers for which `set_weight` was never called.
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
        """Set and return the tag of a customer that begins a backlog."""
        tag = max(self.tag(customer), self._virtual_time)
        self._tags[customer] = tag
        return tag

    def advance(self, tag):
        """Advance the virtual time to the least tag of a backlogged customer."""
        self._virtual_time = max(self._virtual_time, tag)

    def charge(self, customer, tokens):
        """Charge service, or correct an earlier charge; return the new tag."""
        tag = self.tag(customer) + tokens / self.weight(customer)
        self._tags[customer] = tag
        return tag

    def forget(self, customer):
        """Drop the tag and weight of a removed customer."""
        self._tags.pop(customer, None)
        self._weights.pop(customer, None)
