//! Timers of an owned group: reports of its engines, ticks, schedules and what the owner must know
//! of VMs and of the log.

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

/// The owner's timers while something waits or loads, and while nothing does. Events are handled at
/// once in either case.
const BUSY_TICK: Duration = Duration::from_millis(25);
const IDLE_TICK: Duration = Duration::from_millis(100);
/// How often the owner is told of VMs and of the log.
const VIEW_PERIOD: Duration = Duration::from_millis(250);
/// How often the schedules are looked through.
const SCHEDULE_PERIOD: Duration = Duration::from_millis(2_000);
/// The pause after a report that failed: an engine that refuses connections is known to be down soon.
const FAILED_PAUSE: Duration = Duration::from_millis(50);
/// The pause before a fence that was not raised is tried again.
const FENCE_PAUSE: Duration = Duration::from_millis(50);
const MILLIS_PER_SECOND: u64 = 1_000;
/// Schedules are told to the owner so long before their lead begins.
const SCHEDULE_AHEAD_MS: u64 = 10_000;

/// Runs until the group goes to another VM or the process ends.
pub(crate) async fn watch_shard(core: Arc<EntryCore>, shard: Arc<OwnerShard>) {
    let mut watched: Vec<ServerName> = Vec::new();
    let mut view_due = Instant::now();
    let mut schedule_due = view_due;
    loop {
        let now = Instant::now();
        if now >= view_due {
            view_due = now + VIEW_PERIOD;
            tell_view(&core, &shard);
            watch_engines(&core, &shard, &mut watched);
        }
        if now >= schedule_due {
            schedule_due = now + SCHEDULE_PERIOD;
            tell_schedules(&core, &shard);
        }
        shard.drive(&core, OwnerEvent::Tick);
        let tick = if shard.is_busy() { BUSY_TICK } else { IDLE_TICK };
        tokio::select! {
            () = shard.ended.cancelled() => return,
            () = sleep(tick) => {}
        }
    }
}

fn tell_view(core: &Arc<EntryCore>, shard: &Arc<OwnerShard>) {
    let now = core.clock.now();
    let (vms, gone, majority) = {
        let members = lock(&core.members);
        let region = members.own().place().region.clone();
        let majority = members.majority(region.as_str());
        let all = std::iter::once(members.own()).chain(members.others());
        let ours = all.filter(|row| row.place().region == region);
        let vms: Vec<VmName> = ours.clone().map(|row| row.identity().vm.clone()).collect();
        let dead = ours.filter(|row| row.state() == MemberState::Dead);
        let gone: Vec<_> = dead.map(|row| row.identity().clone()).collect();
        (vms, gone, majority)
    };
    shard.drive(core, OwnerEvent::ListedVms { vms, majority });
    for vm in gone {
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

async fn watch_engine(core: Arc<EntryCore>, shard: Arc<OwnerShard>, server: ServerName) {
    let period = Duration::from_millis(core.settings.report_ms);
    let mut fenced = None;
    while !shard.ended.is_cancelled() {
        let asked = Instant::now();
        let view = core.view();
        let Some((entry, engine)) = view.engine(server.as_str()) else { return };
        if !shard.engines().contains(&server) {
            return;
        }
        let report = core.clients.engines.report(entry.address).await;
        let incarnation = report.as_ref().ok().map(|report| report.incarnation);
        if engine.checks_fencing && incarnation.is_some() && fenced != incarnation {
            if raise_fence(&core, &shard, entry.address).await {
                fenced = incarnation;
            }
            continue;
        }
        let pause = if report.is_ok() { period } else { period.min(FAILED_PAUSE) };
        let event = match report {
            Ok(report) => OwnerEvent::Report { server: server.clone(), report },
            Err(_) => OwnerEvent::ReportFailed { server: server.clone() },
        };
        shard.drive(&core, event);
        tokio::select! {
            () = shard.ended.cancelled() => return,
            () = sleep(pause.saturating_sub(asked.elapsed())) => {}
        }
    }
}

/// Makes an engine that checks fencing numbers know this owner's, by an order that changes nothing.
///
/// Until the engine has seen the number it obeys a deposed owner that does not know yet that it is
/// one, and would evict slots that this owner has granted. The owner learns of an engine's slots
/// only by its reports, so it grants none of them before the engine is fenced.
async fn raise_fence(core: &EntryCore, shard: &OwnerShard, address: SocketAddr) -> bool {
    let slot = SlotName(format!("fence#{}", shard.epoch));
    let order = UnloadOrder { slot, fencing: shard.epoch };
    let raised = core.clients.engines.unload(address, &order).await;
    if raised.is_err() {
        sleep(FENCE_PAUSE).await;
    }
    raised.is_ok()
}

fn tell_schedules(core: &Arc<EntryCore>, shard: &Arc<OwnerShard>) {
    let view = core.view();
    let region = core.settings.region.as_str();
    let now = wall_ms();
    for schedule in &view.manifest.schedules {
        let due_in_ms = due_in_ms(schedule, now);
        let lead_ms = u64::from(schedule.lead_s) * MILLIS_PER_SECOND;
        if due_in_ms > lead_ms + SCHEDULE_AHEAD_MS {
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
