"""The configuration in force on this host, and how it stays up to date.

A few hosts of each failure domain watch the manifest in the store. All others
ask them, about once a second, and any host that hears of a newer version
pulls it from the host that named it. The store is read directly only by
watchers and by hosts whose peers had no recent news.
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
"""Seconds between two questions to peers."""

WATCH_SHARE = 0.25
"""Length of a watch as a share of the withdrawal bound."""

NEWS_SHARE = 0.5
"""Age of the last confirmation, as a share of the bound, that needs action."""

ASK_SECONDS = 1.0
"""Longest wait for a peer's answer."""

RECENT_VERSIONS = 32
"""Versions from which a peer is told just the change."""

RETRY_AFTER_SECONDS = 1.0


class ConfigurationService(mode.Service):
    """Keeps the newest configuration on this host.

    Parameters
    ----------
    yard : Yard
        The process this belongs to.
    watchers_per_domain : int, optional
        Hosts of a failure domain that watch the store.
    poll_seconds : float, optional
        Seconds between two questions to peers.
    """

    def __init__(self, yard, *, watchers_per_domain=2, poll_seconds=POLL_SECONDS):
        super().__init__()
        self._yard = yard
        self._sources = ConfigurationSources(
            yard, watchers_per_domain=watchers_per_domain
        )
        self._poll_seconds = poll_seconds
        self._bound = yard.settings.withdrawal_seconds
        self._repository = ManifestRepository(yard.store)
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
        self._asked = set()
        self._needs_whole = False
        yard.peers.codec.register_module(generated_configuration)
        yard.peers.register(ConfigurationQuery, self._answer_query)
        yard.peers.register(ConfigurationNotice, self._take_notice)
        yard.peers.register(PartQuery, self._answer_part)
        yard.peers.on_hello(self._take_hello)

    @property
    def current(self):
        """Configuration: The version in force; None until one is loaded."""
        return self._current

    @property
    def version(self):
        """int: Version in force; 0 until one is loaded."""
        return self._freshness.version

    @property
    def age_seconds(self):
        """float: Age of the store's last confirmation; negative without one."""
        return self._freshness.age(self._now())

    def on_change(self, callback):
        """Call ``callback(configuration)`` after each new version."""
        self._callbacks.append(callback)

    async def wait_loaded(self):
        """Wait until a first version is in force."""
        await self._loaded.wait()

    def check_fresh(self):
        """Raise unless the newest version is known to be in force here.

        Raises
        ------
        CallError
            ``configuration_stale``: neither the store nor a peer confirmed it
            within the withdrawal bound, and too few failure domains answer to
            tell an outage of the store from a cut of this host.
        """
        now = self._now()
        if self._freshness.is_fresh(now):
            return
        self._freshness.hear_domain(self._yard.settings.failure_domain, now)
        if self._freshness.is_fresh(now, self._sources.domains()):
            return
        raise CallError(
            "configuration_stale",
            "this host has no recent word of the configuration",
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
                if self._needs_news():
                    await self._read_store()
            except WatchExpired:
                self._revision = None
                continue
            except StoreError as error:
                self._revision = None
                logger.info("configuration: the store failed: %s", error)
            except (ValueError, KeyError, TypeError):
                self._revision = None
                logger.exception("configuration: the stored form is damaged")
            await self.sleep(self._poll_seconds)

    @mode.Service.task
    async def _follow_peers(self):
        while not self.should_stop:
            if not self._sources.is_watcher() or self._needs_news():
                await asyncio.gather(
                    *map(
                        self._ask,
                        self._sources.choose_peers(
                            first=self._current is None, needs_news=self._needs_news()
                        ),
                    )
                )
            await self.sleep(self._poll_seconds)

    def _now(self):
        return self._yard.clock.monotonic()

    def _needs_news(self):
        age = self.age_seconds
        return age < 0 or age > self._bound * NEWS_SHARE

    async def _watch_store(self):
        asked_at = self._now()
        if self._revision is None:
            start = await self._yard.store.watch(
                MANIFEST_NAME, after_revision=None, timeout_seconds=0
            )
            await self._read_store()
            self._revision = start.revision
            return
        result = await self._yard.store.watch(
            MANIFEST_NAME,
            after_revision=self._revision,
            timeout_seconds=self._bound * WATCH_SHARE,
        )
        if result.changes:
            await self._read_store()
        elif self._store_version == self.version:
            self._freshness.confirm(self.version, asked_at=asked_at, age=0)
        self._revision = result.revision

    async def _read_store(self):
        asked_at = self._now()
        manifest, _ = await self._repository.read()
        self._store_version = manifest.version if manifest is not None else 0
        if manifest is None:
            return
        if manifest.version < self.version:
            logger.warning(
                "configuration: the store holds the older version %d",
                manifest.version,
                extra={"version": self.version},
            )
            return
        if await self._install(manifest, source="store"):
            self._spread()
        self._freshness.confirm(manifest.version, asked_at=asked_at, age=0)

    async def _ask(self, host):
        """Ask a peer for its version; pull it when it is newer."""
        if host in self._asked:
            return
        self._asked.add(host)
        try:
            asked_at = self._now()
            named = self._version_to_name()
            answer = await self._yard.peers.ask(
                host, ConfigurationQuery(named), timeout=ASK_SECONDS
            )
            self._freshness.hear(answer.version)
            member = self._sources.members().get(host)
            if member is not None:
                self._freshness.hear_domain(member.failure_domain, asked_at)
            manifest = self._read_answer(answer, named)
            if manifest is not None:
                await self._install(manifest, source=host)
            self._freshness.confirm(
                answer.version, asked_at=asked_at, age=answer.age_seconds
            )
        except (PeerError, StoreError, CallError) as error:
            logger.info("configuration: no version from %s: %s", host, error)
        except (ValueError, KeyError, TypeError):
            logger.exception("configuration: %s sent a damaged form", host)
        finally:
            self._asked.discard(host)

    def _version_to_name(self):
        """Return the version to ask with; 0 asks for the whole manifest."""
        return 0 if self._needs_whole else self.version

    def _read_answer(self, answer, named):
        """Return the manifest of an answer, or None when it has none.

        A change of the version `named` in the question is of no use when
        another host's answer came first.
        """
        if answer.manifest:
            self._needs_whole = False
            return decode_manifest(answer.manifest)
        if not answer.delta or self.version != named:
            return None
        self._needs_whole = True
        manifest = patch_manifest(self._manifest, answer.delta)
        self._needs_whole = False
        return manifest

    async def _install(self, manifest, *, source):
        """Put a version in force if it is newer; return whether it was."""
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
            self._remember(manifest)
        logger.info(
            "configuration %d is in force",
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
            answer = await self._yard.peers.ask(
                host, PartQuery(digest=digest), timeout=ASK_SECONDS
            )
        except PeerUnavailable:
            return ""
        return answer.text if digest_text(answer.text) == digest else ""

    def _remember(self, manifest):
        """Keep the last manifests, so that peers can be told what changed."""
        self._recent[manifest.version] = manifest
        while len(self._recent) > RECENT_VERSIONS:
            self._recent.popitem(last=False)

    def _spread(self):
        """Tell the hosts of this failure domain of a new version."""
        notice = ConfigurationNotice(version=self.version)
        for host in self._sources.domain_hosts():
            if host != self._yard.host:
                self._yard.peers.tell(host, notice)

    async def _answer_query(self, query, context):
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

    async def _answer_part(self, query, context):
        return PartAnswer(text=self._cache.text(query.digest))

    async def _take_notice(self, notice, context):
        self._pull(context.host, notice.version)
        return Done()

    def _take_hello(self, host, hello):
        self._pull(host, hello.configuration)

    def _pull(self, host, version):
        if self._freshness.hear(version) and host and host != self._yard.host:
            self.add_future(self._ask(host))
