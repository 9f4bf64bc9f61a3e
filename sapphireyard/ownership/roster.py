"""Adds, marks as leaving and removes this host's entry in the assignment."""

from dataclasses import replace

from sapphireyard.exceptions import StoreConflict
from sapphireyard.ownership.assignment import (
    LEAVING,
    Member,
    create_assignment,
    plan_join,
    plan_leave,
)


class Roster:
    """Changes this host's entry among the members of the assignment.

    Parameters
    ----------
    runtime : Runtime
        Provides settings, incarnation, addresses and the recovery.
    assignments : AssignmentStore
        The assignment in the store.
    """

    def __init__(self, runtime, assignments):
        self.runtime = runtime
        self._assignments = assignments

    async def join(self):
        """Add this incarnation; return the assignment that contains it.

        If an earlier incarnation is still a member, this one takes over its
        partitions. The first member of a fleet owns all partitions.

        Raises
        ------
        StoreConflict
            A later incarnation of this host is a member.
        StoreUnavailable
            The store did not answer; the call can be repeated.
        """
        member = self._describe()
        while True:
            assignment = await self._assignments.read()
            known = (
                assignment.members.get(member.host) if assignment is not None else None
            )
            if known is not None and known.incarnation > member.incarnation:
                raise StoreConflict(
                    f"later incarnation {member.host}/{known.incarnation} "
                    "is already a member"
                )
            if known is not None and known.incarnation < member.incarnation:
                # Recovery needs the addresses of the tail holders in the assignment.
                self.runtime.ownership.adopt(assignment)
                await self.runtime.ownership.recovery.take_over(
                    member.host, known.incarnation, replacement=member
                )
            assignment = await self._assignments.change(
                lambda current: self._plan_join(current, member)
            )
            if assignment.has_member(member.host, member.incarnation):
                return assignment

    async def begin_leaving(self):
        """Mark this host as leaving; return the assignment."""
        return await self._assignments.change(self._plan_leaving)

    async def remove(self):
        """Remove this host if it owns nothing; return the assignment."""
        return await self._assignments.change(self._plan_removal)

    def _plan_join(self, assignment, member):
        if assignment is None:
            return create_assignment(
                member, partitions=self.runtime.settings.partitions
            )
        if member.host in assignment.members:
            return None
        return plan_join(assignment, member)

    def _plan_leaving(self, assignment):
        member = assignment.members.get(self.runtime.host)
        if member is None or member.incarnation != self.runtime.incarnation:
            return None
        if member.state == LEAVING:
            return None
        return plan_join(assignment, replace(member, state=LEAVING))

    def _plan_removal(self, assignment):
        if not assignment.has_member(self.runtime.host, self.runtime.incarnation):
            return None
        if assignment.loads[self.runtime.host]:
            return None
        return plan_leave(assignment, self.runtime.host)

    def _describe(self):
        settings = self.runtime.settings
        peers, gateway = self.runtime.peers, self.runtime.gateway
        return Member(
            host=self.runtime.host,
            incarnation=self.runtime.incarnation,
            peer_address=getattr(peers, "address", settings.peer_address),
            caller_address=getattr(gateway, "address", settings.caller_address),
            failure_domain=settings.failure_domain,
            region=settings.region,
        )
