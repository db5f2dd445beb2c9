//! Orders to one server: what makes way, and that places are never overfilled.

use coltsfoothook_decision::id::{TimePoint, VmName};
use coltsfoothook_decision::loadtime::{LoadForecast, LoadTimes};
use coltsfoothook_decision::orderbook::{
    BookAction, BookSettings, OrderAction, OrderBook, OrderReply, ServerOrder, ToldUse,
    WaitingRequests,
};
use coltsfoothook_decision::routing::{
    AdapterKey, HeldAdapter, HeldModel, PendingAdapter, ServerReport,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const PLACES: usize = 3;
const MILLI: u64 = 1_000;

/// What a load is expected to take while no other is under way.
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
    ServerReport { born: 0, orders, busy: false, models, pending: Vec::new() }
}

/// A book of a server that reported `adapters`.
fn known_book(adapters: &[&str], now: TimePoint) -> OrderBook {
    let mut book = OrderBook::new(BookSettings::default(), PLACES, now);
    assert_eq!(book.next(None, &forecast(), now), Some(BookAction::Ask));
    book.reported(Some(&report(0, adapters)), &forecast(), now);
    book
}

fn next_order(book: &mut OrderBook, now: TimePoint) -> Option<ServerOrder> {
    match book.next(None, &forecast(), now) {
        Some(BookAction::Order(order)) => Some(order),
        Some(BookAction::Ask) | None => None,
    }
}

fn told(vm: &VmName, begun: u32, running: u32) -> ToldUse<'_> {
    ToldUse { vm, begun, running }
}

/// A full server is asked for a fourth adapter while requests use two of its three. Told to make way,
/// an adapter in use would stay until its run ends and the server would take no order meanwhile; so
/// the third one goes, although it was used most.
#[test]
fn used_stay() {
    let vm = VmName::from("a");
    let begin = TimePoint(0);
    let mut book = known_book(&["a1", "a2", "a3"], begin);
    book.used(&key("a3"), &told(&vm, 50, 0), begin);
    let now = begin.plus(500 * MILLI);
    book.used(&key("a1"), &told(&vm, 1, 1), now);
    book.used(&key("a2"), &told(&vm, 1, 1), now);
    book.wish(&key("a4"), 1, WaitingRequests::default(), now);
    let order = next_order(&mut book, now).expect("one adapter is idle");
    assert_eq!(order.action, OrderAction::UnloadAdapter { key: key("a3") });
}

/// All adapters are in use: nothing makes way, and the wish waits or is taken elsewhere.
#[test]
fn all_used() {
    let vm = VmName::from("a");
    let now = TimePoint(500 * MILLI);
    let mut book = known_book(&["a1", "a2", "a3"], TimePoint(0));
    for name in ["a1", "a2", "a3"] {
        book.used(&key(name), &told(&vm, 1, 1), now);
    }
    book.wish(&key("a4"), 1, WaitingRequests::default(), now);
    assert_eq!(next_order(&mut book, now), None);
    assert_eq!(book.free(now), 0);
}

/// An adapter was loaded for a request that is still on its way when the next wish comes. It is not
/// taken away before that request could begin.
#[test]
fn awaited_stays() {
    let now = TimePoint(0);
    let mut book = known_book(&["a1", "a2"], now);
    book.wish(&key("a3"), 1, WaitingRequests::default(), now);
    let order = next_order(&mut book, now).expect("there is a free place");
    book.replied(&order, OrderReply::Accepted, &forecast(), now);
    let loaded = now.plus(forecast().expected_us(false) + 100 * MILLI);
    book.wish(&key("a4"), 1, WaitingRequests::default(), loaded);
    let order = next_order(&mut book, loaded).expect("others are idle");
    assert_ne!(order.action, OrderAction::UnloadAdapter { key: key("a3") });
}

/// A server leaves a load unanswered, as a third of them may be for seconds. The next order follows at
/// once on the same count: if it is accepted, the lost one can never be carried out any more.
#[test]
fn lost_order() {
    let now = TimePoint(0);
    let mut book = known_book(&["a1"], now);
    book.wish(&key("a2"), 1, WaitingRequests::default(), now);
    let lost = next_order(&mut book, now).expect("there is a free place");
    book.replied(&lost, OrderReply::Lost, &forecast(), now);
    let again = next_order(&mut book, now).expect("it follows at once");
    assert_eq!(again.expected, lost.expected);
}

/// A server leaves three orders in a row unanswered, or cannot be reached: it is down, or silent. Orders
/// one after the other would fill the wire, and requests would wait for its places. It is asked now and
/// then, has no free place, and gets orders again once it has answered.
#[test]
fn silent_server() {
    for (reply, orders) in [(OrderReply::Lost, 3), (OrderReply::Unsent, 1)] {
        let now = TimePoint(0);
        let mut book = known_book(&["a1"], now);
        book.wish(&key("a2"), 1, WaitingRequests::default(), now);
        assert!(book.free(now) > 0);
        for _ in 0..orders {
            let order = next_order(&mut book, now).expect("it may be one answer that is lost");
            book.replied(&order, reply, &forecast(), now);
        }
        assert_eq!((book.next(None, &forecast(), now), book.free(now)), (None, 0));
        let later = now.plus(60 * MILLI);
        assert_eq!(book.next(None, &forecast(), later), Some(BookAction::Ask));
        book.reported(None, &forecast(), later);
        assert_eq!((book.next(None, &forecast(), later), book.free(later)), (None, 0));
        let back = now.plus(700 * MILLI);
        assert_eq!(book.next(None, &forecast(), back), Some(BookAction::Ask));
        book.reported(Some(&report(0, &["a1"])), &forecast(), back);
        book.wish(&key("a2"), 1, WaitingRequests::default(), back);
        assert!(next_order(&mut book, back).is_some());
    }
}

/// A server that works through runs before an adapter makes way takes no order; the book asks until
/// the adapter is gone instead of sending orders that are refused.
#[test]
fn slow_unload() {
    let now = TimePoint(500 * MILLI);
    let mut book = known_book(&["a1", "a2", "a3"], TimePoint(0));
    book.wish(&key("a4"), 1, WaitingRequests::default(), now);
    let unload = next_order(&mut book, now).expect("all are idle");
    book.replied(&unload, OrderReply::Accepted, &forecast(), now);
    book.wish(&key("a5"), 1, WaitingRequests::default(), now);
    assert_eq!(next_order(&mut book, now), None);
    let later = now.plus(450 * MILLI);
    assert_eq!(book.next(None, &forecast(), later), Some(BookAction::Ask));
    book.reported(Some(&report(1, &["a2", "a3"])), &forecast(), later);
    book.wish(&key("a4"), 1, WaitingRequests::default(), later);
    let load = next_order(&mut book, later).expect("a place is free");
    assert_eq!(load.action, OrderAction::LoadAdapter { key: key("a4"), version: 1 });
}

/// A server that lost a model by a restart is empty: its base model comes first.
#[test]
fn empty_server() {
    let now = TimePoint(0);
    let mut book = OrderBook::new(BookSettings::default(), PLACES, now);
    assert_eq!(book.next(None, &forecast(), now), Some(BookAction::Ask));
    let empty =
        ServerReport { born: 0, orders: 0, busy: false, models: Vec::new(), pending: Vec::new() };
    book.reported(Some(&empty), &forecast(), now);
    assert!(book.is_empty());
    let model = "base".into();
    let Some(BookAction::Order(order)) = book.next(Some(&model), &forecast(), now) else {
        panic!("the base model is to be loaded");
    };
    assert_eq!(order.action, OrderAction::LoadModel { model });
}

/// A server that counts orders, keeps some unanswered and carries those out late.
struct LateServer {
    accepted: u64,
    held: Vec<AdapterKey>,
    late: Vec<ServerOrder>,
}

impl LateServer {
    /// Carries an order out if its count still stands.
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
                assert!(self.held.len() <= PLACES, "the server was overfilled: {:?}", self.held);
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

/// A third of the orders get no answer, and those are carried out at any later time or never. The
/// server would crash if it were told to hold more adapters than it has places for; it never is.
#[test]
fn never_overfilled() {
    for seed in 0..200 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut server = LateServer { accepted: 0, held: Vec::new(), late: Vec::new() };
        let mut book = OrderBook::new(BookSettings::default(), PLACES, TimePoint(0));
        let times = forecast();
        let mut now = TimePoint(0);
        for _ in 0..1_000 {
            now = now.plus(u64::from(random.next_u32() % 200) * MILLI);
            book.wish(
                &key(&format!("a{}", random.next_u32() % 9)),
                1,
                WaitingRequests::default(),
                now,
            );
            if random.next_u32().is_multiple_of(3) && !server.late.is_empty() {
                let late = server.late.remove(0);
                server.carry_out(&late);
            }
            match book.next(None, &forecast(), now) {
                Some(BookAction::Ask) => book.reported(Some(&server.report()), &times, now),
                Some(BookAction::Order(order)) if random.next_u32().is_multiple_of(3) => {
                    server.late.push(order.clone());
                    book.replied(&order, OrderReply::Lost, &times, now);
                }
                Some(BookAction::Order(order)) => {
                    let reply = server.carry_out(&order);
                    book.replied(&order, reply, &times, now);
                }
                None => {}
            }
        }
        assert!(server.accepted > 20, "seed {seed}: orders stopped at {}", server.accepted);
    }
}

/// An adapter is told to make way that the server does not have: its load was lost, or is still on its
/// way. The server answers that this is so, as it does after dropping one, but counts no order. The book
/// must not take the higher count for certain: each later report would look older than that answer, and
/// the server would get no order any more.
#[test]
fn uncounted_unload() {
    let now = TimePoint(10_000 * MILLI);
    let mut book = known_book(&["a1", "a2", "a3"], now);
    let now = now.plus(500 * MILLI);
    book.wish(&key("a4"), 1, WaitingRequests::default(), now);
    let unload = next_order(&mut book, now).unwrap();
    book.replied(&unload, OrderReply::Done, &forecast(), now);
    let load = next_order(&mut book, now).unwrap();
    assert_eq!(load.expected, 1);
    book.replied(&load, OrderReply::Conflict, &forecast(), now);
    let later = now.plus(1_000 * MILLI);
    assert_eq!(book.next(None, &forecast(), later), Some(BookAction::Ask));
    book.reported(Some(&report(0, &["a2", "a3"])), &forecast(), later);
    book.wish(&key("a4"), 1, WaitingRequests::default(), later);
    assert_eq!(next_order(&mut book, later).unwrap().expected, 0);
}

fn waiting(vm: &str, count: u32, in_time_until: TimePoint) -> WaitingRequests {
    WaitingRequests { vm: vm.into(), count, in_time_until }
}

/// Many adapters are cold at once, as when traffic begins or demand moves on: more are wished for than the
/// store brings in time. While so many loads are under way that one more would only slow down all, none is
/// ordered, but for an adapter that the server has in its own memory. When there is room, the load goes
/// first that serves the most requests in time; those that are late already count for less.
#[test]
fn crowded_store() {
    let now = TimePoint(10_000 * MILLI);
    let crowded = LoadTimes::default().forecast(200);
    let mut book = known_book(&[], now);
    let soon = now.plus(700 * MILLI);
    let wish = |book: &mut OrderBook| {
        book.wish(&key("a1"), 1, waiting("x", 1, soon), now);
        book.wish(&key("a2"), 1, waiting("x", 2, TimePoint(0)), now);
        book.wish(&key("a3"), 1, waiting("x", 1, soon), now);
        book.wish(&key("a3"), 1, waiting("y", 1, soon), now);
        book.wish(&key("a4"), 1, WaitingRequests::default(), now);
    };
    wish(&mut book);
    assert_eq!(book.next(None, &crowded, now), None);
    let mut loaded = Vec::new();
    for _ in 0..PLACES {
        let order = next_order(&mut book, now).unwrap();
        let OrderAction::LoadAdapter { key, .. } = &order.action else { panic!("{order:?}") };
        loaded.push(key.adapter.as_str().to_owned());
        book.replied(&order, OrderReply::Accepted, &forecast(), now);
    }
    assert_eq!(loaded, ["a3", "a1", "a2"]);
}
