"""The slots that this host holds, and the local fallback when no home answers."""

from dataclasses import dataclass, field

from sapphireyard.exceptions import CallError
from sapphireyard.scheduling.generated_slots import HeldSlot, SlotHeartbeat
from sapphireyard.scheduling.scheduling import copy_fields

LOCAL_RETRY_SECONDS = 1.0
"""Time after which to retry when the local bound is reached."""


class HeldSlots:
    """Slots that this host holds, by group."""

    def __init__(self):
        self._groups = {}
        self._unknown = {}

    @property
    def groups(self):
        """list of Group: Groups with held slots."""
        return [group for group, _ in self._groups.values()]

    def count_on(self, group, upstream):
        """Return the number of slots held on an upstream."""
        _, slots = self._groups.get(group.key, (group, {}))
        return sum(slot.upstream == upstream for slot in slots.values())

    def add(self, group, request, upstream):
        """Record that a request holds a slot of an upstream."""
        _, slots = self._groups.setdefault(group.key, (group, {}))
        slots[request.request_id] = HeldSlot(
            **copy_fields(request),
            request_id=request.request_id,
            upstream=upstream,
        )

    def remove(self, group, request_id):
        """Remove a slot that was returned."""
        _, slots = self._groups.get(group.key, (group, {}))
        slots.pop(request_id, None)
        if not slots:
            self._groups.pop(group.key, None)
            self._unknown.pop(group.key, None)

    def build_heartbeat(self, group):
        """Return the heartbeat for the home of a group.

        It has the details of the slots that the home's last answer did not know.
        """
        _, slots = self._groups.get(group.key, (group, {}))
        unknown = self._unknown.pop(group.key, ())
        return SlotHeartbeat(
            pool=group.pool,
            group=group.number,
            held=sorted(slots),
            details=[slots[name] for name in unknown if name in slots],
        )

    def apply_answer(self, group, answer):
        """Record which slots the home does not know; return whether there are any."""
        if answer.unknown:
            self._unknown[group.key] = tuple(answer.unknown)
        return bool(answer.unknown)


@dataclass
class LocalFallback:
    """Local choice of an upstream while the home cannot be reached.

    Each host uses at most its part of every upstream's batch, so that all
    hosts together stay within it. With more hosts than the batch has slots,
    each may still use one.

    Parameters
    ----------
    held : HeldSlots
        Slots of this host.
    """

    held: HeldSlots = field(default_factory=HeldSlots)

    def choose(self, group, request, bound):
        """Return the name of the least loaded upstream.

        Parameters
        ----------
        group : Group
            Upstreams to choose from.
        request : SlotRequest
            Its excluded upstreams are avoided.
        bound : int
            Slots of each upstream that this host may take.

        Raises
        ------
        CallError
            ``overloaded``: this host's part of every upstream is in use.
        """
        loads = {
            upstream.name: self.held.count_on(group, upstream.name)
            for upstream in group.upstreams
            if upstream.name not in request.excluded
        }
        name = min(loads, key=lambda name: (loads[name], name), default=None)
        if name is None or loads[name] >= bound:
            raise CallError(
                "overloaded",
                f"the scheduler of pool {group.pool!r} cannot be reached, "
                "and no local slot is free",
                retry_after=LOCAL_RETRY_SECONDS,
            )
        return name
