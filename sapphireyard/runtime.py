"""The central object that holds the settings and services of a process."""

from sapphireyard.clocks import Clock
from sapphireyard.intake import Intake


class Runtime:
    """Settings, clock, store and services of one process of sapphireyard.

    A binary creates one, sets the services that it runs, and passes it to each
    of them. There are no globals.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    store : Store
        The platform's object store.
    clock : Clock, optional
        Source of time; virtual in tests.

    Attributes
    ----------
    incarnation : int
        Number of this run of the host; increases with each start.
    intake : Intake
        The connections that the process has accepted.
    peers : Peers
        Streams to and from other hosts.
    configuration : ConfigurationService
        The current tables and keys.
    programs : Programs
        State of the programs owned here.
    journal : JournalService
        Durable records of this host.
    ownership : OwnershipService
        Assignment of partitions to hosts, this host's own included.
    limits : LimitService
        Fleet-wide rate limits.
    slots : SlotService
        Admission slots of upstreams.
    quarantine : QuarantineService
        Requests that crash upstreams.
    retries : RetryBudget
        Budget of retries to upstreams.
    outliers : OutlierDetector
        Detects upstreams that fail more often than others.
    upstreams : Upstreams
        Connections to upstreams.
    upstream_states : UpstreamStates
        Tracks upstreams that are leaving.
    dispatcher : Dispatcher
        Runs calls on the owner of their program.
    lifetimes : LifetimeService
        Ends programs that are idle or exceed their lifetime.
    texts : TextService
        Cache of the texts of histories.
    collector : CollectorService
        Deletes journal segments that are no longer needed.
    metrics : Metrics
        Instruments of the request path.
    gateway : Gateway
        The callers' HTTP interface.
    gossip : Gossip
        Heartbeats of all hosts, on the platform.
    quotas : FleetQuotas
        Customers' rate limits without a home host, on the platform.
    pools : UpstreamPools
        Upstreams as this host schedules them, on the platform.
    history : HistoryClient
        Chains of turns on hosts with disks, on the platform.
    """

    def __init__(self, settings, store, *, clock=None):
        self.settings = settings
        self.intake = Intake()
        self.store = store
        self.clock = clock or Clock()
        self.incarnation = 0
        self.peers = None
        self.configuration = None
        self.programs = None
        self.journal = None
        self.ownership = None
        self.limits = None
        self.slots = None
        self.quarantine = None
        self.retries = None
        self.outliers = None
        self.upstreams = None
        self.upstream_states = None
        self.dispatcher = None
        self.lifetimes = None
        self.texts = None
        self.collector = None
        self.metrics = None
        self.gateway = None
        self.gossip = None
        self.quotas = None
        self.pools = None
        self.history = None

    @property
    def host(self):
        """str: Name of this host."""
        return self.settings.host
