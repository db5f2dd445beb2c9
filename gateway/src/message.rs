//! Messages between VMs.
//!
//! Each message is one datagram and carries a whole state, so that losing, repeating or delaying
//! one does no harm: what matters is repeated within a second. Times in messages are durations,
//! since the VMs' clocks differ.

use std::net::SocketAddr;

use coltsfoothook_decision::counts::LoadFigure;
use coltsfoothook_decision::coverage::ReportedSpan;
use coltsfoothook_decision::crash::CrashReport;
use coltsfoothook_decision::domain_update::ListChange;
use coltsfoothook_decision::id::{DomainName, ServerName, TimePoint, VmName};
use coltsfoothook_decision::limit::BucketState;
use coltsfoothook_decision::origin::{ReportedStream, StreamMark};
use coltsfoothook_decision::permit::{PermitQuestion, PermitReply};
use coltsfoothook_decision::routing::{AdapterKey, BackendEntry, RouteTable};
use coltsfoothook_decision::statement::ReportedStatement;
use coltsfoothook_decision::usage::UsageReport;
use coltsfoothook_decision::value;

use crate::estimates::ReportedEstimates;

value! {
    /// A VM's state, sent to other VMs a few times a second.
    pub(crate) struct VmState {
        pub vm: VmName,
        /// Incarnation of its process.
        pub incarnation: u64,
        /// Number of its state messages, which shows older ones.
        pub sequence: u64,
        /// Where it takes callers' requests.
        pub requests: SocketAddr,
        /// Whether callers should be sent to it.
        pub ready: bool,
        /// Whether its process is ending.
        pub leaving: bool,
        /// Version of the configuration in force at the VM, 0 if none is.
        pub config: u64,
        /// Milliseconds since its last successful call to the platform's store. `None` from a VM
        /// that seldom calls the store, so that the lack of calls says nothing about the store.
        pub store_age_ms: Option<u32>,
        /// Its failure domain.
        pub domain: DomainName,
        /// Whether it has the processor and the link to be eligible to aggregate for its domain.
        #[serde(rename = "strong")]
        pub can_aggregate: bool,
        /// Whether it aggregates now.
        pub aggregates: bool,
        /// Its requests at servers. `None` in large fleets if the receiver does not aggregate them.
        pub loads: Option<Vec<ServerLoad>>,
        /// Its use of limits, sent to the same VMs as `loads`.
        pub uses: Option<UsageReport>,
        /// What servers stated to it, sent to the same VMs as `loads`.
        pub statements: Vec<ReportedStatement>,
        /// Addresses of some other live VMs, for discovery.
        pub others: Vec<SocketAddr>,
        /// What it observed lately, sent to the same VMs as `loads`.
        #[serde(skip)]
        pub estimates: ReportedEstimates,
    }

    /// A VM's requests at one server.
    pub(crate) struct ServerLoad {
        pub server: ServerName,
        /// Requests that have not ended.
        pub running: u32,
        /// Prompt tokens of those requests that have had no first event.
        #[serde(rename = "unread")]
        pub pending_prompt_tokens: u64,
    }

    /// A VM's requests at servers where they changed recently, sent between two state messages.
    pub(crate) struct LoadUpdate {
        pub vm: VmName,
        /// Incarnation of its process.
        pub incarnation: u64,
        /// Number of the last state message sent before.
        pub sequence: u64,
        /// Its requests at these servers.
        pub loads: Vec<ServerLoad>,
        /// Its use of limits, if it changed.
        pub uses: Option<UsageReport>,
        /// What servers stated to it.
        pub statements: Vec<ReportedStatement>,
    }

    /// Lists of what servers hold: of one from the VM that orders it, or of several from an
    /// aggregator.
    pub(crate) struct ServerLists {
        /// The lists, complete or with changes only.
        pub lists: Vec<ListChange>,
        /// Expected duration of loading an adapter from the weight store, in microseconds, while
        /// few loads are in flight.
        pub load_us: u32,
        /// The same per load in flight, in microseconds, while many are.
        pub each_us: u32,
        /// Whether a load was shown to be shorter than the VM expected since its last report.
        pub shorter: bool,
    }

    /// An update from an aggregator to the VMs of its failure domain.
    pub(crate) struct DomainUpdate {
        pub vm: VmName,
        /// The requests of all VMs at servers.
        pub loads: Vec<ServerLoad>,
        /// Changes of what servers hold.
        pub lists: ServerLists,
        /// What servers stated to any VM.
        pub statements: Vec<ReportedStatement>,
        /// Bucket states of the customers that have little left of their limits.
        #[serde(rename = "standings")]
        pub bucket_states: Vec<BucketState>,
        /// How many VMs of all domains reported their customers' use recently.
        #[serde(rename = "in_touch")]
        pub reachable_vms: usize,
        /// Estimates of the fleet.
        #[serde(skip)]
        pub estimates: ReportedEstimates,
    }

    /// Sums over the VMs of a failure domain, from its aggregator to those of the other domains.
    pub(crate) struct DomainSums {
        pub vm: VmName,
        /// The requests of the domain's VMs at servers, sorted by server.
        pub loads: Vec<ServerLoad>,
        /// The use of limits over the domain's VMs.
        pub uses: UsageReport,
        /// What servers stated to any VM.
        pub statements: Vec<ReportedStatement>,
        /// How many of these VMs reported their use recently.
        pub members: usize,
        /// What the domain's VMs observed lately.
        #[serde(skip)]
        pub estimates: ReportedEstimates,
    }

    /// A query whether the sender's configuration is the newest.
    pub(crate) struct ConfirmationQuestion {
        /// Incarnation of the sender's process.
        pub incarnation: u64,
        /// Time of the query by the sender's clock, which the answer repeats.
        pub asked: TimePoint,
    }

    /// The answer to a [`ConfirmationQuestion`].
    pub(crate) struct ConfirmationAnswer {
        /// The query that is answered.
        pub question: ConfirmationQuestion,
        /// Version of the configuration in force at the VM that answers.
        pub config: u64,
        /// Milliseconds since that version was known to be the newest.
        pub age_ms: u64,
    }

    /// A request to load an adapter at a server, sent to the VM that orders it.
    pub(crate) struct LoadRequest {
        pub server: ServerName,
        pub key: AdapterKey,
        /// The version to load.
        pub version: u64,
        /// The VM whose requests wait for the load.
        pub vm: VmName,
        /// How many of its requests wait; 0 if a further copy is requested.
        pub waiting: u32,
        /// Milliseconds within which the load must be done for the newest of them to be served in
        /// time.
        pub in_time_ms: u32,
    }

    /// Use of an adapter at a server, sent to the VM that orders the server.
    pub(crate) struct AdapterUse {
        pub server: ServerName,
        /// Start time of the server's incarnation.
        #[serde(rename = "born")]
        pub incarnation: u64,
        pub key: AdapterKey,
        /// Requests that began since the last message.
        pub count: u32,
        /// Requests that run now.
        pub running: u32,
        /// Whether a request found the adapter still loading.
        pub too_early: bool,
        /// Whether a request found the adapter not loaded.
        pub missing: bool,
        /// Whether a request was the first after the load, and found it done.
        pub in_time: bool,
    }

    /// The platform's records as held by one VM, for another that cannot read the store.
    pub(crate) struct SharedState {
        /// The configuration in force at that VM.
        pub table: Option<RouteTable>,
        /// Versions of adapters that the operators named.
        pub versions: Vec<SharedVersion>,
        /// The servers' entries.
        pub entries: Vec<BackendEntry>,
    }

    /// A version of an adapter that the operators named.
    pub(crate) struct SharedVersion {
        pub key: AdapterKey,
        pub version: u64,
    }

    /// Changes of records in the platform's store, from a VM that reads them for others.
    pub(crate) struct RecordUpdate {
        pub vm: VmName,
        /// Version of the configuration in force at the VM, 0 if none is.
        pub config: u64,
        /// Milliseconds since the store last answered its query for the operators' records.
        pub operators_age_ms: u32,
        /// Milliseconds since the store last answered its query for the servers' entries.
        pub servers_age_ms: u32,
        /// Offsets of the entries' topic whose changes the message carries.
        pub span: ReportedSpan,
        /// Offsets of the operators' topic whose named versions the message carries. `None` from
        /// releases that do not send it.
        #[serde(skip)]
        pub operator_span: Option<ReportedSpan>,
        /// Newly named versions of adapters.
        pub versions: Vec<SharedVersion>,
        /// Servers that appeared, began to leave, or changed their base models.
        pub entries: Vec<BackendEntry>,
        /// Servers whose entry was removed.
        pub gone: Vec<RemovedServer>,
    }

    /// A server whose entry was removed.
    pub(crate) struct RemovedServer {
        pub server: ServerName,
        /// Offset of the removal in the entries' topic.
        pub position: u64,
    }

    /// The content of a datagram.
    pub(crate) enum PeerMessage {
        /// A VM's state.
        State(VmState),
        /// What servers hold.
        Lists(ServerLists),
        /// A load request for an adapter.
        Wish(LoadRequest),
        /// Adapter use by the requests of the VM.
        Uses(VmName, Vec<AdapterUse>),
        /// Changes of records.
        News(RecordUpdate),
        /// Changes of a VM's requests.
        Loads(LoadUpdate),
        /// An update from the aggregator of the receiver's domain.
        Domain(DomainUpdate),
        /// The sums of another domain.
        Sums(DomainSums),
        /// A query whether the configuration is the newest.
        Question(ConfirmationQuestion),
        /// The answer to such a query.
        Answer(ConfirmationAnswer),
        /// A question for permits, and what the asking VM knows of the server's limit.
        PermitQuestion(PermitQuestion, ReportedStatement),
        /// The answer to such a question.
        PermitReply(PermitReply),
        /// Where streams began: reported by the VM they began at, or the answer to a question.
        Origins(Vec<ReportedStream>),
        /// A question where a stream began.
        OriginQuestion(StreamMark),
        /// Where streams began, for the receiver to record in the platform's store.
        OriginRecords(Vec<ReportedStream>),
        /// Crashes of servers, and which requests they are attributed to.
        Crashes(CrashReport),
    }
}

impl PeerMessage {
    /// Names of the kinds of messages in metrics.
    pub(crate) const KINDS: [&str; 16] = [
        "state",
        "lists",
        "wish",
        "uses",
        "news",
        "loads",
        "domain",
        "sums",
        "question",
        "answer",
        "permit_question",
        "permit_reply",
        "crashes",
        "origins",
        "origin_question",
        "origin_records",
    ];

    /// Returns the index of the message's kind in [`Self::KINDS`].
    pub(crate) fn kind(&self) -> usize {
        match self {
            Self::State(_) => 0,
            Self::Lists(_) => 1,
            Self::Wish(_) => 2,
            Self::Uses(..) => 3,
            Self::News(_) => 4,
            Self::Loads(_) => 5,
            Self::Domain(_) => 6,
            Self::Sums(_) => 7,
            Self::Question(_) => 8,
            Self::Answer(_) => 9,
            Self::PermitQuestion(..) => 10,
            Self::PermitReply(_) => 11,
            Self::Crashes(_) => 12,
            Self::Origins(_) => 13,
            Self::OriginQuestion(_) => 14,
            Self::OriginRecords(_) => 15,
        }
    }
}

impl ServerLoad {
    /// Converts a count to its form in messages.
    pub(crate) fn of((server, figure): (ServerName, LoadFigure)) -> Self {
        Self {
            server,
            running: figure.running,
            pending_prompt_tokens: figure.pending_prompt_tokens,
        }
    }

    /// Returns the reported count.
    pub(crate) fn figure(&self) -> LoadFigure {
        LoadFigure { running: self.running, pending_prompt_tokens: self.pending_prompt_tokens }
    }
}

impl AdapterUse {
    /// Returns what is to be reported now, and resets all but the server, the adapter and the
    /// running requests.
    pub(crate) fn take(&mut self) -> Self {
        let later =
            Self { running: self.running, ..Self::of(&self.server, self.incarnation, &self.key) };
        std::mem::replace(self, later)
    }

    /// Returns a use with nothing recorded yet.
    pub(crate) fn of(server: &ServerName, incarnation: u64, key: &AdapterKey) -> Self {
        Self {
            server: server.clone(),
            incarnation,
            key: key.clone(),
            count: 0,
            running: 0,
            too_early: false,
            missing: false,
            in_time: false,
        }
    }
}
