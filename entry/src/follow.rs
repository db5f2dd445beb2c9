//! Reads the streams of the log and folds their records into the shared state.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::config::{ConfigResolution, ConfigVerdict};
use coltsfoothook_decision::control::{ControlResolution, ControlVerdict};
use coltsfoothook_decision::id::LogOffset;
use coltsfoothook_decision::owner::OwnerEvent;
use coltsfoothook_decision::record::{
    CLAIM_STREAM, CONFIG_STREAM, CONTROL_STREAM, ClaimRecord, ConfigRecord, ControlRecord,
    JOB_STREAM, JobRecord,
};
use coltsfoothook_decision::suspect::{SuspectVerdict, verdict_of};
use coltsfoothook_platform::{LogError, LogPage};
use coltsfoothook_telemetry::event;
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::core::{EntryCore, read, write};
use crate::held::lock;
use crate::own::{configuration_changed, drive_all, ownership_changed};
use crate::restored::{RecentRecords, recover};
use crate::view::ConfigView;

/// How long the log holds a read open until a record arrives.
pub(crate) const READ_WAIT: Duration = Duration::from_millis(1_000);
/// Maximum number of records per read.
const READ_RECORDS: usize = 1_024;
/// Wait after a failed read.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A stream of the log that this process reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FollowedStream {
    Config,
    Control,
    Claims,
    Jobs,
}

impl FollowedStream {
    pub(crate) const ALL: [Self; 4] = [Self::Config, Self::Control, Self::Claims, Self::Jobs];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Config => CONFIG_STREAM,
            Self::Control => CONTROL_STREAM,
            Self::Claims => CLAIM_STREAM,
            Self::Jobs => JOB_STREAM,
        }
    }

    /// Returns the offset of the next record to fold.
    pub(crate) fn next(self, core: &EntryCore) -> u64 {
        match self {
            Self::Config => lock(&core.config).next(),
            Self::Control => read(&core.control).next(),
            Self::Claims => lock(&core.claims).fold().next(),
            Self::Jobs => core.jobs.next(),
        }
    }

    /// Goes back to an offset, from which on the log has other records than those that were read.
    pub(crate) fn rewind(self, core: &EntryCore, offset: LogOffset) {
        match self {
            Self::Config => lock(&core.config).rewind(offset.0),
            Self::Control => write(&core.control).rewind(offset.0),
            Self::Claims => lock(&core.claims).rewind(offset.0),
            Self::Jobs => core.jobs.rewind(offset.0),
        }
    }

    fn retained_from(self, core: &EntryCore, first: LogOffset) {
        match self {
            Self::Config => lock(&core.config).retained_from(first.0),
            Self::Control => write(&core.control).retained_from(first.0),
            // Claims do not depend on each other; those removed by retention have expired.
            Self::Claims => {
                if first.0 > 0 {
                    lock(&core.claims).skip(first.0 - 1);
                }
            }
            Self::Jobs => core.jobs.retained_from(first.0),
        }
    }
}

/// Reads and folds a stream until the process ends.
pub(crate) async fn follow_stream(core: Arc<EntryCore>, stream: FollowedStream) {
    let (mut recent, mut era) = (RecentRecords::default(), None);
    while !core.closing.is_cancelled() {
        let from = LogOffset(stream.next(&core));
        let answer = core.clients.log.read(stream.name(), from, READ_RECORDS, READ_WAIT).await;
        let present_era = core.clients.log.era();
        let lacks_offset = matches!(
            answer, Err(LogError::BehindRetention { first_kept }) if first_kept <= from
        );
        if era.is_some_and(|known| known != present_era) || lacks_offset {
            match recover(&core, stream, &mut recent).await {
                Ok(()) => era = Some(present_era),
                Err(error) => {
                    log_failed(&core, stream, &error);
                    sleep(RETRY_INTERVAL).await;
                }
            }
            continue;
        }
        match answer {
            Ok(page) => {
                era = Some(present_era);
                page.records.iter().for_each(|record| recent.push(record.clone()));
                log_answered(&core);
                if page.first_kept > from {
                    stream.retained_from(&core, page.first_kept);
                }
                core.health.set_end(stream as usize, page.next.0);
                let last = page.records.len() < READ_RECORDS;
                fold_page(&core, stream, page);
                if last && stream == FollowedStream::Jobs {
                    core.jobs.caught_up();
                }
            }
            Err(LogError::BehindRetention { first_kept }) => {
                log_answered(&core);
                event!(LogGap, stream = stream.name(), first_kept = first_kept);
                stream.retained_from(&core, first_kept);
            }
            Err(error) => {
                log_failed(&core, stream, &error);
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Records that the log answered, and logs the end of an outage.
fn log_answered(core: &EntryCore) {
    if core.health.read_answered(core.clock.now()) {
        event!(LogUp, vm = core.me.vm);
    }
}

/// Logs once per outage that the log is down, and once that no other VM is reachable either.
fn log_failed(core: &EntryCore, stream: FollowedStream, error: &LogError) {
    let now = core.clock.now();
    let since_answer_ms = core.health.since_answer_ms(now);
    if core.health.found_down(now) {
        event!(LogDown, stream = stream.name(), silent_ms = since_answer_ms, error = error);
    }
    if core.health.found_stale(now, core.settings.stale_ms) {
        event!(ConfigStale, version = core.view().version, silent_ms = since_answer_ms);
    }
}

fn fold_page(core: &Arc<EntryCore>, stream: FollowedStream, page: LogPage) {
    for record in page.records {
        let offset = record.offset.0;
        match stream {
            FollowedStream::Config => match parse::<ConfigRecord>(stream, offset, &record.data) {
                Some(record) => fold_config(core, offset, record),
                None => lock(&core.config).skip(offset),
            },
            FollowedStream::Control => match parse::<ControlRecord>(stream, offset, &record.data) {
                Some(record) => fold_control(core, offset, record),
                None => write(&core.control).skip(offset),
            },
            FollowedStream::Claims => match parse::<ClaimRecord>(stream, offset, &record.data) {
                Some(record) => crate::claims::fold_claims(core, offset, record),
                None => lock(&core.claims).skip(offset),
            },
            FollowedStream::Jobs => match parse::<JobRecord>(stream, offset, &record.data) {
                Some(record) => core.jobs.fold(core, offset, record),
                None => core.jobs.skip(offset),
            },
        }
    }
}

/// Parses a record. A record that cannot be parsed is skipped, by every reader of this release
/// alike, so their folds stay equal.
fn parse<T: DeserializeOwned>(stream: FollowedStream, offset: u64, data: &str) -> Option<T> {
    match serde_json::from_str(data) {
        Ok(record) => Some(record),
        Err(error) => {
            event!(RecordSkipped, stream = stream.name(), offset = offset, error = error);
            None
        }
    }
}

fn fold_config(core: &Arc<EntryCore>, offset: u64, record: ConfigRecord) {
    if let ConfigRecord::Snapshot { through, .. } = &record {
        core.health.snapshot_read(CONFIG_STREAM, *through);
    }
    let resolutions = lock(&core.config).fold(offset, record);
    let changed = resolutions.iter().any(|resolution| {
        matches!(resolution.verdict, ConfigVerdict::Accepted(_) | ConfigVerdict::Adopted(_))
    });
    if changed {
        install_config(core);
    }
    for resolution in resolutions {
        if let ConfigVerdict::Rejected(faults) = &resolution.verdict {
            let first = faults.first().map(ToString::to_string);
            event!(
                ConfigRejected,
                publish_id? = resolution.publish_id,
                faults = faults.len(),
                first? = first
            );
        }
        answer_publisher(core, resolution);
    }
}

/// Makes the fold's configuration the one in force in this process.
pub(crate) fn install_config(core: &Arc<EntryCore>) {
    let (version, manifest) = {
        let config = lock(&core.config);
        (config.version(), Arc::clone(config.manifest()))
    };
    let before = core.view().version;
    core.check(
        coltsfoothook_decision::invariant::InvariantName::ConfigNeverReverts,
        version >= before,
        || format!("version {version} after {before}"),
    );
    let view = Arc::new(ConfigView::new(version, manifest));
    *write(&core.view) = view;
    core.limits.configure(core);
    event!(ConfigInForce, version = version);
    configuration_changed(core);
}

fn answer_publisher(core: &EntryCore, resolution: ConfigResolution) {
    let Some(publish_id) = resolution.publish_id else { return };
    let mut waiters = lock(&core.publish_waiters);
    let Some(at) = waiters.iter().position(|waiter| waiter.publish_id == publish_id) else {
        return;
    };
    let waiter = waiters.swap_remove(at);
    let _ = waiter.answer.send(resolution.verdict);
}

fn fold_control(core: &Arc<EntryCore>, offset: u64, record: ControlRecord) {
    if let ControlRecord::Snapshot(snapshot) = &record {
        core.health.snapshot_read(CONTROL_STREAM, snapshot.through);
    }
    let resolutions = write(&core.control).fold(offset, record);
    for resolution in resolutions {
        apply_control(core, resolution);
    }
}

fn apply_control(core: &Arc<EntryCore>, resolution: ControlResolution) {
    match resolution.verdict {
        ControlVerdict::Owned(ownership) => ownership_changed(core, &ownership),
        ControlVerdict::IntentValid(intent) => {
            notify_intent(core, intent.group.as_str(), intent.epoch, intent.number, true);
        }
        ControlVerdict::IntentVoid(intent, _) => {
            notify_intent(core, intent.group.as_str(), intent.epoch, intent.number, false);
        }
        ControlVerdict::ServerDrain(server, draining) => {
            event!(ServerDraining, server = server, draining = draining);
            drive_all(core, &OwnerEvent::ServerDraining { server, draining });
        }
        ControlVerdict::VmDrain(vm, draining) => {
            event!(MemberLeaving, vm = vm, draining = draining);
        }
        ControlVerdict::Crashed(suspects) => {
            for suspect in &suspects {
                if verdict_of(suspect) == SuspectVerdict::Condemned {
                    let fingerprint = format!("{:016x}", suspect.fingerprint.0);
                    event!(RequestCondemned, fingerprint = fingerprint, crashes = suspect.crashes);
                }
            }
            notify_suspects(core);
        }
        ControlVerdict::Cleared(fingerprint) => {
            event!(SuspicionCleared, fingerprint = format!("{:016x}", fingerprint.0));
            notify_suspects(core);
        }
        ControlVerdict::Adopted => install_control(core),
        ControlVerdict::Superseded(_) | ControlVerdict::Nothing => {}
    }
}

fn notify_suspects(core: &Arc<EntryCore>) {
    let suspects = read(&core.control).suspects().to_vec();
    drive_all(core, &OwnerEvent::Suspects(suspects));
}

/// Applies a control state that was adopted as a whole, from a snapshot or from a peer.
pub(crate) fn install_control(core: &Arc<EntryCore>) {
    let owners = read(&core.control).owners().to_vec();
    for ownership in &owners {
        ownership_changed(core, ownership);
    }
    notify_suspects(core);
    notify_drains(core);
}

/// Notifies owned groups of the draining state of every server. A state that is adopted as a whole
/// has no drain records; without this an owner would go on using a draining server.
fn notify_drains(core: &Arc<EntryCore>) {
    let view = core.view();
    for server in &view.manifest.servers {
        let server = server.name.clone();
        let draining = read(&core.control).is_server_draining(server.as_str());
        drive_all(core, &OwnerEvent::ServerDraining { server, draining });
    }
}

fn notify_intent(
    core: &Arc<EntryCore>,
    group: &str,
    epoch: coltsfoothook_decision::id::OwnerEpoch,
    number: u64,
    valid: bool,
) {
    let Some(shard) = core.shard(group).filter(|shard| shard.epoch == epoch) else { return };
    shard.drive(core, OwnerEvent::IntentRead { number, valid });
}
