"""The current configuration of this host, and how it is kept up to date.

A few hosts of each failure domain watch the manifest in the store. All others
poll these watchers, about once a second, and any host that learns of a newer
version pulls it from the host that announced it. The store is read directly
only by watchers and by hosts whose last confirmation is getting old.
"""

import asyncio
import logging
from collections import OrderedDict

import mode

from sapphireyard.configuration import generated_configuration
from sapphireyard.configuration.configuration_sources import ConfigurationSources
from sapphireyard.configuration.freshness import Freshness
from sapphireyard.configuration.generated_configuration import (
    ConfigurationAnswer,
    ConfigurationNotice,
    ConfigurationQuery,
    PartAnswer,
    PartQuery,
)
from sapphireyard.configuration.keys import KeyRing
from sapphireyard.configuration.manifests import (
    MANIFEST_NAME,
    ManifestRepository,
    PartCache,
    decode_manifest,
    diff_manifests,
    digest_text,
    encode_manifest,
    patch_manifest,
)
from sapphireyard.configuration.receipts import Receipts
from sapphireyard.exceptions import (
    CallError,
    PeerError,
    PeerUnavailable,
    StoreError,
    WatchExpired,
)
from sapphireyard.streams.generated_messages import Done

logger = logging.getLogger(__name__)

POLL_SECONDS = 1.0
"""Interval between polls of the store or of peers."""

WATCH_SHARE = 0.25
"""Timeout of a watch as a share of the withdrawal bound."""

REFRESH_SHARE = 0.5
"""Age of the last confirmation, as a share of the bound, that needs a refresh."""

PEER_TIMEOUT_SECONDS = 1.0
"""Timeout of a query to a peer."""

MAX_RECENT_VERSIONS = 32
"""Manifests kept to answer queries from older versions with a delta."""

RETRY_AFTER_SECONDS = 1.0


class ConfigurationService(mode.Service):
    """Keeps this host at the newest configuration.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    watchers_per_domain : int, optional
        Number of hosts of each failure domain that watch the store.
    poll_seconds : float, optional
        Interval between polls of the store or of peers.
    """

    def __init__(self, runtime, *, watchers_per_domain=2, poll_seconds=POLL_SECONDS):
        super().__init__()
        self._runtime = runtime
        self._sources = ConfigurationSources(
            runtime, watchers_per_domain=watchers_per_domain
        )
        self._poll_seconds = poll_seconds
        self._bound = runtime.settings.withdrawal_seconds
        self._repository = ManifestRepository(runtime.store)
        self._receipts = Receipts(runtime.store)
        self._receipt_version = 0
        self._freshness = Freshness(self._bound)
        self._current = None
        self._manifest = None
        self._keys = KeyRing({}, "")
        self._cache = PartCache()
        self._recent = OrderedDict()
        self._callbacks = []
        self._installing = asyncio.Lock()
        self._loaded = asyncio.Event()
        self._revision = None
        self._store_version = 0
        self._pending_queries = set()
        self._needs_full_manifest = False
        runtime.peers.codec.register_module(generated_configuration)
        runtime.peers.register(ConfigurationQuery, self._handle_query)
        runtime.peers.register(ConfigurationNotice, self._handle_notice)
        runtime.peers.register(PartQuery, self._handle_part_query)
        runtime.peers.on_hello(self._handle_hello)

    @property
    def current(self):
        """Configuration: The current configuration; None until one is loaded."""
        return self._current

    @property
    def version(self):
        """int: Version of the current configuration; 0 until one is loaded."""
        return self._freshness.version

    @property
    def age_seconds(self):
        """float: Age of the last confirmation by the store; negative without one."""
        return self._freshness.age(self._now())

    def on_change(self, callback):
        """Call ``callback(configuration)`` after each new version is installed."""
        self._callbacks.append(callback)

    async def wait_loaded(self):
        """Wait until a first version is installed."""
        await self._loaded.wait()

    def check_fresh(self):
        """Raise unless this host is known to have the newest version.

        Raises
        ------
        CallError
            ``configuration_stale``: neither the store nor a peer confirmed it
            within the withdrawal bound, and too few failure domains answer to
            tell an outage of the store from a partition of this host.
        """
        now = self._now()
        if self._freshness.is_fresh(now):
            return
        self._freshness.note_domain(self._runtime.settings.failure_domain, now)
        if self._freshness.is_fresh(now, self._sources.domains()):
            return
        raise CallError(
            "configuration_stale",
            "the configuration of this host was not confirmed within "
            f"{self._bound:g} s",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def authenticate(self, bearer):
        """Return the `Principal` of a bearer key.

        Raises
        ------
        CallError
            ``key_unknown`` or ``key_withdrawn``.
        """
        return self._keys.authenticate(bearer)

    @mode.Service.task
    async def _follow_store(self):
        while not self.should_stop:
            try:
                if self._sources.is_watcher():
                    await self._watch_store()
                    continue
                if self._needs_refresh():
                    await self._read_store()
            except WatchExpired:
                self._revision = None
                continue
            except StoreError as error:
                self._revision = None
                logger.info("configuration not read from the store: %s", error)
            except (ValueError, KeyError, TypeError):
                self._revision = None
                self._freshness.note_unreadable()
                logger.exception("configuration in the store is damaged")
            await self.sleep(self._poll_seconds)

    @mode.Service.task
    async def _poll_peers(self):
        while not self.should_stop:
            if not self._sources.is_watcher() or self._needs_refresh():
                await asyncio.gather(
                    *map(
                        self._query_peer,
                        self._sources.choose_peers(
                            bootstrapping=self._current is None,
                            needs_refresh=self._needs_refresh(),
                        ),
                    )
                )
            await self.sleep(self._poll_seconds)

    def _now(self):
        return self._runtime.clock.monotonic()

    def _needs_refresh(self):
        age = self.age_seconds
        return age < 0 or age > self._bound * REFRESH_SHARE

    async def _watch_store(self):
        asked_at = self._now()
        if self._revision is None:
            start = await self._runtime.store.watch(
                MANIFEST_NAME, after_revision=None, timeout_seconds=0
            )
            await self._read_store()
            await self._leave_receipt()
            self._revision = start.revision
            return
        result = await self._runtime.store.watch(
            MANIFEST_NAME,
            after_revision=self._revision,
            timeout_seconds=self._bound * WATCH_SHARE,
        )
        if result.changes:
            await self._read_store()
        elif self._store_version == self.version:
            self._freshness.confirm(self.version, asked_at=asked_at, age=0)
        await self._leave_receipt()
        self._revision = result.revision

    async def _read_store(self):
        asked_at = self._now()
        manifest, _ = await self._repository.read()
        self._store_version = manifest.version if manifest is not None else 0
        if manifest is None:
            if self.version:
                self._freshness.note_unreadable()
            return
        self._freshness.note_version(manifest.version)
        if manifest.version < self.version:
            logger.warning(
                "store has configuration version %d, older than the current version %d",
                manifest.version,
                self.version,
                extra={"version": self.version},
            )
            return
        if await self._install(manifest, source="store"):
            self._notify_domain()
        self._freshness.confirm(manifest.version, asked_at=asked_at, age=0)

    async def _leave_receipt(self):
        """Tell operators that this failure domain has the current version."""
        version = self.version
        if version <= self._receipt_version:
            return
        domain = self._runtime.settings.failure_domain
        await self._receipts.leave(domain, version)
        self._receipt_version = version
        logger.info(
            "left a receipt for configuration version %d",
            version,
            extra={"decision": "receipt", "version": version, "domain": domain},
        )

    async def _query_peer(self, host):
        """Query a peer for its version and install it if it is newer."""
        if host in self._pending_queries:
            return
        self._pending_queries.add(host)
        try:
            asked_at = self._now()
            base_version = self._base_version()
            answer = await self._runtime.peers.ask(
                host, ConfigurationQuery(base_version), timeout=PEER_TIMEOUT_SECONDS
            )
            self._freshness.note_version(answer.version)
            member = self._sources.members().get(host)
            if member is not None:
                self._freshness.note_domain(member.failure_domain, asked_at)
            manifest = self._read_answer(answer, base_version)
            if manifest is not None:
                await self._install(manifest, source=host)
            self._freshness.confirm(
                answer.version, asked_at=asked_at, age=answer.age_seconds
            )
        except (PeerError, StoreError, CallError) as error:
            logger.info("configuration not read from peer %s: %s", host, error)
        except (ValueError, KeyError, TypeError):
            logger.exception("configuration sent by peer %s is damaged", host)
        finally:
            self._pending_queries.discard(host)

    def _base_version(self):
        """Return the version to query with; 0 requests the full manifest."""
        return 0 if self._needs_full_manifest else self.version

    def _read_answer(self, answer, base_version):
        """Return the manifest of an answer, or None if there is nothing to install.

        A delta against `base_version`, the version in the query, does not apply
        if the answer of another host was installed in the meantime.
        """
        if answer.manifest:
            self._needs_full_manifest = False
            return decode_manifest(answer.manifest)
        if not answer.delta or self.version != base_version:
            return None
        self._needs_full_manifest = True
        manifest = patch_manifest(self._manifest, answer.delta)
        self._needs_full_manifest = False
        return manifest

    async def _install(self, manifest, *, source):
        """Install a version if it is newer; return whether it was."""
        async with self._installing:
            if manifest.version <= self.version:
                return False

            async def fetch(digest):
                return await self._fetch_part(digest, source)

            configuration = await self._cache.load(manifest, fetch)
            self._freshness.install(manifest.version)
            self._manifest = manifest
            self._current = configuration
            self._keys = KeyRing(configuration.keys, configuration.salt)
            self._cache.keep_only(manifest)
            self._keep_recent(manifest)
        logger.info(
            "installed configuration version %d",
            manifest.version,
            extra={"version": manifest.version, "source": source},
        )
        self._loaded.set()
        for callback in self._callbacks:
            callback(configuration)
        return True

    async def _fetch_part(self, digest, source):
        if source != "store":
            text = await self._fetch_from_peer(digest, source)
            if text:
                return text
        return await self._repository.fetch(digest)

    async def _fetch_from_peer(self, digest, host):
        try:
            answer = await self._runtime.peers.ask(
                host, PartQuery(digest=digest), timeout=PEER_TIMEOUT_SECONDS
            )
        except PeerUnavailable:
            return ""
        return answer.text if digest_text(answer.text) == digest else ""

    def _keep_recent(self, manifest):
        """Keep the last manifests, from which deltas for peers are computed."""
        self._recent[manifest.version] = manifest
        while len(self._recent) > MAX_RECENT_VERSIONS:
            self._recent.popitem(last=False)

    def _notify_domain(self):
        """Notify the hosts of this failure domain of a new version."""
        notice = ConfigurationNotice(version=self.version)
        for host in self._sources.domain_hosts():
            if host != self._runtime.host:
                self._runtime.peers.tell(host, notice)

    async def _handle_query(self, query, context):
        if query.version > self.version:
            self._pull(context.host, query.version)
        answer = ConfigurationAnswer(self.version, self.age_seconds)
        if self.version > query.version:
            base = self._recent.get(query.version)
            if base is not None:
                answer.delta = diff_manifests(base, self._manifest)
            else:
                answer.manifest = encode_manifest(self._manifest)
        return answer

    async def _handle_part_query(self, query, context):
        return PartAnswer(text=self._cache.text(query.digest))

    async def _handle_notice(self, notice, context):
        self._pull(context.host, notice.version)
        return Done()

    def _handle_hello(self, host, hello):
        self._pull(host, hello.configuration)

    def _pull(self, host, version):
        if (
            self._freshness.note_version(version)
            and host
            and host != self._runtime.host
        ):
            self.add_future(self._query_peer(host))
