//! Timers of an owned group: engine reports, ticks, schedules, and the state of VMs and of the
//! log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::id::{ServerName, SlotName, VmName};
use coltsfoothook_decision::manifest::ScheduleEntry;
use coltsfoothook_decision::member::MemberState;
use coltsfoothook_decision::owner::OwnerEvent;
use coltsfoothook_engine::UnloadOrder;
use tokio::time::{Instant, sleep};

use crate::clock::wall_ms;
use crate::core::EntryCore;
use crate::held::lock;
use crate::own::OwnerShard;

/// Intervals of the owner's ticks while requests wait or adapters load, and while idle. Other
/// events are handled without delay.
const BUSY_TICK: Duration = Duration::from_millis(25);
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Interval at which the owner receives the state of VMs and of the log.
const VIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the schedules are checked.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(2_000);
/// Maximum wait after a failed report, so that an engine that is down is detected quickly.
const MAX_FAILED_INTERVAL: Duration = Duration::from_millis(50);
/// Wait before a failed attempt to raise the fence is repeated.
const FENCE_RETRY_INTERVAL: Duration = Duration::from_millis(50);
const MILLIS_PER_SECOND: u64 = 1_000;
/// The owner is notified of a schedule this long before the schedule's lead time begins.
const SCHEDULE_NOTICE_MS: u64 = 10_000;

/// Runs the timers of a shard until another VM takes the group over or the process ends.
pub(crate) async fn watch_shard(core: Arc<EntryCore>, shard: Arc<OwnerShard>) {
    let mut watched: Vec<ServerName> = Vec::new();
    let mut view_due = Instant::now();
    let mut schedule_due = view_due;
    loop {
        let now = Instant::now();
        if now >= view_due {
            view_due = now + VIEW_INTERVAL;
            notify_view(&core, &shard);
            watch_engines(&core, &shard, &mut watched);
        }
        if now >= schedule_due {
            schedule_due = now + SCHEDULE_INTERVAL;
            notify_schedules(&core, &shard);
        }
        shard.drive(&core, OwnerEvent::Tick);
        let tick = if shard.is_busy() { BUSY_TICK } else { IDLE_TICK };
        tokio::select! {
            () = shard.ended.cancelled() => return,
            () = sleep(tick) => {}
        }
    }
}

fn notify_view(core: &Arc<EntryCore>, shard: &Arc<OwnerShard>) {
    let now = core.clock.now();
    let (vms, dead_vms, majority) = {
        let members = lock(&core.members);
        let region = members.own().place().region.clone();
        let majority = members.majority(region.as_str());
        let all = std::iter::once(members.own()).chain(members.others());
        let ours = all.filter(|row| row.place().region == region);
        let vms: Vec<VmName> = ours.clone().map(|row| row.identity().vm.clone()).collect();
        let dead = ours.filter(|row| row.state() == MemberState::Dead);
        let dead_vms: Vec<_> = dead.map(|row| row.identity().clone()).collect();
        (vms, dead_vms, majority)
    };
    shard.drive(core, OwnerEvent::ListedVms { vms, majority });
    for vm in dead_vms {
        shard.drive(core, OwnerEvent::VmDead { vm });
    }
    shard.drive(core, OwnerEvent::LogState { writable: core.health.writable(now) });
}

/// Starts a task for each engine that is not watched yet. A task ends when its engine leaves the
/// configuration.
fn watch_engines(core: &Arc<EntryCore>, shard: &Arc<OwnerShard>, watched: &mut Vec<ServerName>) {
    let engines = shard.engines();
    watched.retain(|server| engines.contains(server));
    for server in engines {
        if !watched.contains(&server) {
            watched.push(server.clone());
            tokio::spawn(watch_engine(Arc::clone(core), Arc::clone(shard), server));
        }
    }
}

/// Polls an engine's reports until the shard ends or the engine leaves its topology.
async fn watch_engine(core: Arc<EntryCore>, shard: Arc<OwnerShard>, server: ServerName) {
    let period = Duration::from_millis(core.settings.report_ms);
    let mut fenced = None;
    while !shard.ended.is_cancelled() {
        let polled_at = Instant::now();
        let view = core.view();
        let Some((entry, engine)) = view.engine(server.as_str()) else { return };
        if !shard.engines().contains(&server) {
            return;
        }
        let report = core.clients.engines.report(entry.address).await;
        let engine_incarnation = report.as_ref().ok().map(|report| report.incarnation);
        if engine.checks_fencing && engine_incarnation.is_some() && fenced != engine_incarnation {
            if raise_fence(&core, &shard, entry.address).await {
                fenced = engine_incarnation;
            }
            continue;
        }
        let pause = if report.is_ok() { period } else { period.min(MAX_FAILED_INTERVAL) };
        let event = match report {
            Ok(report) => OwnerEvent::Report { server: server.clone(), report },
            Err(_) => OwnerEvent::ReportFailed { server: server.clone() },
        };
        shard.drive(&core, event);
        tokio::select! {
            () = shard.ended.cancelled() => return,
            () = sleep(pause.saturating_sub(polled_at.elapsed())) => {}
        }
    }
}

/// Sends this owner's fencing number to an engine that checks it, with an unload of a slot that
/// does not exist. Returns whether the engine accepted it.
///
/// Until then the engine obeys a deposed owner that is not aware of its successor, and could evict
/// slots that this owner has granted. The owner knows an engine's slots only from reports, which
/// are not passed on before the fence is raised.
async fn raise_fence(core: &EntryCore, shard: &OwnerShard, address: SocketAddr) -> bool {
    let slot = SlotName(format!("fence#{}", shard.epoch));
    let order = UnloadOrder { slot, fencing: shard.epoch };
    let raised = core.clients.engines.unload(address, &order).await;
    if raised.is_err() {
        sleep(FENCE_RETRY_INTERVAL).await;
    }
    raised.is_ok()
}

fn notify_schedules(core: &Arc<EntryCore>, shard: &Arc<OwnerShard>) {
    let view = core.view();
    let region = core.settings.region.as_str();
    let now = wall_ms();
    for schedule in &view.manifest.schedules {
        let due_in_ms = due_in_ms(schedule, now);
        let lead_ms = u64::from(schedule.lead_s) * MILLIS_PER_SECOND;
        if due_in_ms > lead_ms + SCHEDULE_NOTICE_MS {
            continue;
        }
        let Some((_, adapter)) =
            view.adapter_version(schedule.adapter.as_str(), Some(schedule.version.as_str()))
        else {
            continue;
        };
        let ranked = view.groups.route(schedule.adapter.as_str(), region).unwrap_or_default();
        let ours = ranked.first().is_some_and(|at| view.groups.group(*at).name == shard.group);
        if ours {
            shard.drive(core, OwnerEvent::Schedule { adapter, due_in_ms, lead_ms });
        }
    }
}

/// Milliseconds until a schedule is due next, from `now` in wall-clock milliseconds.
fn due_in_ms(schedule: &ScheduleEntry, now: u64) -> u64 {
    let period = u64::from(schedule.every_s.max(1)) * MILLIS_PER_SECOND;
    let due = u64::from(schedule.due_s) * MILLIS_PER_SECOND % period;
    (due + period - now % period) % period
}
