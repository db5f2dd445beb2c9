//! State of a gateway process, shared by its tasks.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coltsfoothook_decision::admission::WrongKeys;
use coltsfoothook_decision::backend::BackendTable;
use coltsfoothook_decision::budget::RepeatBudget;
use coltsfoothook_decision::coverage::{ReportHistory, TopicCoverage};
use coltsfoothook_decision::crash::CrashLedger;
use coltsfoothook_decision::domain_update::UPDATE_INTERVAL_US;
use coltsfoothook_decision::freshness::ConfigConfirmation;
use coltsfoothook_decision::id::{ServerName, TimePoint, stable_hash};
use coltsfoothook_decision::issuer::PermitIssuer;
use coltsfoothook_decision::lease::{LeaseSettings, OrderLease, assess_outage};
use coltsfoothook_decision::limit::FleetLimiter;
use coltsfoothook_decision::links::ServerLinks;
use coltsfoothook_decision::loadtime::LoadTimes;
use coltsfoothook_decision::named_version::NamedVersions;
use coltsfoothook_decision::origin::{OriginTable, ReportedStream};
use coltsfoothook_decision::permit::PermitHolder;
use coltsfoothook_decision::room::RoomHolder;
use coltsfoothook_decision::routing::{AdapterKey, RouteTable};
use coltsfoothook_decision::second_send::SecondSends;
use coltsfoothook_exchange::{ExchangeClient, ExchangeSettings, ServerDialer};
use coltsfoothook_platform::{HttpMetadata, HttpServers, MetadataStore, ServerCalls};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::sync::{Mutex as AsyncMutex, Notify, watch};

use crate::aggregate::DomainView;
use crate::buffer::BufferPool;
use crate::clock;
use crate::crash_records;
use crate::estimates::SharedEstimates;
use crate::limit_use::LimitUseList;
use crate::link::AnswerTimes;
use crate::load_request::LoadRequests;
use crate::message::SharedVersion;
use crate::metrics::GatewayMetrics;
use crate::order::ServerTrackers;
use crate::origin_records::OriginReader;
use crate::peer::PeerSocket;
use crate::permit::PlaceAskers;
use crate::record_updates::{EntryChanges, UPDATE_REPEAT_US};
use crate::room::WaitingTickets;
use crate::roster::PeerRoster;
use crate::settings::GatewaySettings;
use crate::skipped::SkippedKeys;
use crate::suspects::BrokenRuns;
use crate::uses::UseList;
use crate::waits::WaitList;

/// Topics whose partitions assign servers to VMs. With the platform's partitions per topic this
/// gives about fifty partitions, several for each VM, so that the partitions of a removed VM are
/// spread over several others.
pub(crate) const PARTITION_TOPICS: u32 = 4;
/// Lifetime of a group membership in multiples of the platform's minimum, and the number of
/// renewals in it: the membership expires if this many in a row fail.
pub(crate) const RENEWALS_PER_LIFETIME: u64 = 3;
/// Addition to the operators' pause between the orders of two successive holders, in microseconds.
/// The first holder learns of a reassignment up to one renewal interval late, and the last list
/// received from it may be half a second old.
const ORDER_PAUSE_MARGIN_US: u64 = 1_100_000;
/// Maximum number of idle connections kept to a server.
const IDLE_CONNECTIONS: usize = 16;
/// How long an idle connection is kept, in milliseconds, if its server states no keep-alive time.
/// Such servers close it either within a second or only after a long time. Opening a new one takes
/// a few milliseconds.
const KEEP_MS: u64 = 800;
/// Maximum time an idle connection is kept, in milliseconds, if its server states a longer one. It
/// bounds the connections of many VMs to one server, which resets those beyond its limit.
const MAX_KEEP_MS: u64 = 6_000;
/// How long the newest idle connection to a server is kept, in milliseconds. One from each VM is
/// far below a server's limit, and in large fleets a VM sends to a given server only every few
/// seconds.
const NEWEST_KEEP_MS: u64 = 30_000;

/// The fraction of the promised time for a new version (`version_ms`) during which the previous one
/// is still used.
const OLD_VERSION_FRACTION: f64 = 0.5;

/// The versions of an adapter that the operators named.
#[derive(Clone, Debug)]
pub(crate) struct NamedAdapter {
    pub(crate) key: AdapterKey,
    pub(crate) versions: NamedVersions,
}

/// A server whose entry was removed.
#[derive(Clone, Debug)]
pub(crate) struct LapsedServer {
    pub(crate) server: String,
    /// Offset of the removal in the entries' topic.
    pub(crate) position: u64,
    /// When the server is removed unless its entry is written again.
    pub(crate) until: TimePoint,
}

/// The VM's view of the system, on which its decisions are based.
pub(crate) struct SystemView {
    pub(crate) table: Option<Arc<RouteTable>>,
    /// Version of the newest configuration that the store has, as far as this VM read it since the
    /// store's last return from a copy; 0 if it read none.
    pub(crate) store_config: u64,
    /// Tracks when `table` was last confirmed to be the newest configuration.
    pub(crate) confirmation: ConfigConfirmation,
    pub(crate) wrong_keys: WrongKeys,
    /// When an unknown key last caused a poll of the store.
    pub(crate) unknown_key_queried_at: Option<TimePoint>,
    pub(crate) limiter: FleetLimiter,
    /// Permits of this VM for servers with limits, and those that it issues.
    pub(crate) permits: PermitHolder,
    pub(crate) issuer: PermitIssuer,
    /// Places of this VM at servers that bear few refusals.
    pub(crate) rooms: RoomHolder,
    pub(crate) tickets: WaitingTickets,
    pub(crate) askers: PlaceAskers,
    /// VMs that left questions without an answer, and until when others are asked in their place.
    pub(crate) silent_issuers: Vec<(SocketAddr, TimePoint)>,
    /// Requests at servers with limits, for the log.
    pub(crate) limit_uses: LimitUseList,
    /// Whether customers' use changed since this VM last reported it.
    pub(crate) uses_changed: bool,
    /// Named versions, sorted by adapter.
    pub(crate) versions: Vec<NamedAdapter>,
    /// How long after a version was named the one before is still used, in microseconds.
    pub(crate) old_version_us: u64,
    pub(crate) backends: BackendTable,
    /// Crashes of servers, and the requests that they are attributed to.
    pub(crate) crashes: CrashLedger,
    /// Until when this VM waits for what the store's records say of crashes; zero once it has read them.
    pub(crate) crashes_awaited_until: TimePoint,
    /// The highest era of the store that an answer named.
    pub(crate) store_era: u32,
    /// Requests that broke at servers which may have crashed.
    pub(crate) broken: BrokenRuns,
    /// Whether this VM reaches any server.
    pub(crate) links: ServerLinks,
    /// Software versions that streams began at.
    pub(crate) origins: OriginTable,
    /// Origins of streams that this VM is to record in the store.
    pub(crate) pending_origins: Vec<ReportedStream>,
    pub(crate) budget: RepeatBudget,
    /// Estimates of the fleet that VMs share.
    pub(crate) estimates: SharedEstimates,
    /// How long requests wait for their answers, and which of them are sent to a second server.
    pub(crate) second_sends: SecondSends,
    pub(crate) roster: PeerRoster,
    pub(crate) lease: OrderLease,
    pub(crate) order_trackers: ServerTrackers,
    pub(crate) times: LoadTimes,
    pub(crate) load_requests: LoadRequests,
    pub(crate) waits: WaitList,
    /// Whether the servers' entries were read at least once.
    pub(crate) entries_read: bool,
    /// Time up to which the readers, the VMs that read the store for others, know the operators'
    /// records.
    pub(crate) operators_known_at: TimePoint,
    /// Time up to which the readers know the servers' entries.
    pub(crate) entries_known_at: TimePoint,
    /// Offsets of the operators' topic whose named versions this VM knows, from its own reads and
    /// from reports.
    pub(crate) operator_coverage: TopicCoverage,
    /// Whether updates left a gap in the known versions since this VM last read them itself.
    pub(crate) missed_operators: bool,
    /// Named versions that this VM's last reads found, to be reported to others.
    pub(crate) version_history: ReportHistory<Vec<SharedVersion>>,
    /// Offsets of the entries' topic that this VM knows, from its own reads and from reports.
    pub(crate) entry_coverage: TopicCoverage,
    /// Whether updates left a gap in the known entries since this VM last read them itself.
    pub(crate) missed_entries: bool,
    /// Changes that this VM's last reads found, to be reported to others.
    pub(crate) entry_history: ReportHistory<EntryChanges>,
    /// Servers of which another VM reported a change that this VM has not read itself yet, sorted.
    pub(crate) peer_changes: Vec<ServerName>,
    /// Servers whose entry was removed, sorted by name.
    pub(crate) lapsed: Vec<LapsedServer>,
    /// Servers' entries that could not be parsed.
    pub(crate) skipped: SkippedKeys,
    /// When the store last answered, by kind of call.
    pub(crate) answers: AnswerTimes,
    /// Whether this VM calls the store about once a second. Only then does the time of its last
    /// successful call show others whether there is an outage.
    pub(crate) calls_store: bool,
    /// Use of adapters that is not yet reported to the owners of their servers.
    pub(crate) uses: UseList,
    /// What this VM knows of the aggregators, and its own state as one.
    pub(crate) domain: DomainView,
    /// Since when the fleet has been too large for each VM to report to all others.
    pub(crate) large_since: TimePoint,
    /// Servers at which this VM's counts changed since it last reported them.
    pub(crate) unreported_loads: Vec<ServerName>,
    pub(crate) rng: Pcg64,
}

/// A gateway process.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) incarnation: u64,
    pub(crate) started: TimePoint,
    view: Mutex<SystemView>,
    /// Notified when servers or what they hold change, so that waiting requests check again.
    pub(crate) changed: Notify,
    /// Notified when another VM reported its counts, so that requests held back here check again.
    /// It is separate from `changed` because each check goes through all servers and hundreds of
    /// such reports may arrive in a second.
    pub(crate) peer_loads_changed: Notify,
    /// Notified when a server has read a prompt sent by this VM.
    pub(crate) own_prompt_read: Notify,
    /// Notified when this VM's counts at a server changed.
    pub(crate) loads_changed: Notify,
    /// Notified when another VM has a newer configuration than the one in force here.
    pub(crate) config_behind: Notify,
    /// Notified when a request has a key that the configuration in force does not know.
    pub(crate) unknown_key_seen: Notify,
    /// Notified when streams began that other VMs are to be told of.
    pub(crate) streams_began: Notify,
    /// Notified when this VM is to record where streams began.
    pub(crate) origins_pending: Notify,
    /// Reads where streams began from the store.
    pub(crate) origin_reader: AsyncMutex<OriginReader>,
    /// Notified when crashes or trials were found that are to be recorded in the store.
    pub(crate) crashes_found: Notify,
    /// Notified when another VM told where streams began.
    pub(crate) origins_told: Notify,
    /// Notified when the configuration was confirmed to be the newest.
    pub(crate) confirmed: Notify,
    /// Notified when this VM missed changes of servers' entries.
    pub(crate) entries_missed: Notify,
    pub(crate) client: ExchangeClient,
    /// For calls to other VMs.
    pub(crate) peer_client: ExchangeClient,
    pub(crate) servers: Box<dyn ServerCalls>,
    pub(crate) store: Box<dyn MetadataStore>,
    pub(crate) peers: Arc<PeerSocket>,
    pub(crate) metrics: GatewayMetrics,
    leaving: AtomicBool,
    /// Set when keep-alive connections should end.
    pub(crate) closing: watch::Sender<bool>,
    /// Set when no request is sent to a server any more, since the process ends before most of them would.
    pub(crate) ending: watch::Sender<bool>,
    /// Number of requests that were accepted and have not ended.
    pub(crate) open: AtomicU64,
    /// Number of callers' connections that brought a request and have not ended. An answer may be
    /// on its way to its caller after its request has ended.
    pub(crate) used_connections: AtomicU64,
    /// What it holds for callers and servers.
    pub(crate) buffers: BufferPool,
}

impl Gateway {
    #[cfg(test)]
    pub(crate) fn new(settings: GatewaySettings, peers: PeerSocket) -> Self {
        Self::with_dialer(settings, peers, Arc::new(coltsfoothook_exchange::TcpDialer))
    }

    pub(crate) fn with_dialer(
        settings: GatewaySettings,
        peers: PeerSocket,
        dialer: Arc<dyn ServerDialer>,
    ) -> Self {
        // It grows with each start, unless the clock was set back by more than the previous process ran.
        let incarnation = clock::unix_ms();
        let promises = &settings.promises;
        let lease = LeaseSettings {
            topics: PARTITION_TOPICS,
            partitions: settings.store.parts,
            lifetime_us: settings.store.least_lifetime_ms * RENEWALS_PER_LIFETIME * 1_000,
            takeover_delay_us: promises.order_pause_ms * 1_000 + ORDER_PAUSE_MARGIN_US,
        };
        let exchange = ExchangeSettings {
            keep_ms: KEEP_MS,
            most_keep_ms: MAX_KEEP_MS,
            newest_keep_ms: NEWEST_KEEP_MS,
            idle_connections: IDLE_CONNECTIONS,
            connect_ms: 400,
            receive_kb: settings.buffers.socket_kb,
            ..ExchangeSettings::default()
        };
        let client = ExchangeClient::with_dialer(exchange.clone(), dialer);
        let view = SystemView {
            table: None,
            store_config: 0,
            confirmation: ConfigConfirmation::new(promises.key_removal()),
            wrong_keys: WrongKeys::default(),
            unknown_key_queried_at: None,
            limiter: FleetLimiter::new(promises.limit_excess(), UPDATE_INTERVAL_US),
            permits: PermitHolder::default(),
            issuer: PermitIssuer::starting(clock::now()),
            rooms: RoomHolder::new(&settings.vm, incarnation),
            tickets: WaitingTickets::default(),
            askers: PlaceAskers::default(),
            silent_issuers: Vec::new(),
            limit_uses: LimitUseList::default(),
            uses_changed: false,
            versions: Vec::new(),
            old_version_us: (promises.version_ms as f64 * OLD_VERSION_FRACTION * 1_000.0) as u64,
            backends: BackendTable::new(settings.choice.memory_first),
            crashes: CrashLedger::starting(clock::now()),
            crashes_awaited_until: clock::now().plus(crash_records::MAX_WAIT_US),
            store_era: 0,
            broken: BrokenRuns::default(),
            links: ServerLinks::default(),
            origins: OriginTable::default(),
            pending_origins: Vec::new(),
            budget: RepeatBudget::new(promises.repeats()),
            estimates: SharedEstimates::new(&settings.choice),
            second_sends: SecondSends::new(settings.second_send.bounds()),
            roster: PeerRoster::default(),
            lease: OrderLease::new(lease),
            order_trackers: ServerTrackers::default(),
            times: LoadTimes::default(),
            load_requests: LoadRequests::default(),
            waits: WaitList::default(),
            entries_read: false,
            operators_known_at: TimePoint(0),
            entries_known_at: TimePoint(0),
            operator_coverage: TopicCoverage::default(),
            missed_operators: false,
            version_history: ReportHistory::new(UPDATE_REPEAT_US),
            entry_coverage: TopicCoverage::default(),
            missed_entries: false,
            entry_history: ReportHistory::new(UPDATE_REPEAT_US),
            peer_changes: Vec::new(),
            lapsed: Vec::new(),
            skipped: SkippedKeys::default(),
            answers: AnswerTimes::default(),
            calls_store: false,
            uses: UseList::default(),
            domain: DomainView::new(&settings.capacity),
            large_since: clock::now(),
            unreported_loads: Vec::new(),
            rng: Pcg64::seed_from_u64(incarnation ^ stable_hash(&[settings.vm.as_str()])),
        };
        Self {
            incarnation,
            started: clock::now(),
            view: Mutex::new(view),
            changed: Notify::new(),
            peer_loads_changed: Notify::new(),
            own_prompt_read: Notify::new(),
            loads_changed: Notify::new(),
            config_behind: Notify::new(),
            unknown_key_seen: Notify::new(),
            streams_began: Notify::new(),
            origins_pending: Notify::new(),
            origin_reader: AsyncMutex::default(),
            crashes_found: Notify::new(),
            origins_told: Notify::new(),
            confirmed: Notify::new(),
            entries_missed: Notify::new(),
            servers: Box::new(HttpServers::new(client.clone())),
            store: Box::new(HttpMetadata::new(settings.store.address)),
            client,
            peer_client: ExchangeClient::new(exchange),
            peers: Arc::new(peers),
            metrics: GatewayMetrics::new(),
            leaving: AtomicBool::new(false),
            closing: watch::Sender::new(false),
            ending: watch::Sender::new(false),
            open: AtomicU64::new(0),
            used_connections: AtomicU64::new(0),
            buffers: BufferPool::new(settings.buffers.total_mb << 20),
            settings,
        }
    }

    /// Locks the VM's view. The guard must not be held across an await point.
    pub(crate) fn view(&self) -> MutexGuard<'_, SystemView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the process is ending.
    pub(crate) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks the process as ending.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests that have not ended, and of connections that may still carry
    /// answers.
    pub(crate) fn unfinished(&self) -> (u64, u64) {
        (self.open.load(Ordering::Relaxed), self.used_connections.load(Ordering::Relaxed))
    }

    /// Returns whether callers should be sent to this VM.
    pub(crate) fn ready(&self) -> bool {
        !self.leaving() && self.view().serves(clock::now())
    }
}

impl SystemView {
    /// Records that this VM's counts at a server changed, to be reported with the next batch.
    pub(crate) fn load_changed(&mut self, server: &ServerName) {
        if !self.unreported_loads.contains(server) {
            self.unreported_loads.push(server.clone());
        }
    }

    /// Returns whether the configuration in force has customers.
    pub(crate) fn has_customers(&self) -> bool {
        self.table.as_ref().is_some_and(|table| !table.customers().is_empty())
    }

    /// Returns whether requests can be served. False before the first configuration and the first
    /// read of the entries, before it is known which requests crash servers, and while the
    /// configuration has customers but is not confirmed, since no key may be accepted then.
    pub(crate) fn serves(&self, now: TimePoint) -> bool {
        let confirmed = !self.has_customers() || self.confirmation.is_valid(now);
        self.table.is_some() && confirmed && self.entries_read && self.knows_crashes(now)
    }

    /// Returns a random number.
    pub(crate) fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }

    /// Returns the versions of an adapter that the operators named; `None` if none was named.
    pub(crate) fn named(&self, key: &AdapterKey) -> Option<&NamedVersions> {
        let at = self.versions.binary_search_by(|named| named.key.cmp(key)).ok()?;
        Some(&self.versions[at].versions)
    }

    /// Records a version named by the operators. Returns whether it is newer than the known one;
    /// older versions are ignored.
    pub(crate) fn name_version(&mut self, key: AdapterKey, version: u64, now: TimePoint) -> bool {
        match self.versions.binary_search_by(|named| named.key.cmp(&key)) {
            Ok(at) => {
                let named = &mut self.versions[at].versions;
                named.settle(self.old_version_us, now);
                named.name(version, now)
            }
            Err(at) => {
                let versions = NamedVersions::first(version);
                self.versions.insert(at, NamedAdapter { key, versions });
                true
            }
        }
    }

    /// Returns the fencing number for orders to a server; `None` if this VM may not send any now.
    pub(crate) fn fence(
        &self,
        settings: &GatewaySettings,
        server: &ServerName,
        now: TimePoint,
    ) -> Option<u64> {
        if !self.lease.holds(server) {
            return None;
        }
        // Where servers do not check fencing numbers, the lack of lists from the previous owner
        // does not show that it stopped: it may be cut off from this VM and still reach the server.
        let by_lists = settings.promises.servers_check_fences;
        let other = self.backends.other_owner_at(server.as_str(), &settings.vm);
        let outage = assess_outage(&self.roster.witnesses(now), now);
        self.lease.fence(server, other.filter(|_| by_lists), outage, now)
    }

    /// Returns the fraction of the fleet's slack for repeats that is this VM's alone.
    pub(crate) fn slack_share(&self, now: TimePoint) -> f64 {
        self.lease.settled_fraction(self.budget.bounds().window_us, now)
    }

    /// Returns the number of live VMs, this one included.
    pub(crate) fn vm_count(&self, now: TimePoint) -> usize {
        self.roster.live_count(now) + 1
    }
}
