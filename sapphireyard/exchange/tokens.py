"""Tokens of customers' rates, taken here or from an active host."""

import logging

from sapphireyard.exceptions import CallError, PeerError
from sapphireyard.fleet import generated_quotas
from sapphireyard.fleet.generated_quotas import TokenGrant, TokenRequest, TokenReturn

logger = logging.getLogger(__name__)

ASK_SECONDS = 0.15
"""Longest wait for one active host, which is in the same failure domain."""
ASKED_HOSTS = 2
"""Active hosts that are asked, so that one may be lost."""
RETRY_SECONDS = 0.3
"""Retry-After while no active host answers: several of their heartbeats."""


class TokenService:
    """Takes a token for each request that an entry host serves.

    Active hosts count each other's requests and take tokens from their own buckets. A
    host that stands by is heard by few others, so it asks an active one, which counts
    the request like its own. Handles callers that have not learned yet that a host
    stands by; however many such hosts there are, they add nothing to a rate.

    Parameters
    ----------
    runtime : Runtime
        Provides quotas, peers, gossip, configuration and clock.
    """

    def __init__(self, runtime):
        self._runtime = runtime
        runtime.peers.codec.register_module(generated_quotas)
        runtime.peers.register(TokenRequest, self._serve_request)
        runtime.peers.register(TokenReturn, self._serve_return)

    async def take(self, admitted):
        """Take a token for a request.

        Parameters
        ----------
        admitted : AdmittedRequest
            The request; its customer has a limit.

        Returns
        -------
        float
            0 if the request is admitted, else the seconds after which a retry may
            succeed.

        Raises
        ------
        CallError
            ``overloaded``: this host stands by, and no active one answers.
        """
        customer = admitted.customer
        opening = admitted.opens_program
        urgent = admitted.priority == 0
        if self._runtime.gossip.membership.active or customer.quota is None:
            admitted.token_host = ""
            return self._take_here(customer.name, customer.quota, opening, urgent)
        return await self._ask(admitted, TokenRequest(customer.name, opening, urgent))

    def give_back(self, admitted):
        """Return the token of a request that was not sent to any upstream."""
        customer = admitted.customer
        if admitted.token_host:
            message = TokenReturn(customer.name)
            self._runtime.peers.tell(admitted.token_host, message)
            return
        self._runtime.quotas.refund(customer.name, customer.quota, self._now())

    def _take_here(self, customer, rule, opening, urgent):
        return self._runtime.quotas.admit(
            customer, rule, self._now(), opening=opening, urgent=urgent
        )

    async def _ask(self, admitted, message):
        hosts = self._runtime.gossip.rotation.list_contacts(self._now())
        for host in [h for h in hosts if h != self._runtime.host][:ASKED_HOSTS]:
            try:
                grant = await self._runtime.peers.ask(
                    host, message, timeout=ASK_SECONDS
                )
            except (PeerError, CallError) as error:
                logger.info("no token from host %s: %s", host, error)
                continue
            admitted.token_host = host
            return grant.wait
        raise CallError(
            "overloaded",
            "this host stands by, and no active host answers",
            retry_after=RETRY_SECONDS,
        )

    async def _serve_request(self, message, context):
        if not self._runtime.gossip.membership.active:
            raise CallError("overloaded", "this host stands by too")
        rule = self._find_quota(message.customer)
        wait = self._take_here(message.customer, rule, message.opening, message.urgent)
        return TokenGrant(wait)

    async def _serve_return(self, message, context):
        rule = self._find_quota(message.customer)
        self._runtime.quotas.refund(message.customer, rule, self._now())

    def _find_quota(self, customer):
        try:
            return self._runtime.configuration.table.find_quota(customer)
        except KeyError:
            raise CallError(
                "overloaded", f"customer {customer!r} is not known here yet"
            ) from None

    def _now(self):
        return self._runtime.clock.monotonic()
