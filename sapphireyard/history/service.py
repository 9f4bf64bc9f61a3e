"""A host that keeps a copy of all histories and of the spending of programs."""

import asyncio
import contextlib
import logging
from dataclasses import replace
from pathlib import Path

import mode
import msgpack

from sapphireyard.exceptions import (
    CallError,
    PeerError,
    StoreError,
)
from sapphireyard.fleet import generated_fleet
from sapphireyard.fleet.generated_fleet import CopySet
from sapphireyard.history import generated_history
from sapphireyard.history.chain_source import ChainSource
from sapphireyard.history.copies import (
    FORGOTTEN,
    JOINING,
    SERVING,
    explain_stay,
    fence_quorum,
    list_holders,
    may_stop,
    plan_join,
    plan_leave,
    plan_recovery,
)
from sapphireyard.history.generated_history import (
    ChainQuery,
    DiskQuery,
    DiskStatus,
    KeysQuery,
    RecordBatch,
    RecordsAt,
    RecordsKept,
    RecordsQuery,
    Renewal,
    Renewed,
    Reservation,
    ReservationCounted,
    ReservationSynced,
    SetQuery,
    Settlement,
    SpendingQuery,
    TurnCommit,
    TurnSynced,
)
from sapphireyard.history.keys import build_key
from sapphireyard.history.log import (
    LogFailed,
    RecordLog,
    check_writable,
    read_identity,
)
from sapphireyard.history.repair import (
    REPAIR_SECONDS,
    RecordRepair,
    RecordSource,
    fill_batch,
)
from sapphireyard.history.state import HistoryState
from sapphireyard.history.stored_set import StoredSet
from sapphireyard.history.survey import ask_disks, list_serving
from sapphireyard.history.transfer import (
    BATCH_TIMEOUT_SECONDS,
    RecordTransfer,
    build_query,
)
from sapphireyard.streams.frames import MessageCodec
from sapphireyard.tasks import lasting_task, lasting_timer, start_task

logger = logging.getLogger(__name__)

MAINTAIN_SECONDS = 0.25
"""Interval of the checks whether to join the set."""
JOIN_RETRY_SECONDS = 0.4
"""Interval between attempts to join, for example until members have started."""
SPARE_SECONDS = 2.0
"""Interval of the checks while the set needs no further member."""
GONE_SECONDS = 1.0
"""Silence after which another host may replace a member: longer than a missed
heartbeat, shorter than the time within which lost copies must be replaced."""
BATCH_BYTES = 512 * 1024
"""Size of a batch of records; well below the largest frame."""
BATCH_RECORDS = 200
"""Records examined for one batch; a copy serves no other request meanwhile."""
PURGE_SECONDS = 5.0
FOLDER_RETRY_SECONDS = 1.0


class HistoryService(mode.Service):
    """Keeps records in a log and answers entry hosts from the state derived from them.

    Parameters
    ----------
    runtime : Runtime
        Provides settings, peers, store, gossip and clock.
    """

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime
        self._codec = MessageCodec()
        self._codec.register_module(generated_history)
        self._codec.register_module(generated_fleet)
        self._log = RecordLog(Path(runtime.settings.data_folder) / "records")
        self._state = HistoryState()
        self._transfer = RecordTransfer(runtime.peers, self._log, self._read_batch)
        self._chains = ChainSource(self._log, self._state, self._unpack, runtime.clock)
        self._source = RecordSource(self._log, self._export)
        self._repair = RecordRepair(
            runtime.peers, self._state, self._store, self._copy_all
        )
        self._copies = CopySet()
        self._set = StoredSet(runtime.store)
        self._disk_id = ""
        self._set_position = None
        self._serving = False
        self._retiring = False
        self._join_at = float("-inf")
        self._watched = ()  # members one of which may have to be replaced
        self._gone = set()
        runtime.peers.codec.register_module(generated_history)
        runtime.peers.codec.register_module(generated_fleet)
        runtime.peers.register_stream(Reservation, self._serve_reservation)
        runtime.peers.register(SpendingQuery, self._serve_spending)
        runtime.peers.register(Settlement, self._serve_settlement)
        runtime.peers.register(TurnCommit, self._serve_commit)
        runtime.peers.register(Renewal, self._serve_renewal)
        runtime.peers.register_stream(ChainQuery, self._serve_chain)
        runtime.peers.register(RecordsQuery, self._serve_records)
        runtime.peers.register(RecordBatch, self._serve_batch)
        runtime.peers.register(KeysQuery, self._serve_keys)
        runtime.peers.register(RecordsAt, self._serve_records_at)
        runtime.peers.register(DiskQuery, self._serve_disk)
        runtime.peers.register(SetQuery, self._serve_set)

    @property
    def copies(self):
        """CopySet: The set that this host uses."""
        return self._copies

    @property
    def serving(self):
        """bool: Whether this host answers as a member of the set."""
        return self._serving

    @property
    def _standing(self):
        if self._serving:
            return SERVING
        return FORGOTTEN if self._set_position is None else JOINING

    @property
    def _tolerated(self):
        return self._runtime.settings.tolerated_losses

    async def on_start(self):
        await self._prepare_folder()
        for position, payload in self._log.open():
            self._replay(payload, position)
        self._serving = self._copies.members.get(self._runtime.host) == self._disk_id
        logger.info(
            "history opened",
            extra={
                "decision": "open",
                "disk": self._disk_id,
                "files": self._log.files,
                "records": self._log.end,
                "set_version": self._copies.version,
                "members": self._copies.members,
                "standing": self._standing,
            },
        )

    async def _prepare_folder(self):
        """Read the identity of the disk, and wait while the disk cannot be written."""
        folder = self._runtime.settings.data_folder
        while True:
            try:
                self._disk_id = read_identity(folder)
                return check_writable(folder)
            except OSError as error:
                logger.error(
                    "data folder cannot be used yet",
                    extra={"decision": "open", "folder": folder, "error": str(error)},
                )
            await self.sleep(FOLDER_RETRY_SECONDS)

    async def on_stop(self):
        try:
            await self._log.finish()
        except LogFailed as error:
            logger.error("records are lost at the stop: %s", error)

    @lasting_task
    async def _maintain(self):
        while not self.should_stop:
            if not self._serving:
                try:
                    await self._try_join()
                except (StoreError, PeerError, CallError) as error:
                    logger.info("could not join the set of copies: %s", error)
            await self.sleep(MAINTAIN_SECONDS)

    @lasting_task
    async def _repair_regularly(self):
        while not self.should_stop:
            if self._serving:
                members = dict(self._copies.members)
                del members[self._runtime.host]
                reachable = [name for name in members if not self._is_gone(name)]
                await self._repair.run(members, reachable)
            await self.sleep(REPAIR_SECONDS)

    @lasting_timer(PURGE_SECONDS)
    async def _purge_regularly(self):
        try:
            await self.purge_expired()
        except (LogFailed, OSError) as error:
            logger.error("files are not deleted: %s", error)

    async def purge_expired(self):
        """Drop expired turns and spending, and delete files that are not needed.

        The set of copies does not expire: a host that lost it could not tell after a
        restart that it is a member. It is written again before its file goes.
        """
        needed = self._state.expire(self._now())
        kept = self._log.find_kept(self._log.end if needed is None else needed)
        if self._set_position is not None and self._set_position < kept:
            self._append_set()
            await self._log.sync()
        self._log.drop_before(kept)
        self._source.drop_before(self._log.first)

    def update_copies(self, copies):
        """Adopt a newer set that another host already uses."""
        if copies is None or copies.version <= self._copies.version:
            return
        if self._serving:
            start_task(self._adopt(copies), name="newer set")

    async def retire(self):
        """Leave the set once the others can bear the tolerated losses without it.

        Returns once the host's disk is no longer needed. It may be called again after
        an error.

        Raises
        ------
        CallError
            ``history_unavailable``: the disk is still needed; the text says why.
        StoreError
            The set cannot be read or changed.
        """
        self._retiring = True
        stored, copies = await self._set.read()
        if self._runtime.host in copies.members:
            await self._check_leave(copies, CopySet())
            copies = plan_leave(copies, self._runtime.host)
            await self._set.write(stored, copies)
        await self._adopt(copies)
        await self._check_leave(copies, copies)

    def may_stop(self):
        """Return whether turns are served while this host is restarted."""
        if not self._serving:
            return True
        membership = self._runtime.gossip.membership
        heartbeats = [
            membership.find(name).heartbeat
            for name in self._copies.members
            if name != self._runtime.host and not self._is_gone(name)
        ]
        return may_stop(
            self._copies,
            self._runtime.host,
            {each.host for each in heartbeats if each.ready},
            {each.host for each in heartbeats if each.leaving},
            tolerated=self._tolerated,
        )

    async def _check_leave(self, copies, announced):
        """Transfer all records; raise `CallError` if this host's disk is needed.

        The set is announced because no other host may know it yet, and this one stops
        soon. An empty one announces nothing.
        """
        host = self._runtime.host
        others = [name for name in copies.members if name != host]
        tolerated = self._tolerated
        reason = explain_stay(copies, host, others, tolerated=tolerated)
        if not reason:
            holders = await self._transfer.send_all(copies, others, announced)
            reason = explain_stay(copies, host, holders, tolerated=tolerated)
        if reason:
            raise CallError("history_unavailable", reason)

    async def _try_join(self):
        now = self._now()
        gone = {name for name in self._watched if self._is_gone(name)}
        has_lost_one = bool(gone - self._gone)
        self._gone = gone
        if now < self._join_at and not has_lost_one:
            return
        self._join_at = now + JOIN_RETRY_SECONDS
        stored, copies = await self._set.read()
        if stored is None and not self._runtime.settings.bootstrap:
            logger.error("the store has no set of copies, and bootstrap is not set")
            return
        # A member that retires is needed, also with a new disk, until it has left.
        if self._retiring and self._runtime.host not in copies.members:
            return
        is_member = copies.members.get(self._runtime.host) == self._disk_id
        changed = plan_join(
            copies,
            self._runtime.host,
            self._disk_id,
            silent=self._is_gone,
            tolerated=self._tolerated,
        )
        if changed is None and not is_member:
            await self._recover(stored, copies)
            self._watched = sorted(copies.members)
            self._join_at = now + SPARE_SECONDS
            return
        kept = copies if changed is None else changed
        others = [name for name in copies.members if name in kept.members]
        others = [name for name in others if name != self._runtime.host]
        needed = self._count_fences(copies)
        positions = await self._fetch_all(others, CopySet(), {}, needed)
        if changed is not None:
            if not await self._may_change(copies, changed, positions):
                await self._recover(stored, copies)
                return
            # Also after a restart, it is known which set this host joins from.
            self._copies = copies
            self._append_set()
            await self._log.sync()
            await self._set.write(stored, changed)
            copies = changed
        if not await self._fence_and_join(copies, positions):
            await self._recover(*await self._set.read())

    async def _recover(self, stored, copies):
        """Begin a new set if histories are gone for good."""
        disks = await ask_disks(self._runtime.peers, copies.members)
        host = self._runtime.host
        disks[host] = DiskStatus(self._disk_id, self._serving, self._standing)
        if await self._resume(copies, disks):
            return
        options = {"accepted": copies.version, "tolerated": self._tolerated}
        if plan_recovery(copies, host, self._disk_id, disks, **options) is None:
            return
        options["accepted"] = await self._set.read_accepted_loss()
        changed = plan_recovery(copies, host, self._disk_id, disks, **options)
        if changed is None:
            logger.error(
                "too few members are left to join from",
                extra={
                    "decision": "recovery",
                    "set_version": copies.version,
                    "silent": sorted(set(copies.members) - set(disks)),
                    "disks": _describe_disks(disks),
                },
            )
            return
        logger.error(
            "histories are lost",
            extra={
                "decision": "recovery",
                "set_version": copies.version,
                "members": copies.members,
                "disks": _describe_disks(disks),
                "accepted": options["accepted"],
                "serving": sorted(set(changed.members) - {host}),
            },
        )
        await self._set.write(stored, changed)
        await self._fence_and_join(changed, {})

    async def _resume(self, copies, disks):
        """Serve again with others whose logs name no set; return whether it did.

        As none of them serves, none can let another one join. Those that do not serve
        acknowledge nothing, so that all that counts is among their records.
        """
        host = self._runtime.host
        holders = list_holders(copies, disks)
        needed = self._count_fences(copies)
        if copies.members.get(host) != self._disk_id or len(holders) < needed:
            return False
        others = [name for name in holders if name != host]
        needed -= host in holders
        reached = await self._fetch_all(others, copies, {}, len(others), resuming=True)
        logger.warning(
            "resuming a set of which too few members serve",
            extra={
                "decision": "resume",
                "set_version": copies.version,
                "disks": _describe_disks(disks),
                "fetched_from": sorted(reached),
                "needed": needed,
            },
        )
        if len(reached) < needed:
            return False
        await self._adopt(copies)
        return self._serving

    @lasting_timer(SPARE_SECONDS)
    async def _end_recovery(self):
        """End the time in which records may be lost once an operator accepts it."""
        if not self._serving or not self._copies.lost_before:
            return
        try:
            accepted = await self._set.read_accepted_loss()
            stored, copies = await self._set.read()
            if copies.lost_before and copies.version == accepted:
                copies = replace(copies, version=copies.version + 1, lost_before=0)
                await self._set.write(stored, copies)
                await self._adopt(copies)
        except (StoreError, CallError) as error:
            logger.info("cannot end the time after a loss: %s", error)

    async def _may_change(self, copies, changed, answered):
        """Return whether enough members serve, and none that answers is put out."""
        peers = self._runtime.peers
        replaced = set(copies.members) - set(changed.members)
        if replaced and await ask_disks(peers, replaced):
            logger.info("%s answers and is not replaced", ", ".join(replaced))
            return False
        needed = self._count_fences(copies)
        if len(changed.members) > len(copies.members):
            # One member more needs more others to join from, so none may be missing.
            needed = len(copies.members)
            answered = await list_serving(peers, copies.members)
        if len(answered) >= needed:
            return True
        logger.info("%d of %d members have answered", len(answered), needed)
        return False

    async def _fence_and_join(self, copies, positions):
        """Make enough members refuse older sets, then serve; return whether it did."""
        others = [name for name in copies.members if name != self._runtime.host]
        joins_from = copies
        if self._copies.version == copies.version - 1:
            joins_from = self._copies
        needed = min(self._count_fences(joins_from), len(others))
        fenced = await self._fetch_all(others, copies, positions, needed)
        if len(fenced) < needed:
            logger.info("%d of %d members are fenced", len(fenced), needed)
            return False
        await self._adopt(copies)
        logger.info(
            "joined the copies",
            extra={
                "decision": "join",
                "set_version": copies.version,
                "members": sorted(copies.members),
                "fenced": sorted(fenced),
            },
        )
        return True

    async def _fetch_all(self, hosts, copies, positions, needed, *, resuming=False):
        """Copy the records of as many of several hosts as are needed.

        Returns the position reached at each of those that answered first. The others
        are not waited for: a host that is cut off answers none of the requests.
        """
        tasks = {
            start_task(
                self._fetch(host, copies, positions.get(host, 0), resuming=resuming),
                name="records",
            ): host
            for host in hosts
        }
        reached = {}
        waiting = set(tasks)
        try:
            while waiting and len(reached) < needed:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                found = {tasks[task]: task.result() for task in done}
                reached |= {h: p for h, p in found.items() if p is not None}
        finally:
            for task in waiting:
                task.cancel()
        return reached

    async def _fetch(self, host, copies, position, *, resuming=False):
        try:
            while True:
                query = build_query(position, copies, resuming=resuming)
                batch = await self._runtime.peers.ask(
                    host, query, timeout=BATCH_TIMEOUT_SECONDS
                )
                self._apply_records(batch.records)
                if batch.position <= position:
                    return position
                position = batch.position
        except (PeerError, CallError) as error:
            logger.info("could not fetch records from %s: %s", host, error)
            return None

    async def _adopt(self, copies):
        """Use a newer set from now on, also after a restart."""
        if copies.version < self._copies.version:
            return
        self._copies = copies
        self._append_set()
        await self._log.sync()
        # A newer set may have been adopted during the sync.
        self._serving = self._copies.members.get(self._runtime.host) == self._disk_id

    def _count_fences(self, copies):
        """Return how many members must refuse older sets before one joins."""
        return fence_quorum(len(copies.members), tolerated=self._tolerated)

    def _is_gone(self, host):
        now = self._now()
        return self._runtime.gossip.membership.silent_for(host, now) > GONE_SECONDS

    async def _serve_reservation(self, message, context):
        self._check(message.set_version)
        position = self._append(message)
        self._state.apply(message, position, self._now())
        yield ReservationCounted(self._state.spendings(message.program))
        await self._log.sync()
        yield ReservationSynced()

    async def _serve_spending(self, message, context):
        self._check(message.set_version)
        return ReservationCounted(self._state.spendings(message.program))

    async def _serve_settlement(self, message, context):
        self._state.apply(message, self._append(message), self._now())
        await self._log.sync()
        return TurnSynced()

    async def _serve_commit(self, message, context):
        self._check(message.set_version)
        previous = message.turn.previous
        is_absent = bool(previous) and self._state.find_turn(previous) is None
        if self._state.find_turn(message.turn.turn) is None:
            position = self._append(message.turn)
            self._state.apply(message.turn, position, self._now())
        await self._log.sync()
        return TurnSynced(is_absent)

    async def _serve_renewal(self, message, context):
        self._check(message.set_version)
        expires_at = self._now() + message.keep_seconds
        self._state.renew(message.program, message.turn, expires_at)
        return Renewed()

    async def _serve_chain(self, message, context):
        self._check(message.set_version)
        async with contextlib.aclosing(self._chains.serve(message)) as parts:
            async for part in parts:
                yield part

    async def _serve_records(self, message, context):
        if not self._serving and not (message.resuming and self._disk_id):
            raise CallError("history_unavailable", "this copy is not a member")
        if self._serving and message.set_version > self._copies.version:
            await self._adopt(
                CopySet(message.set_version, message.members, message.lost_before)
            )
        return self._read_batch(message.after, message.written_after)

    async def _serve_keys(self, message, context):
        self._check(self._copies.version)
        return self._source.list_keys(self._disk_id, message.after)

    async def _serve_records_at(self, message, context):
        self._check(self._copies.version)
        if message.disk != self._disk_id:
            raise CallError("history_unavailable", "this copy has another disk")
        return self._source.find(message.cursors)

    async def _serve_set(self, message, context):
        self._check(self._copies.version)
        return self._copies

    async def _serve_disk(self, message, context):
        if not self._disk_id:
            raise CallError("history_unavailable", "the disk has not been read yet")
        return DiskStatus(self._disk_id, self._serving, self._standing)

    async def _serve_batch(self, message, context):
        await self._store(message.records)
        return RecordsKept()

    def _check(self, set_version):
        """Refuse requests that use an older set, and all requests before joining."""
        if not self._serving:
            raise CallError("history_unavailable", "this copy is not a member")
        if set_version < self._copies.version:
            raise CallError(
                "copies_changed",
                f"the set of copies is at version {self._copies.version}",
            )

    def _append_set(self):
        self._set_position = self._append(self._copies)

    def _append(self, record):
        position = self._log.append(self._pack(record))
        self._source.add(record)
        return position

    def _replay(self, payload, position):
        record = self._unpack(payload)
        self._source.add(record)
        if isinstance(record, CopySet):
            self._copies = record
            self._set_position = position
            return
        self._state.apply(record, position, self._now())

    def _apply_records(self, records):
        """Apply packed records of another copy; return how many were new."""
        new = 0
        for payload in records:
            record = self._unpack(payload)
            if isinstance(record, CopySet):
                continue
            position = self._log.end
            if self._state.lacks(build_key(record)):
                position = self._append(record)
                new += 1
            self._state.apply(record, position, self._now())
        return new

    async def _copy_all(self, host):
        """Copy all records of a host; return whether it sent them."""
        position = await self._fetch(host, CopySet(), 0)
        await self._log.sync()
        return position is not None

    async def _store(self, records):
        """Apply and sync packed records of another copy; return how many were new."""
        new = self._apply_records(records)
        await self._log.sync()
        return new

    def _export(self, position, written_after=0.0):
        """Return the packed record at a position as another copy keeps it, or None."""
        payload = self._log.read(position)
        record = None if payload is None else self._unpack(payload)
        if record is None or isinstance(record, CopySet):
            return None
        if record.written_at < written_after:
            return None
        record = self._state.limit_retention(record, self._now())
        return None if record is None else self._pack(record)

    def _read_batch(self, after, written_after=0.0):
        begin = max(after, self._log.first)
        end = min(self._log.end, begin + BATCH_RECORDS)
        payloads = (self._export(each, written_after) for each in range(begin, end))
        examined, records = fill_batch(payloads, BATCH_BYTES)
        return RecordBatch(begin + examined, records)

    def _now(self):
        return self._runtime.clock.monotonic()

    def _pack(self, record):
        return msgpack.packb(self._codec.dump(record))

    def _unpack(self, payload):
        return self._codec.load(*msgpack.unpackb(payload))


def _describe_disks(disks):
    """Return what hosts have answered about their disks, for the log."""
    return {
        host: f"{status.disk} {status.standing or status.serving}"
        for host, status in sorted(disks.items())
    }
