"""A common queue of all hosts for each service that model engines provide.

One active host, the home, grants slots to all while a service is busy. A host that
gets no answer from the home grants its own slots as if there were no home. A slot is
held as long as the exchange between the two hosts lasts: it is free again when the
asking host ends the exchange, or when the connection does.
"""

import asyncio
import contextlib
import itertools
import logging
from contextlib import asynccontextmanager

from sapphireyard.exceptions import CallError, PeerError
from sapphireyard.exchange import generated_shared_queues
from sapphireyard.exchange.generated_shared_queues import (
    SharedSlotAsk,
    SharedSlotGrant,
)
from sapphireyard.scheduling.queue_home import QueueHost, choose_queue_home
from sapphireyard.scheduling.scheduling import Grant, SlotRequest, copy_fields

logger = logging.getLogger(__name__)

HOLD_SECONDS = 30.0
"""Longest time for which a slot is held: longer than any request may take."""
MARGIN_SECONDS = 0.1
"""Time after a request's last use of a slot for which the home's refusal is awaited."""


class SharedQueues:
    """Asks homes for slots, and serves as a home.

    Parameters
    ----------
    runtime : Runtime
        Provides the host's name, peers, gossip and clock.
    pools : UpstreamPools
        Grants slots of upstreams to this host, and as a home to others.
    """

    def __init__(self, runtime, pools):
        self._runtime = runtime
        self._pools = pools
        self._numbers = itertools.count(1)
        self._services = []
        self._homes = {}
        self._awaited = {}
        runtime.peers.codec.register_module(generated_shared_queues)
        runtime.peers.register_stream(SharedSlotAsk, self._serve)

    def set_services(self, names):
        """Set the names of the services that have a common queue."""
        self._services = sorted(names)
        self._homes = {}

    def update(self, now):
        """Choose the homes anew, and stop waiting for those that are silent."""
        hosts = self._list_hosts(now)
        for rank, service in enumerate(self._services):
            home = choose_queue_home(hosts, rank) if len(hosts) > 1 else None
            if home != self._homes.get(service):
                logger.info(
                    "home of a queue",
                    extra={"decision": "queue_home", "pool": service, "home": home},
                )
            self._homes[service] = home
        live = {each.name for each in hosts}
        loop = asyncio.get_running_loop()
        for scope, home in self._awaited.items():
            if home not in live and not scope.expired():
                scope.reschedule(loop.time())

    def is_home(self, service):
        """Return whether this host is the home of a service's queue."""
        return self._homes.get(service) == self._runtime.host

    def find_home(self, service):
        """Return the home of a service's queue if it is another host, else None."""
        home = self._homes.get(service)
        return None if home == self._runtime.host else home

    @asynccontextmanager
    async def hold(self, home, request, *, upstream_hint=""):
        """Hold a slot that the home of a service grants.

        Parameters
        ----------
        home : str
            The home, from `find_home`.
        request : SlotRequest
            The request.
        upstream_hint : str, optional
            Upstream that served the program's last turn.

        Yields
        ------
        Grant or None
            The slot; None if the home did not answer.

        Raises
        ------
        CallError
            ``overloaded``: the home refused the request.
        """
        ask = self._build_ask(request, upstream_hint)
        stream = self._runtime.peers.stream(home, ask, timeout=HOLD_SECONDS)
        async with contextlib.aclosing(stream) as answers:
            yield await self._await_grant(home, answers, request)

    async def _await_grant(self, home, answers, request):
        seconds = max(0.0, request.deadline - self._now()) + MARGIN_SECONDS
        scope = asyncio.timeout(seconds)
        try:
            async with scope:
                self._awaited[scope] = home
                answer = await anext(answers)
                return Grant(
                    request,
                    answer.upstream,
                    answer.reason,
                    (),
                    cached_tokens=answer.cached_tokens,
                    kept_tokens=answer.kept_tokens,
                )
        except CallError as error:
            if error.code == "overloaded":
                raise
            failure = error
        except (PeerError, TimeoutError, StopAsyncIteration) as error:
            failure = error
        finally:
            self._awaited.pop(scope, None)
        logger.info(
            "no slot from the home of a queue",
            extra={
                "decision": "queue_home",
                "pool": request.pool,
                "home": home,
                "program": request.program,
                "error": repr(failure),
            },
        )
        return None

    async def _serve(self, message, context):
        """Grant a slot to another host, and hold it while the exchange lasts."""
        now = self._now()
        request = SlotRequest(
            **copy_fields(message),
            pool=message.pool,
            expected_tokens=message.expected_tokens,
            deadline=now + message.seconds_left,
            excluded=tuple(message.excluded),
            priority=message.priority,
            aim_at=now + message.aim_seconds,
            started=message.started,
            prompt_parts=tuple(zip(message.part_ids, message.part_tokens)),
            request_id=f"{context.host}/{next(self._numbers)}",
            holder=context.host,
        )
        async with self._pools.grant(
            request, upstream_hint=message.upstream_hint
        ) as grant:
            yield SharedSlotGrant(
                grant.upstream, grant.reason, grant.cached_tokens, grant.kept_tokens
            )
            await asyncio.sleep(HOLD_SECONDS)

    def _build_ask(self, request, upstream_hint):
        now = self._now()
        return SharedSlotAsk(
            **copy_fields(request),
            pool=request.pool,
            expected_tokens=request.expected_tokens,
            seconds_left=round(request.deadline - now, 4),
            aim_seconds=round(request.aim_at - now, 4),
            priority=request.priority,
            started=request.started,
            excluded=list(request.excluded),
            part_ids=[name for name, _ in request.prompt_parts],
            part_tokens=[tokens for _, tokens in request.prompt_parts],
            upstream_hint=upstream_hint,
        )

    def _list_hosts(self, now):
        """Return the active hosts in touch as `QueueHost`, this one included."""
        gossip = self._runtime.gossip
        hosts = [
            QueueHost(
                member.heartbeat.host,
                member.heartbeat.cores,
                member.heartbeat.effort,
                member.heartbeat.isolated,
                member.heartbeat.leaving,
            )
            for member in gossip.membership.list_active(now)
        ]
        if gossip.membership.active:
            hosts.append(
                QueueHost(
                    self._runtime.host,
                    self._runtime.settings.cores,
                    gossip.effort,
                    self._pools.links.is_avoided(now),
                )
            )
        return hosts

    def _now(self):
        return self._runtime.clock.monotonic()
