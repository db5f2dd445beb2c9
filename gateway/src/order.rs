//! Orders to the servers that this VM owns: those in the partitions whose lease it holds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::backend::ServerOwner;
use coltsfoothook_decision::domain_update::{ListChange, ListedHolding};
use coltsfoothook_decision::id::{ModelName, ServerName, TimePoint, VmName};
use coltsfoothook_decision::loadtime::{LoadForecast, ReportedTimes};
use coltsfoothook_decision::order_tracker::{
    OrderAction, OrderReply, OrderTracker, ReportedUse, ServerOrder, TrackerAction,
    TrackerSettings, WaitingRequests,
};
use coltsfoothook_decision::routing::{AdapterKey, EnginePlan, HeldModel};
use coltsfoothook_platform::OrderIssuer;
use coltsfoothook_telemetry::event;

use crate::clock;
use crate::message::{AdapterUse, PeerMessage, ServerLists};
use crate::state::{Gateway, SystemView};

/// Interval at which an unchanged list of a server is sent again, in microseconds. It reaches VMs
/// that missed a datagram or started since, and shows that the server has an owner.
const LIST_REPEAT_INTERVAL_US: u64 = 500_000;
/// The same interval in large fleets, where aggregators report each server once a second.
const LARGE_LIST_REPEAT_INTERVAL_US: u64 = 1_500_000;
/// Factor by which the rate of base model loads stays below what the weight store allows, since a
/// VM's first load after its start waits for none.
const MODEL_LOAD_MARGIN: f64 = 1.3;

/// The order tracker of a server, and what was last reported from it to other VMs.
#[derive(Debug)]
struct ServerTracker {
    server: ServerName,
    /// Incarnation that the tracker is for. A later incarnation has accepted no orders and holds no
    /// adapters.
    incarnation: u64,
    fence: u64,
    tracker: OrderTracker,
    /// Revision of the tracker at the last reported list.
    reported_revision: u64,
    reported_free: u32,
    reported_at: TimePoint,
    /// VMs that requested loads at this server, and when they last did.
    requesters: Vec<(VmName, TimePoint)>,
}

/// For how long after a load request the requester gets changed lists directly, in microseconds.
/// Loading from a busy store and polling the server for the result take less.
const REQUESTER_TTL_US: u64 = 1_500_000;

impl ServerTracker {
    /// Returns the VMs that recently requested a load at this server. They get changed lists
    /// directly: in large fleets an aggregator reports only a few times a second that a load was
    /// ordered, was lost or takes longer, and until then the requests they send would fail.
    fn requesters(&mut self, now: TimePoint) -> Vec<VmName> {
        self.requesters.retain(|(_, at)| now.since(*at) < REQUESTER_TTL_US);
        self.requesters.iter().map(|(vm, _)| vm.clone()).collect()
    }
}

/// The trackers of all servers that this VM owns, sorted by server.
#[derive(Debug, Default)]
pub(crate) struct ServerTrackers {
    trackers: Vec<ServerTracker>,
    /// When this VM last ordered the load of a base model.
    model_load_at: Option<TimePoint>,
}

impl ServerTrackers {
    fn find(&self, server: &ServerName) -> Result<usize, usize> {
        self.trackers.binary_search_by(|tracker| tracker.server.cmp(server))
    }

    /// Returns the tracker of a server, if this VM owns it.
    pub(crate) fn get(&mut self, server: &ServerName) -> Option<&mut OrderTracker> {
        let at = self.find(server).ok()?;
        Some(&mut self.trackers[at].tracker)
    }

    /// Records a load request for an adapter at a server; ignored if this VM does not own it.
    pub(crate) fn request_load(
        &mut self,
        server: &ServerName,
        key: &AdapterKey,
        version: u64,
        waiting: WaitingRequests,
        now: TimePoint,
    ) {
        let Ok(at) = self.find(server) else { return };
        let entry = &mut self.trackers[at];
        entry.requesters.retain(|(vm, _)| *vm != waiting.vm);
        entry.requesters.push((waiting.vm.clone(), now));
        entry.tracker.request_load(key, version, waiting, now);
    }

    /// Returns the tracker of a server, if it is for the incarnation `incarnation`.
    fn of_incarnation(
        &mut self,
        server: &ServerName,
        incarnation: u64,
    ) -> Option<&mut OrderTracker> {
        let at = self.find(server).ok()?;
        let entry = &mut self.trackers[at];
        (entry.incarnation == incarnation).then_some(&mut entry.tracker)
    }

    fn close(&mut self, server: &ServerName) -> bool {
        let found = self.find(server);
        found.map(|at| self.trackers.remove(at)).is_ok()
    }

    fn open(&mut self, server: &ServerName, terms: &OrderTerms, now: TimePoint) -> usize {
        let OrderTerms { incarnation, fence, slots, .. } = *terms;
        if self.find(server).is_ok_and(|at| self.trackers[at].incarnation != incarnation) {
            self.close(server);
        }
        let at = self.find(server).unwrap_or_else(|at| {
            event!(OwnerTaken, server = server, born = incarnation, fence = fence, places = slots);
            let mut tracker = OrderTracker::new(TrackerSettings::default(), slots, now);
            tracker.remember_held(&terms.recently_held);
            let server = server.clone();
            let entry = ServerTracker {
                server,
                incarnation,
                fence,
                tracker,
                reported_revision: 0,
                reported_free: 0,
                reported_at: TimePoint(0),
                requesters: Vec::new(),
            };
            self.trackers.insert(at, entry);
            at
        });
        self.trackers[at].fence = fence;
        self.trackers[at].tracker.set_slots(slots);
        at
    }

    /// Returns the servers with load requests that are not ordered yet.
    fn with_load_requests(&self) -> Vec<ServerName> {
        let requested = self.trackers.iter().filter(|entry| entry.tracker.has_load_requests());
        requested.map(|entry| entry.server.clone()).collect()
    }

    /// Returns the servers that have a tracker.
    pub(crate) fn servers(&self) -> Vec<ServerName> {
        self.trackers.iter().map(|tracker| tracker.server.clone()).collect()
    }
}

/// Parameters of the orders to a server.
struct OrderTerms {
    address: SocketAddr,
    incarnation: u64,
    fence: u64,
    slots: usize,
    /// The base model to load if the server holds none.
    model: Option<ModelName>,
    /// Adapters that the server probably still has in its own memory; only for one without a tracker.
    recently_held: Vec<AdapterKey>,
}

/// A call to be sent to a server.
struct ServerCall {
    address: SocketAddr,
    incarnation: u64,
    fence: u64,
    action: TrackerAction,
}

/// A server's list that is due to be reported.
struct DueList {
    lists: ServerLists,
    /// Requesters, which get the list directly in large fleets.
    requesters: Vec<VmName>,
}

/// Sends its next order to every server that this VM may send orders to.
pub(crate) fn send_next_orders(gateway: &Arc<Gateway>) {
    {
        // Most VMs of a large fleet own no server.
        let view = gateway.view();
        if view.lease.held() == 0 && view.order_trackers.trackers.is_empty() {
            return;
        }
    }
    let servers: Vec<ServerName> = {
        let view = gateway.view();
        let names = view.backends.servers().iter().map(|state| state.entry.server.clone());
        names.collect()
    };
    let known = gateway.view().order_trackers.servers();
    for server in known.iter().chain(servers.iter().filter(|server| !known.contains(server))) {
        send_next_order(gateway, server);
    }
}

/// Upper bound of the random delay before a VM orders the next load after one has finished, in
/// microseconds: about the time in which a list reaches the other VMs.
const LOAD_JITTER_US: u64 = 6_000;
/// Interval of the check whether loads wait for others to finish.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(125);

/// Runs for ever, ordering loads that wait for other loads to finish.
///
/// Every VM receives the lists with all loads in flight and computes the same finish times. Without
/// a random delay, all would order their next load at the same time.
pub(crate) async fn order_waiting_loads(gateway: Arc<Gateway>) {
    loop {
        let pause = next_load_delay(&gateway).unwrap_or(LOAD_CHECK_INTERVAL);
        tokio::time::sleep(pause).await;
        let servers = gateway.view().order_trackers.with_load_requests();
        for server in &servers {
            send_next_order(&gateway, server);
        }
    }
}

/// Returns the time until this VM may order a load that waits for others; `None` if none waits or
/// no load is in flight.
fn next_load_delay(gateway: &Gateway) -> Option<Duration> {
    let now = clock::now();
    let mut view = gateway.view();
    if view.order_trackers.with_load_requests().is_empty() {
        return None;
    }
    let done = view.backends.next_load_done(now)?;
    Some(Duration::from_micros(done.since(now) + view.random() % LOAD_JITTER_US))
}

/// Sends a server its next order, if there is one, and reports changes of its list.
pub(crate) fn send_next_order(gateway: &Arc<Gateway>, server: &ServerName) {
    if let Some(call) = next_call(gateway, server) {
        let (gateway, server) = (Arc::clone(gateway), server.clone());
        tokio::spawn(async move {
            let mut call = Some(call);
            while let Some(next) = call {
                perform(&gateway, &server, next).await;
                call = next_call(&gateway, &server);
            }
        });
    }
}

fn next_call(gateway: &Arc<Gateway>, server: &ServerName) -> Option<ServerCall> {
    let now = clock::now();
    let mut view = gateway.view();
    let (call, list) = view.next_call(gateway, server, now)?;
    drop(view);
    if let Some(list) = list {
        send_list(gateway, list);
    }
    call
}

impl SystemView {
    fn next_call(
        &mut self,
        gateway: &Gateway,
        server: &ServerName,
        now: TimePoint,
    ) -> Option<(Option<ServerCall>, Option<DueList>)> {
        let Some(terms) = self.order_terms(gateway, server, now) else {
            if self.order_trackers.close(server) {
                event!(OwnerLost, server = server);
            }
            return None;
        };
        let at = self.order_trackers.open(server, &terms, now);
        let OrderTerms { address, incarnation, fence, model, .. } = terms;
        let forecast = self.forecast(now);
        let may_load = model.is_some() && self.order_trackers.trackers[at].tracker.is_empty();
        let entry = &mut self.order_trackers.trackers[at];
        let action = entry.tracker.next(model.as_ref().filter(|_| may_load), &forecast, now);
        if let Some(TrackerAction::Order(order)) = &action
            && matches!(order.action, OrderAction::LoadModel { .. })
        {
            self.order_trackers.model_load_at = Some(now);
        }
        let call = action.map(|action| ServerCall { address, incarnation, fence, action });
        let list = self.due_list(gateway, at, now);
        Some((call, list))
    }

    /// Returns a forecast of the duration of a load that is ordered now.
    pub(crate) fn forecast(&self, now: TimePoint) -> LoadForecast {
        self.times.forecast(self.backends.loads_in_flight(now))
    }

    /// Returns the parameters of the orders to a server; `None` if this VM may not send any now.
    fn order_terms(
        &self,
        gateway: &Gateway,
        server: &ServerName,
        now: TimePoint,
    ) -> Option<OrderTerms> {
        let state = self.backends.get(server.as_str()).filter(|state| !state.leaving)?;
        let table = self.table.as_ref()?;
        let plan = table.service(state.entry.service.as_str())?.engine.as_ref()?;
        let fence = self.fence(&gateway.settings, server, now)?;
        let slots = adapter_slots(plan, &state.entry.models);
        let model = self.model_to_load(plan, now);
        let (address, incarnation) = (state.entry.address, state.entry.incarnation);
        let is_new = self.order_trackers.find(server).is_err();
        let recently_held = if is_new { state.recently_held().to_vec() } else { Vec::new() };
        Some(OrderTerms { address, incarnation, fence, slots, model, recently_held })
    }

    /// Returns the base model that an empty server should load: of those that fit, the one that the
    /// fewest servers hold. `None` if none fits, or while the weight store's rate allows no load.
    fn model_to_load(&self, plan: &EnginePlan, now: TimePoint) -> Option<ModelName> {
        let rate = plan.loads_per_second.max(0.01);
        // By the number of VMs known here, VMs that are cut off from each other would each use the
        // whole rate.
        let own_rate = rate * self.lease.held_fraction();
        let pause_us = (MODEL_LOAD_MARGIN / own_rate * 1e6) as u64;
        if self.order_trackers.model_load_at.is_some_and(|at| now.since(at) < pause_us) {
            return None;
        }
        let fits = |weights: f64| weights <= plan.weights_mb;
        let models = plan.models.iter().filter(|model| fits(model.weights_mb));
        let holders = |model: &ModelName| {
            self.backends.servers().iter().filter(|state| state.holds_model(model)).count()
        };
        models.map(|model| &model.model).min_by_key(|model| holders(model)).cloned()
    }

    fn due_list(&mut self, gateway: &Gateway, at: usize, now: TimePoint) -> Option<DueList> {
        let large = self.roster.is_large(now);
        let repeat_us = if large { LARGE_LIST_REPEAT_INTERVAL_US } else { LIST_REPEAT_INTERVAL_US };
        let entry = &mut self.order_trackers.trackers[at];
        let free = entry.tracker.free(now) as u32;
        let changed = entry.tracker.revision() != entry.reported_revision
            || (free == 0) != (entry.reported_free == 0);
        let due = changed || now.since(entry.reported_at) >= repeat_us;
        if !due || !entry.tracker.is_known() {
            return None;
        }
        let times = self.times.take_report();
        let requesters = if changed { entry.requesters(now) } else { Vec::new() };
        entry.reported_revision = entry.tracker.revision();
        entry.reported_at = now;
        entry.reported_free = free;
        let holdings = entry.tracker.adapters(now);
        let change = ListChange {
            server: entry.server.clone(),
            incarnation: entry.incarnation,
            vm: gateway.settings.vm.clone(),
            fence: entry.fence,
            revision: entry.reported_revision,
            base: None,
            free,
            adapters: holdings.iter().map(|held| ListedHolding::of(held, now)).collect(),
            dropped: Vec::new(),
        };
        let owner = ServerOwner {
            vm: change.vm.clone(),
            incarnation: change.incarnation,
            fence: change.fence,
            at: now,
            free,
        };
        self.backends.apply_list(change.server.as_str(), owner, change.revision, holdings);
        Some(DueList { lists: server_lists(vec![change], times), requesters })
    }
}

/// Builds the message with lists and the expected load times.
pub(crate) fn server_lists(lists: Vec<ListChange>, times: ReportedTimes) -> ServerLists {
    ServerLists {
        lists,
        load_us: u32::try_from(times.alone_us).unwrap_or(u32::MAX),
        each_us: u32::try_from(times.each_us).unwrap_or(u32::MAX),
        shorter: times.is_shortened,
    }
}

/// Returns the number of adapter slots of a server: the configured number, or fewer if its base
/// models leave memory for fewer.
fn adapter_slots(plan: &EnginePlan, held: &[HeldModel]) -> usize {
    let weights = |model: &ModelName| {
        plan.models.iter().find(|planned| planned.model == *model).map_or(0.0, |m| m.weights_mb)
    };
    let models: f64 = held.iter().map(|held| weights(&held.model)).sum();
    let largest = plan.models.iter().map(|model| model.adapter_mb).fold(0.0, f64::max);
    if largest <= 0.0 {
        return plan.adapter_slots;
    }
    let room = ((plan.weights_mb - models).max(0.0) / largest) as usize;
    plan.adapter_slots.min(room)
}

/// Sends a server's list to all live VMs; in large fleets to the aggregators and the requesters.
fn send_list(gateway: &Arc<Gateway>, list: DueList) {
    let now = clock::now();
    let peers = {
        let view = gateway.view();
        if view.roster.is_large(now) {
            let mut to = view.roster.aggregators(now);
            to.extend(list.requesters.iter().filter_map(|vm| view.roster.address(vm)));
            to.sort_unstable();
            to.dedup();
            to
        } else {
            view.roster.live(now)
        }
    };
    gateway.peers.send(&PeerMessage::Lists(list.lists), &peers);
    gateway.changed.notify_waiters();
}

async fn perform(gateway: &Arc<Gateway>, server: &ServerName, call: ServerCall) {
    match &call.action {
        TrackerAction::Query => {
            let report = gateway.servers.report(call.address, server).await;
            gateway.metrics.server_call("report", if report.is_some() { "ok" } else { "lost" });
            let now = clock::now();
            let mut view = gateway.view();
            let forecast = view.forecast(now);
            if let Some(report) = &report
                && view.backends.start_incarnation(
                    server.as_str(),
                    report.incarnation,
                    &report.models,
                    now,
                )
            {
                event!(
                    ServerRestarted,
                    server = server,
                    born = report.incarnation,
                    told_by = "report"
                );
                view.server_restarted(server, now);
            }
            // A report of another incarnation says nothing about the one that the tracker is for.
            if let Some(tracker) = view.order_trackers.of_incarnation(server, call.incarnation) {
                let matching =
                    report.as_ref().filter(|report| report.incarnation == call.incarnation);
                tracker.reported(matching, &forecast, now);
            }
            let held = report.as_ref().map(|r| r.models.iter().map(|m| m.adapters.len()).sum());
            let held: Option<usize> = held;
            let orders = report.as_ref().map(|report| report.orders);
            event!(ServerReported, server = server, orders? = orders, adapters? = held);
        }
        TrackerAction::Order(order) => send_order(gateway, server, &call, order).await,
    }
}

async fn send_order(
    gateway: &Arc<Gateway>,
    server: &ServerName,
    call: &ServerCall,
    order: &ServerOrder,
) {
    let (address, incarnation, fence) = (call.address, call.incarnation, call.fence);
    if !may_send(gateway, server, incarnation, order) {
        // Nothing was sent. A conflict makes the tracker poll the server instead of waiting for a
        // reply.
        let now = clock::now();
        let mut view = gateway.view();
        let forecast = view.forecast(now);
        if let Some(tracker) = view.order_trackers.of_incarnation(server, incarnation) {
            tracker.replied(order, OrderReply::Conflict, &forecast, now);
        }
        return;
    }
    let vm = gateway.settings.vm.clone();
    let holder = OrderIssuer { vm: vm.as_str(), fence };
    let (reply, text) = gateway.servers.order(address, server, holder, order).await;
    let (kind, key, version) = match &order.action {
        OrderAction::LoadAdapter { key, version } => ("load", key.adapter.as_str(), *version),
        OrderAction::UnloadAdapter { key } => ("unload", key.adapter.as_str(), 0),
        OrderAction::LoadModel { model } => ("load_model", model.as_str(), 0),
    };
    gateway.metrics.server_call(kind, reply_name(reply));
    let now = clock::now();
    let mut view = gateway.view();
    let mut forecast = view.forecast(now);
    if reply == OrderReply::Accepted && matches!(order.action, OrderAction::LoadAdapter { .. }) {
        forecast = view.times.early_check(forecast);
    }
    if reply == OrderReply::Fenced {
        view.lease.refused(fence);
    }
    if matches!(reply, OrderReply::Lost | OrderReply::Unsent)
        && view.backends.is_current_incarnation(server.as_str(), incarnation)
    {
        view.backends.mark_unreachable(server.as_str(), now);
    }
    let Some(tracker) = view.order_trackers.of_incarnation(server, incarnation) else { return };
    tracker.replied(order, reply, &forecast, now);
    let load = match &order.action {
        OrderAction::LoadAdapter { key, .. } => tracker.ordered(key),
        _ => None,
    };
    let (held, slots) = tracker.fill();
    event!(
        OrderGiven,
        server = server,
        order = kind,
        subject = key,
        version = version,
        fence = fence,
        expected = order.expected,
        outcome = reply_name(reply),
        answer = text,
        held = held,
        places = slots,
        beside = forecast.in_flight,
        expected_ms? = load.map(|load| load.expected_us / 1_000),
        look_ms? = load.map(|load| load.check_us / 1_000),
        again? = load.map(|load| load.from_memory),
    );
}

/// Checks the preconditions of an order again just before it is sent.
fn may_send(gateway: &Gateway, server: &ServerName, incarnation: u64, order: &ServerOrder) -> bool {
    // The server compares the count of accepted orders that the order states with its own. Another
    // incarnation may have reached the same count.
    if !gateway.view().backends.is_current_incarnation(server.as_str(), incarnation) {
        return false;
    }
    // The lease may have ended since the decision, for example while the VM was suspended.
    if gateway.view().fence(&gateway.settings, server, clock::now()).is_none() {
        return false;
    }
    if exceeds_slots(gateway, server, order) {
        event!(
            InvariantBroken,
            server = server,
            invariant = "a server is not ordered to hold more adapters than it has slots",
        );
        return false;
    }
    true
}

/// Returns whether a load would exceed the server's slots, which would crash the server.
fn exceeds_slots(gateway: &Gateway, server: &ServerName, order: &ServerOrder) -> bool {
    let OrderAction::LoadAdapter { key, .. } = &order.action else { return false };
    let mut view = gateway.view();
    let Some(tracker) = view.order_trackers.get(server) else { return true };
    let (held, slots) = tracker.fill();
    tracker.ordered(key).is_none() && held >= slots
}

fn reply_name(reply: OrderReply) -> &'static str {
    match reply {
        OrderReply::Accepted => "accepted",
        OrderReply::Done => "done",
        OrderReply::Conflict => "conflict",
        OrderReply::Fenced => "fenced",
        OrderReply::Refused => "refused",
        OrderReply::Lost => "lost",
        OrderReply::Unsent => "unsent",
    }
}

/// Records reported adapter use at servers that this VM owns.
pub(crate) fn record_uses(gateway: &Arc<Gateway>, vm: &VmName, uses: &[AdapterUse]) {
    let now = clock::now();
    for used in uses {
        let mut view = gateway.view();
        let view = &mut *view;
        let Some(tracker) = view.order_trackers.of_incarnation(&used.server, used.incarnation)
        else {
            continue;
        };
        let report = ReportedUse { vm, begun: used.count, running: used.running };
        tracker.record_use(&used.key, &report, now);
        let ordered = tracker.ordered(&used.key);
        if used.too_early {
            tracker.record_too_early(&used.key, now);
        }
        match ordered {
            Some(load) if used.too_early => view.times.record_too_early(load, now.since(load.at)),
            Some(load) if used.in_time => view.times.record_hit(load),
            _ => {}
        }
        if used.missing {
            tracker.record_missing(&used.key, now);
        }
    }
    // An adapter that is idle now may be evicted in favour of a requested one.
    for used in uses.iter().filter(|used| used.running == 0) {
        let (gateway, server) = (Arc::clone(gateway), used.server.clone());
        tokio::spawn(async move {
            tokio::time::sleep(IDLE_DELAY).await;
            send_next_order(&gateway, &server);
        });
    }
}

/// Time from an adapter's last use until it counts as idle, with a small margin.
const IDLE_DELAY: Duration = Duration::from_millis(62);
