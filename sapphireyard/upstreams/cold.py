"""Upstreams that are cold: how many requests they take, and how long."""

from sapphireyard.upstreams.rates import ColdRate


class ColdUpstreams:
    """Tells `UpstreamRates` which upstreams are cold.

    Handles upstreams that start or come back during traffic, up to a whole failure
    domain: they are idle, so that all hosts would prefer them at the same time. They
    get requests at a rate that they bear; others go to warm upstreams, or are refused
    with the time after which a cold one takes them.

    Half of what the bound allows above the rate is for hosts that send at the same
    moment, the other half for hosts that know different parts of the fleet.

    Parameters
    ----------
    rates : UpstreamRates
        Keeps the requests of all hosts within the rates.
    """

    def __init__(self, rates):
        self._rates = rates
        self._services = {}
        self._over = 1.0
        self._slack = 0.0

    def set_bound(self, *, over, slack):
        """Set how many requests a cold upstream may get in one second.

        Parameters
        ----------
        over : float
            Factor of its rate.
        slack : float
            Requests beyond that.
        """
        self._over = over
        self._slack = slack

    def set_services(self, services):
        """Apply the services of a configuration."""
        self._services = services

    def note_listed(self, upstream, now):
        """Record what an upstream's entry tells."""
        self._note(upstream, upstream.cold_until, now)

    def note_back(self, upstream, now):
        """Record that an upstream is usable again.

        It may have restarted, and its entry may still be that of its earlier run.
        """
        service = self._services.get(upstream.service)
        if service is not None:
            self._note(upstream, now + service.cold_seconds, now)

    def _note(self, upstream, until, now):
        service = self._services.get(upstream.service)
        if service is None or not service.cold_rate or until <= now:
            return
        rate = service.cold_rate
        spare = (self._over - 1.0) * rate + self._slack
        cold = ColdRate(upstream.started_at, rate, max(1, int(spare / 2)), until)
        self._rates.note_cold(upstream, cold, now)
