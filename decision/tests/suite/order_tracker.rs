//! Orders to one server: evictions, lost replies, and never more adapters than slots.

use coltsfoothook_decision::id::{TimePoint, VmName};
use coltsfoothook_decision::loadtime::{LoadForecast, LoadTimes};
use coltsfoothook_decision::order_tracker::{
    OrderAction, OrderReply, OrderTracker, ReportedUse, ServerOrder, TrackerAction,
    TrackerSettings, WaitingRequests,
};
use coltsfoothook_decision::routing::{
    AdapterKey, HeldAdapter, HeldModel, PendingAdapter, ServerReport,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const SLOTS: usize = 3;
const MILLI: u64 = 1_000;

/// Returns the forecast of a load while no other is in flight.
fn forecast() -> LoadForecast {
    LoadTimes::default().forecast(0)
}

fn key(name: &str) -> AdapterKey {
    AdapterKey { model: "base".into(), adapter: name.into() }
}

fn report(orders: u64, adapters: &[&str]) -> ServerReport {
    let adapters =
        adapters.iter().map(|name| HeldAdapter { adapter: (*name).into(), version: 1 }).collect();
    let models = vec![HeldModel { model: "base".into(), adapters }];
    ServerReport { incarnation: 0, orders, busy: false, models, pending: Vec::new() }
}

/// Returns the tracker of a server that reported `adapters`.
fn known_tracker(adapters: &[&str], now: TimePoint) -> OrderTracker {
    let mut tracker = OrderTracker::new(TrackerSettings::default(), SLOTS, now);
    assert_eq!(tracker.next(None, &forecast(), now), Some(TrackerAction::Query));
    tracker.reported(Some(&report(0, adapters)), &forecast(), now);
    tracker
}

fn next_order(tracker: &mut OrderTracker, now: TimePoint) -> Option<ServerOrder> {
    match tracker.next(None, &forecast(), now) {
        Some(TrackerAction::Order(order)) => Some(order),
        Some(TrackerAction::Query) | None => None,
    }
}

fn report_use(vm: &VmName, begun: u32, running: u32) -> ReportedUse<'_> {
    ReportedUse { vm, begun, running }
}

/// A fourth adapter is requested at a full server while two of three adapters are in use. The idle
/// one is evicted, although its usage score is the highest: evicting one in use would block all
/// orders until its requests end.
#[test]
fn used_not_evicted() {
    let vm = VmName::from("a");
    let begin = TimePoint(0);
    let mut tracker = known_tracker(&["a1", "a2", "a3"], begin);
    tracker.record_use(&key("a3"), &report_use(&vm, 50, 0), begin);
    let now = begin.plus(500 * MILLI);
    tracker.record_use(&key("a1"), &report_use(&vm, 1, 1), now);
    tracker.record_use(&key("a2"), &report_use(&vm, 1, 1), now);
    tracker.request_load(&key("a4"), 1, WaitingRequests::default(), now);
    let order = next_order(&mut tracker, now).expect("an idle adapter is evicted");
    assert_eq!(order.action, OrderAction::UnloadAdapter { key: key("a3") });
}

/// If all adapters are in use, none is evicted and the load request waits.
#[test]
fn all_used() {
    let vm = VmName::from("a");
    let now = TimePoint(500 * MILLI);
    let mut tracker = known_tracker(&["a1", "a2", "a3"], TimePoint(0));
    for name in ["a1", "a2", "a3"] {
        tracker.record_use(&key(name), &report_use(&vm, 1, 1), now);
    }
    tracker.request_load(&key("a4"), 1, WaitingRequests::default(), now);
    assert_eq!(next_order(&mut tracker, now), None);
    assert_eq!(tracker.free(now), 0);
}

/// An adapter that was loaded for a request which has not arrived yet is not evicted for the next
/// load request.
#[test]
fn awaited_not_evicted() {
    let now = TimePoint(0);
    let mut tracker = known_tracker(&["a1", "a2"], now);
    tracker.request_load(&key("a3"), 1, WaitingRequests::default(), now);
    let order = next_order(&mut tracker, now).expect("a slot is free");
    tracker.replied(&order, OrderReply::Accepted, &forecast(), now);
    let loaded = now.plus(forecast().expected_us(false) + 100 * MILLI);
    tracker.request_load(&key("a4"), 1, WaitingRequests::default(), loaded);
    let order = next_order(&mut tracker, loaded).expect("another adapter is evicted");
    assert_ne!(order.action, OrderAction::UnloadAdapter { key: key("a3") });
}

/// After an order without a reply, the next one follows at once with the same count: if it is
/// accepted, the lost one can't be carried out any more.
#[test]
fn lost_order() {
    let now = TimePoint(0);
    let mut tracker = known_tracker(&["a1"], now);
    tracker.request_load(&key("a2"), 1, WaitingRequests::default(), now);
    let lost = next_order(&mut tracker, now).expect("a slot is free");
    tracker.replied(&lost, OrderReply::Lost, &forecast(), now);
    let second = next_order(&mut tracker, now).expect("the next order follows at once");
    assert_eq!(second.expected, lost.expected);
}

/// A server that leaves three orders in a row without a reply, or can't be reached, gets no orders
/// and has no free slots, so that orders don't flood the network and requests don't wait for it. It
/// is queried at intervals, and gets orders again after a report.
#[test]
fn unresponsive_server() {
    for (reply, orders) in [(OrderReply::Lost, 3), (OrderReply::Unsent, 1)] {
        let now = TimePoint(0);
        let mut tracker = known_tracker(&["a1"], now);
        tracker.request_load(&key("a2"), 1, WaitingRequests::default(), now);
        assert!(tracker.free(now) > 0);
        for _ in 0..orders {
            let order =
                next_order(&mut tracker, now).expect("a single lost reply doesn't stop orders");
            tracker.replied(&order, reply, &forecast(), now);
        }
        assert_eq!((tracker.next(None, &forecast(), now), tracker.free(now)), (None, 0));
        let later = now.plus(60 * MILLI);
        assert_eq!(tracker.next(None, &forecast(), later), Some(TrackerAction::Query));
        tracker.reported(None, &forecast(), later);
        assert_eq!((tracker.next(None, &forecast(), later), tracker.free(later)), (None, 0));
        let back = now.plus(700 * MILLI);
        assert_eq!(tracker.next(None, &forecast(), back), Some(TrackerAction::Query));
        tracker.reported(Some(&report(0, &["a1"])), &forecast(), back);
        tracker.request_load(&key("a2"), 1, WaitingRequests::default(), back);
        assert!(next_order(&mut tracker, back).is_some());
    }
}

/// While an eviction waits for running requests, the server takes no order; it is queried until the
/// adapter is evicted, and gets no order that it would reject.
#[test]
fn slow_unload() {
    let now = TimePoint(500 * MILLI);
    let mut tracker = known_tracker(&["a1", "a2", "a3"], TimePoint(0));
    tracker.request_load(&key("a4"), 1, WaitingRequests::default(), now);
    let unload = next_order(&mut tracker, now).expect("an idle adapter is evicted");
    tracker.replied(&unload, OrderReply::Accepted, &forecast(), now);
    tracker.request_load(&key("a5"), 1, WaitingRequests::default(), now);
    assert_eq!(next_order(&mut tracker, now), None);
    let later = now.plus(450 * MILLI);
    assert_eq!(tracker.next(None, &forecast(), later), Some(TrackerAction::Query));
    tracker.reported(Some(&report(1, &["a2", "a3"])), &forecast(), later);
    tracker.request_load(&key("a4"), 1, WaitingRequests::default(), later);
    let load = next_order(&mut tracker, later).expect("a slot is free");
    assert_eq!(load.action, OrderAction::LoadAdapter { key: key("a4"), version: 1 });
}

/// A restarted server without a base model gets the order to load one first.
#[test]
fn empty_server() {
    let now = TimePoint(0);
    let mut tracker = OrderTracker::new(TrackerSettings::default(), SLOTS, now);
    assert_eq!(tracker.next(None, &forecast(), now), Some(TrackerAction::Query));
    let empty = ServerReport {
        incarnation: 0,
        orders: 0,
        busy: false,
        models: Vec::new(),
        pending: Vec::new(),
    };
    tracker.reported(Some(&empty), &forecast(), now);
    assert!(tracker.is_empty());
    let model = "base".into();
    let Some(TrackerAction::Order(order)) = tracker.next(Some(&model), &forecast(), now) else {
        panic!("the base model is to be loaded");
    };
    assert_eq!(order.action, OrderAction::LoadModel { model });
}

/// Server that counts orders, leaves some without a reply and carries those out late.
struct LateServer {
    accepted: u64,
    held: Vec<AdapterKey>,
    late: Vec<ServerOrder>,
}

impl LateServer {
    /// Carries out an order if its count is still current.
    fn carry_out(&mut self, order: &ServerOrder) -> OrderReply {
        if order.expected != self.accepted {
            return OrderReply::Conflict;
        }
        self.accepted += 1;
        match &order.action {
            OrderAction::LoadAdapter { key, .. } => {
                if !self.held.contains(key) {
                    self.held.push(key.clone());
                }
                assert!(self.held.len() <= SLOTS, "the server was overfilled: {:?}", self.held);
                OrderReply::Accepted
            }
            OrderAction::UnloadAdapter { key } => {
                self.held.retain(|held| held != key);
                OrderReply::Done
            }
            OrderAction::LoadModel { .. } => OrderReply::Accepted,
        }
    }

    fn report(&self) -> ServerReport {
        let half = self.held.len() / 2;
        let names: Vec<&str> = self.held[..half].iter().map(|key| key.adapter.as_str()).collect();
        let pending = self.held[half..]
            .iter()
            .map(|key| PendingAdapter { key: key.clone(), version: 1 })
            .collect();
        ServerReport { pending, ..report(self.accepted, &names) }
    }
}

/// A third of the orders get no reply and are carried out at any later time or never. A server
/// crashes if it is ordered to hold more adapters than it has slots; this must never happen.
#[test]
fn never_overfilled() {
    for seed in 0..200 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut server = LateServer { accepted: 0, held: Vec::new(), late: Vec::new() };
        let mut tracker = OrderTracker::new(TrackerSettings::default(), SLOTS, TimePoint(0));
        let times = forecast();
        let mut now = TimePoint(0);
        for _ in 0..1_000 {
            now = now.plus(u64::from(random.next_u32() % 200) * MILLI);
            tracker.request_load(
                &key(&format!("a{}", random.next_u32() % 9)),
                1,
                WaitingRequests::default(),
                now,
            );
            if random.next_u32().is_multiple_of(3) && !server.late.is_empty() {
                let late = server.late.remove(0);
                server.carry_out(&late);
            }
            match tracker.next(None, &forecast(), now) {
                Some(TrackerAction::Query) => tracker.reported(Some(&server.report()), &times, now),
                Some(TrackerAction::Order(order)) if random.next_u32().is_multiple_of(3) => {
                    server.late.push(order.clone());
                    tracker.replied(&order, OrderReply::Lost, &times, now);
                }
                Some(TrackerAction::Order(order)) => {
                    let reply = server.carry_out(&order);
                    tracker.replied(&order, reply, &times, now);
                }
                None => {}
            }
        }
        assert!(server.accepted > 20, "seed {seed}: orders stopped at {}", server.accepted);
    }
}

/// A server without the adapter replies to its eviction as it does after evicting it, but doesn't
/// count the order. Taking the higher count as certain would make all later reports look out of
/// date, and the server would get no more orders.
#[test]
fn uncounted_unload() {
    let now = TimePoint(10_000 * MILLI);
    let mut tracker = known_tracker(&["a1", "a2", "a3"], now);
    let now = now.plus(500 * MILLI);
    tracker.request_load(&key("a4"), 1, WaitingRequests::default(), now);
    let unload = next_order(&mut tracker, now).unwrap();
    tracker.replied(&unload, OrderReply::Done, &forecast(), now);
    let load = next_order(&mut tracker, now).unwrap();
    assert_eq!(load.expected, 1);
    tracker.replied(&load, OrderReply::Conflict, &forecast(), now);
    let later = now.plus(1_000 * MILLI);
    assert_eq!(tracker.next(None, &forecast(), later), Some(TrackerAction::Query));
    tracker.reported(Some(&report(0, &["a2", "a3"])), &forecast(), later);
    tracker.request_load(&key("a4"), 1, WaitingRequests::default(), later);
    assert_eq!(next_order(&mut tracker, later).unwrap().expected, 0);
}

fn waiting(vm: &str, count: u32, in_time_until: TimePoint) -> WaitingRequests {
    WaitingRequests { vm: vm.into(), count, in_time_until }
}

/// More adapters are requested than the store can load in time. While one more load would only slow
/// down those in flight, none is ordered. When there is room, the load that serves the most
/// requests in time is ordered first; late requests count less.
#[test]
fn crowded_store() {
    let now = TimePoint(10_000 * MILLI);
    let crowded = LoadTimes::default().forecast(200);
    let mut tracker = known_tracker(&[], now);
    let soon = now.plus(700 * MILLI);
    let request_loads = |tracker: &mut OrderTracker| {
        tracker.request_load(&key("a1"), 1, waiting("x", 1, soon), now);
        tracker.request_load(&key("a2"), 1, waiting("x", 2, TimePoint(0)), now);
        tracker.request_load(&key("a3"), 1, waiting("x", 1, soon), now);
        tracker.request_load(&key("a3"), 1, waiting("y", 1, soon), now);
        tracker.request_load(&key("a4"), 1, WaitingRequests::default(), now);
    };
    request_loads(&mut tracker);
    assert_eq!(tracker.next(None, &crowded, now), None);
    let mut loaded = Vec::new();
    for _ in 0..SLOTS {
        let order = next_order(&mut tracker, now).unwrap();
        let OrderAction::LoadAdapter { key, .. } = &order.action else { panic!("{order:?}") };
        loaded.push(key.adapter.as_str().to_owned());
        tracker.replied(&order, OrderReply::Accepted, &forecast(), now);
    }
    assert_eq!(loaded, ["a3", "a1", "a2"]);
}

/// A VM that takes over a server must know what the server still has in its own memory, or loads of it would seem to
/// come from a store ten times as fast.
#[test]
fn memory_of_former_owner() {
    let now = TimePoint(0);
    let mut tracker = OrderTracker::new(TrackerSettings::default(), SLOTS, now);
    tracker.remember_held(&[key("a7")]);
    assert_eq!(tracker.next(None, &forecast(), now), Some(TrackerAction::Query));
    tracker.reported(Some(&report(0, &[])), &forecast(), now);
    tracker.request_load(&key("a7"), 1, waiting("vm", 1, now), now);
    let order = next_order(&mut tracker, now).expect("there is a free slot");
    tracker.replied(&order, OrderReply::Accepted, &forecast(), now);
    assert!(tracker.ordered(&key("a7")).is_some_and(|load| load.from_memory));
}
