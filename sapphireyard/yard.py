"""The central object, which carries the configuration and the services."""

from sapphireyard.clocks import Clock


class Yard:
    """One process of sapphireyard: its settings, clock, store and services.

    Build one in a binary, set the services that the binary runs, and pass it
    to each of them. There are no globals.

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
        Number of this run of the host; each start takes a greater one.
    peers : Peers
        Streams to and from other hosts.
    configuration : ConfigurationService
        The tables in force.
    programs : Programs
        State of the programs owned here.
    journal : JournalService
        Durable records of this host.
    ownership : OwnershipService
        Owners of partitions and this host's part in them.
    limits : LimitService
        Fleet-wide rates.
    slots : SlotService
        Admission slots of upstreams.
    quarantine : QuarantineService
        Requests that crash upstreams.
    retries : RetryBudget
        How many repeats may be sent upstream.
    outliers : OutlierDetector
        Upstreams that fail more than others.
    upstreams : Upstreams
        Connections to upstreams.
    upstream_states : UpstreamStates
        Upstreams that leave.
    dispatcher : Dispatcher
        Carries calls on their owner.
    lifetimes : LifetimeService
        Ends idle and endless programs.
    texts : TextService
        Texts of histories in memory.
    collector : CollectorService
        Deletes journal segments that nothing needs.
    metrics : Metrics
        Instruments of the running path.
    gateway : Gateway
        The callers' HTTP interface.
    gossip : Gossip
        Heartbeats of all hosts, on the platform.
    quotas : FleetQuotas
        Customers' rates without a home, on the platform.
    pools : UpstreamPools
        Upstreams as this host schedules them, on the platform.
    history : HistoryClient
        Chains of turns on hosts with disks, on the platform.
    """

    def __init__(self, settings, store, *, clock=None):
        self.settings = settings
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
