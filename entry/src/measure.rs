//! Maps events and state of the process to its metrics.

use coltsfoothook_decision::attempt::CallStage;
use coltsfoothook_decision::member::MemberState;
use coltsfoothook_decision::outcome::RequestClass;
use coltsfoothook_decision::owner::{EngineOrder, OrderResult, OwnerNote};
use coltsfoothook_decision::suspect::CONDEMNED_CRASHES;
use coltsfoothook_telemetry::{
    AppendResult, EvictionReason, LoadResult, MetricSet, MetricSettings, OrderKind,
    OrderResult as OrderLabel, RetryReason, SlotState, StreamName, TrafficKind,
};

use crate::core::{EntryCore, read};
use crate::follow::FollowedStream;
use crate::held::lock;

const MILLIS_PER_SECOND: f64 = 1_000.0;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Converts milliseconds to seconds.
pub(crate) fn seconds(millis: u64) -> f64 {
    millis as f64 / MILLIS_PER_SECOND
}

/// Converts microseconds to seconds.
pub(crate) fn micro_seconds(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_SECOND
}

fn stream_label(stream: FollowedStream) -> StreamName {
    match stream {
        FollowedStream::Config => StreamName::Config,
        FollowedStream::Control => StreamName::Control,
        FollowedStream::Claims => StreamName::Claims,
        FollowedStream::Jobs => StreamName::Jobs,
    }
}

/// The metric set of the process.
pub(crate) struct EntryMetrics {
    pub(crate) set: MetricSet,
}

impl EntryMetrics {
    pub(crate) fn new(settings: &MetricSettings) -> Self {
        Self { set: MetricSet::new(settings) }
    }

    /// Counts the loads and evictions that a group owner notes.
    pub(crate) fn owner_note(&self, note: &OwnerNote) {
        match note {
            OwnerNote::Loaded { took_ms, .. } => {
                self.set.count_load(LoadResult::Done, seconds(*took_ms));
            }
            OwnerNote::LoadFailed { .. } => self.set.count_load(LoadResult::Failed, 0.0),
            OwnerNote::Evicted { .. } => self.set.count_eviction(EvictionReason::Replaced),
            OwnerNote::Restarted { .. }
            | OwnerNote::Down { .. }
            | OwnerNote::PartQuarantined(_)
            | OwnerNote::PartReleased(_)
            | OwnerNote::SlotLost { .. }
            | OwnerNote::InheritedEvictable
            | OwnerNote::Deposed => {}
        }
    }

    /// Counts a completed order to an engine.
    pub(crate) fn order(&self, order: &EngineOrder, result: OrderResult) {
        let kind = match order {
            EngineOrder::Load { .. } => OrderKind::Load,
            EngineOrder::Unload { .. } => OrderKind::Evict,
        };
        let result = match result {
            OrderResult::Done => OrderLabel::Done,
            OrderResult::Stale => OrderLabel::Fenced,
            OrderResult::Failed => OrderLabel::Failed,
            OrderResult::Unknown => OrderLabel::Unknown,
        };
        self.set.count_order(kind, result);
    }

    /// Counts an append to the log; names of unknown streams are ignored.
    pub(crate) fn appended(&self, stream: &str, result: AppendResult) {
        let streams = FollowedStream::ALL.into_iter();
        if let Some(stream) = streams.into_iter().find(|known| known.name() == stream) {
            self.set.count_append(stream_label(stream), result);
        }
    }

    /// Counts a retry after an attempt that failed at `stage`.
    pub(crate) fn retried(&self, stage: CallStage) {
        let reason = match stage {
            CallStage::SlotMissing => RetryReason::SlotMissing,
            CallStage::Connecting | CallStage::Sending => RetryReason::NotReached,
            CallStage::OwnerLost | CallStage::GrantVoid => RetryReason::OwnerChanged,
            CallStage::OwnerRefused | CallStage::ServerRefused => RetryReason::Refused,
            _ => RetryReason::Broken,
        };
        self.set.count_retry(reason);
    }

    /// Updates the gauges; called whenever the metrics are read.
    pub(crate) fn refresh(&self, core: &EntryCore) {
        let now = core.clock.now();
        self.set.set_invariants(&core.invariant_counts());
        self.set.set_config(core.view().version, core.ready().is_ok());
        for stream in FollowedStream::ALL {
            let behind = core.health.end(stream as usize).saturating_sub(stream.next(core));
            self.set.set_log_lag(stream_label(stream), behind, core.health.since_answer_ms(now));
        }
        self.refresh_groups(core);
        self.refresh_members(core);
        let suspects = read(&core.control).suspects().to_vec();
        let condemned = suspects.iter().filter(|entry| entry.crashes >= CONDEMNED_CRASHES).count();
        self.set.set_suspects((suspects.len() - condemned) as u64, condemned as u64);
        let (waiting, running, finished) = core.jobs.counts();
        self.set.set_jobs(waiting, running, finished);
        for kind in [TrafficKind::Probe, TrafficKind::Grant, TrafficKind::Call] {
            let traffic = core.clients.peers.counters().take_traffic(kind);
            self.set.add_control(kind, traffic.messages, traffic.bytes);
        }
    }

    fn refresh_groups(&self, core: &EntryCore) {
        let shards = read(&core.owners).clone();
        self.set.set_owned_groups(shards.len() as u64);
        let mut waiting = [0_u64; RequestClass::ALL.len()];
        let (mut up, mut down, mut draining) = (0, 0, 0);
        let (mut used, mut idle) = (0, 0);
        for shard in shards {
            let status = shard.status(core);
            for queue in status.queues {
                waiting[queue.class as usize] += u64::from(queue.waiting);
            }
            for server in status.servers {
                let in_use = server.slots.iter().filter(|slot| slot.in_use > 0).count();
                used += in_use as u64;
                idle += (server.slots.len() - in_use) as u64;
                match (server.draining, server.up) {
                    (true, _) => draining += 1,
                    (false, true) => up += 1,
                    (false, false) => down += 1,
                }
            }
        }
        for (class, waiting) in RequestClass::ALL.into_iter().zip(waiting) {
            self.set.set_waiting(class, waiting);
        }
        self.set.set_servers(up, down, draining);
        self.set.set_slots(SlotState::Used, used);
        self.set.set_slots(SlotState::Idle, idle);
    }

    fn refresh_members(&self, core: &EntryCore) {
        let members = lock(&core.members);
        let states =
            [MemberState::Alive, MemberState::Leaving, MemberState::Suspect, MemberState::Dead];
        for state in states {
            let others = members.others().iter().filter(|row| row.state() == state).count();
            let own = usize::from(members.own().state() == state);
            self.set.set_members(state, (others + own) as u64);
        }
    }
}
