//! Writes snapshots of streams before retention removes the records that they replace.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::record::{CONFIG_STREAM, CONTROL_STREAM, ControlRecord};
use coltsfoothook_decision::snapshot::{SnapshotPlan, SnapshotSettings};
use coltsfoothook_telemetry::event;
use tokio::time::sleep;

use crate::core::{EntryCore, read};
use crate::held::lock;

const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(20);

/// Writes snapshots when they are due, until the process ends.
pub(crate) async fn run_snapshots(core: Arc<EntryCore>) {
    let settings = SnapshotSettings::default();
    let now = core.clock.now();
    let mut config = SnapshotPlan::new(settings.clone(), CONFIG_STREAM, now);
    let mut control = SnapshotPlan::new(settings, CONTROL_STREAM, now);
    while !core.closing.is_cancelled() {
        sleep(SNAPSHOT_CHECK_INTERVAL).await;
        if !core.health.readable(core.clock.now()) {
            continue;
        }
        write_config(&core, &mut config);
        write_control(&core, &mut control);
    }
}

fn write_config(core: &Arc<EntryCore>, plan: &mut SnapshotPlan) {
    let now = core.clock.now();
    if let Some(through) = core.health.snapshot(CONFIG_STREAM) {
        plan.note(now, through);
    }
    let next = lock(&core.config).next();
    if !plan.due(now, next, &lock(&core.members)) {
        return;
    }
    let Some(record) = lock(&core.config).snapshot() else { return };
    let data = serde_json::to_string(&record).expect("records have text keys");
    append(core, CONFIG_STREAM, data);
}

fn write_control(core: &Arc<EntryCore>, plan: &mut SnapshotPlan) {
    let now = core.clock.now();
    if let Some(through) = core.health.snapshot(CONTROL_STREAM) {
        plan.note(now, through);
    }
    let next = read(&core.control).next();
    if !plan.due(now, next, &lock(&core.members)) {
        return;
    }
    let Some(snapshot) = read(&core.control).snapshot() else { return };
    let record = ControlRecord::Snapshot(Box::new(snapshot));
    let data = serde_json::to_string(&record).expect("records have text keys");
    append(core, CONTROL_STREAM, data);
}

fn append(core: &Arc<EntryCore>, stream: &'static str, data: String) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let writer = match stream {
            CONFIG_STREAM => &core.writers.config,
            _ => &core.writers.control,
        };
        if writer.append(data, SNAPSHOT_TIMEOUT).await.is_ok() {
            event!(SnapshotWritten, stream = stream);
        }
    });
}
