//! Second sends of requests that wait for their answers.

use std::time::Duration;

use coltsfoothook_decision::backend::BackendTable;
use coltsfoothook_decision::id::{ServiceName, TimePoint};
use coltsfoothook_decision::routing::{BackendEntry, RetryRule, ServingRoute};
use coltsfoothook_decision::second_send::{
    SecondSendBounds, SecondSendStep, SecondSends, ServiceLoad, WaitingRequest, may_send_second,
};

use crate::fixture::engine_entry;

const SECOND: u64 = 1_000_000;
const MILLI: u64 = 1_000;
const IDLE: ServiceLoad = ServiceLoad { running: 2, slots: 10 };

fn route(repeat: RetryRule, max_servers: u32) -> ServingRoute {
    ServingRoute {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        shares: Vec::new(),
        repeat,
        timeout: Duration::from_secs(4),
        target: Duration::from_millis(500),
        target_gap: None,
        priority: 0,
        max_servers,
        public: false,
    }
}

/// A VM whose last requests waited for 1 to 100 ms at `now`.
fn observed(now: TimePoint) -> SecondSends {
    let mut sends = SecondSends::new(SecondSendBounds { percent: 5.0, quantile: 0.95 });
    for wait_ms in 1..=100 {
        sends.record_first(&"s".into(), now);
        sends.record_wait("r", wait_ms * MILLI, now);
    }
    sends
}

/// Decides about a request that was received `age_us` before it was sent and has waited for `wait_us`.
fn decide(sends: &mut SecondSends, load: ServiceLoad, age_us: u64, wait_us: u64) -> SecondSendStep {
    let (route, service) = (route(RetryRule::Idempotent, 2), ServiceName::from("s"));
    let sent_at = TimePoint(20 * SECOND);
    let started = TimePoint(sent_at.0 - age_us);
    let due = started.plus(4 * SECOND);
    let request = WaitingRequest { route: &route, service: &service, started, due, sent_at };
    sends.decide(&request, Some("b".into()), load, sent_at.plus(wait_us))
}

fn is_sent(step: &SecondSendStep) -> bool {
    matches!(step, SecondSendStep::Send { .. })
}

/// Guards against a second run of a request that may run once, and against more servers than its route allows.
#[test]
fn runs_allowed() {
    let allowed = |rule, servers, ran| may_send_second(&route(rule, servers), ran);
    assert!(allowed(RetryRule::Idempotent, 2, 0) && allowed(RetryRule::StreamResumable, 3, 1));
    assert!(!allowed(RetryRule::Once, 3, 0) && !allowed(RetryRule::StreamOnce, 3, 0));
    assert!(!allowed(RetryRule::Idempotent, 1, 0) && !allowed(RetryRule::Idempotent, 2, 1));
}

/// Load: 100 requests of 1 to 100 ms. Only one that waits for longer than 95 of them is sent again.
#[test]
fn slowest_twentieth() {
    let mut sends = observed(TimePoint(19 * SECOND));
    let early = decide(&mut sends, IDLE, 0, 95 * MILLI);
    let until = TimePoint(20 * SECOND + 96 * MILLI + 1);
    assert_eq!(early, SecondSendStep::Wait { until });
    assert!(is_sent(&decide(&mut sends, IDLE, 0, 97 * MILLI)));
}

/// Guards against decisions by waits of another time: those of eleven seconds ago, or fewer than 50.
#[test]
fn recent_waits() {
    let mut sends = observed(TimePoint(9 * SECOND));
    assert!(!is_sent(&decide(&mut sends, IDLE, 0, 200 * MILLI)));
    for _ in 0..49 {
        sends.record_first(&"s".into(), TimePoint(20 * SECOND));
        sends.record_wait("r", MILLI, TimePoint(20 * SECOND));
    }
    assert!(!is_sent(&decide(&mut sends, IDLE, 0, SECOND)));
    sends.record_wait("r", MILLI, TimePoint(21 * SECOND));
    assert!(is_sent(&decide(&mut sends, IDLE, 0, SECOND + 300 * MILLI)));
}

/// Load: eight of ten slots in use. Second sends would delay first ones. Nor is one sent after half of its time, or
/// once second sends are turned off.
#[test]
fn denied() {
    let at = TimePoint(19 * SECOND);
    let loaded = ServiceLoad { running: 8, slots: 10 };
    assert_eq!(decide(&mut observed(at), loaded, 0, 200 * MILLI), SecondSendStep::Deny("loaded"));
    let late = decide(&mut observed(at), IDLE, 1_900 * MILLI, 200 * MILLI);
    assert_eq!(late, SecondSendStep::Deny("late"));
    let mut off = observed(at);
    off.set_bounds(SecondSendBounds { percent: 0.0, quantile: 0.95 });
    for _ in 0..100 {
        off.record_wait("r", MILLI, at);
    }
    assert!(!off.is_on() && !is_sent(&decide(&mut off, IDLE, 0, SECOND)));
}

/// Load: all servers slow down at once, so that every request waits for longer than the quantile. Six VMs together send
/// at most one in twenty to a second server.
#[test]
fn share_of_all_vms() {
    let mut sent = 0;
    for _ in 0..6 {
        let mut sends = observed(TimePoint(19 * SECOND));
        sent += (0..100).filter(|_| is_sent(&decide(&mut sends, IDLE, 0, SECOND))).count();
    }
    assert!(sent > 0 && sent <= 6 * 100 / 20, "{sent} second sends for 600 requests");
}

/// Load: a twentieth of the requests is slow, and each of them is cancelled as a second send answers first. The quantile
/// must not fall by that: requests of usual speed would then be sent twice.
#[test]
fn cancelled_waits() {
    let mut sends = observed(TimePoint(10 * SECOND));
    let mut quantiles = Vec::new();
    for step in 0..300 {
        let now = TimePoint(10 * SECOND + step * 100 * MILLI);
        let quantile = sends.quantile("r", now).expect("there are enough waits");
        quantiles.push(quantile.wait_us);
        for wait_ms in 1..=100 {
            let cancelled_at = quantile.wait_us + MILLI;
            sends.record_wait("r", (wait_ms * MILLI).min(cancelled_at), now);
        }
    }
    let least = quantiles.iter().min().expect("there are some");
    assert!(*least >= 90 * MILLI, "{least} µs");
}

/// Guards against a second server without a free slot, and counts of other services.
#[test]
fn free_slots() {
    let (now, service) = (TimePoint(SECOND), ServiceName::from("engines"));
    let mut table = BackendTable::default();
    for (server, slots) in [("a", 1), ("b", 3)] {
        table.apply_entry(BackendEntry { slots, ..engine_entry(server) }, now);
    }
    table.apply_entry(BackendEntry { service: "other".into(), ..engine_entry("c") }, now);
    table.sent("a", 0, now);
    assert_eq!(table.without_free_slot(&service, now), ["a".into()]);
    assert_eq!(table.service_load(&service, now), ServiceLoad { running: 1, slots: 4 });
    table.mark_unreachable("b", now);
    assert_eq!(table.without_free_slot(&service, now), ["a".into(), "b".into()]);
}
