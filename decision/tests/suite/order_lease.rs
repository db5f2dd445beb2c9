//! Leases of partitions: which VM may send orders to a server, never two at a time.

use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::lease::{
    FleetPartition, GainedSince, LeaseRecord, LeaseSettings, OrderLease, StoreOutage, StoreWitness,
    assess_outage,
};

const SECOND: u64 = 1_000_000;

fn settings() -> LeaseSettings {
    LeaseSettings { topics: 1, partitions: 1, ..LeaseSettings::default() }
}

fn partition() -> FleetPartition {
    FleetPartition { topic: 0, partition: 0 }
}

fn server() -> ServerName {
    "i-1".into()
}

fn at(seconds: u64) -> TimePoint {
    TimePoint(seconds * SECOND)
}

/// Renews at `now` and holds the only partition.
fn renewed(lease: &mut OrderLease, now: TimePoint, generation: u64, since: &GainedSince) {
    lease.renewed(now, now, generation, vec![partition()], since);
}

fn fence(lease: &OrderLease, now: TimePoint) -> Option<u64> {
    lease.fence(&server(), None, StoreOutage::Unconfirmed, now)
}

/// Orders of the previous holder of a partition may still be in flight, so the new holder waits.
#[test]
fn gained_waits() {
    let mut lease = OrderLease::new(settings());
    for second in 10..15 {
        renewed(&mut lease, at(second), 7, &GainedSince::Unknown);
    }
    assert_eq!(fence(&lease, at(13)), None);
    assert_eq!(fence(&lease, at(14)), Some(7));
}

/// After all partitions were reassigned, it is known when the first one becomes active; callers
/// that need a load are told to retry then.
#[test]
fn first_active() {
    let mut lease = OrderLease::new(settings());
    assert_eq!(lease.first_active(at(9)), None);
    renewed(&mut lease, at(10), 7, &GainedSince::Unknown);
    renewed(&mut lease, at(12), 7, &GainedSince::Unknown);
    assert_eq!(lease.first_active(at(13)), Some(at(14)));
    assert_eq!(lease.first_active(at(14)), None);
}

/// If lists of the previous holder were received, the waiting time counts from the last of them,
/// not from the gain.
#[test]
fn known_holder() {
    let mut lease = OrderLease::new(settings());
    renewed(&mut lease, at(20), 7, &GainedSince::Unknown);
    let fence_at = |last| lease.fence(&server(), Some(last), StoreOutage::Unconfirmed, at(21));
    assert_eq!(fence_at(at(16)), Some(7));
    assert_eq!(fence_at(at(18)), None);
}

/// A VM that was suspended past its lifetime has lost its partitions. It sends no orders until it
/// has renewed, and then waits like any other VM that gained them.
#[test]
fn suspended_stops() {
    let mut lease = OrderLease::new(settings());
    renewed(&mut lease, at(10), 7, &GainedSince::FirstStart);
    assert_eq!(fence(&lease, at(12)), Some(7));
    assert_eq!(fence(&lease, at(14)), None);
    renewed(&mut lease, at(15), 9, &GainedSince::Unknown);
    assert_eq!(fence(&lease, at(16)), None);
    renewed(&mut lease, at(17), 9, &GainedSince::Unknown);
    renewed(&mut lease, at(19), 9, &GainedSince::Unknown);
    assert_eq!(fence(&lease, at(19)), Some(9));
}

/// If all VMs restart within their lifetime, the stored record shows that no other VM held the
/// partition, so that loads need not wait. It is no evidence under another generation.
#[test]
fn restart_resumes() {
    let record = LeaseRecord { generation: 7, partitions: vec![partition()] };
    let since = GainedSince::Restart(record);
    let mut same = OrderLease::new(settings());
    renewed(&mut same, at(10), 7, &since);
    assert_eq!(fence(&same, at(10)), Some(7));
    let mut changed = OrderLease::new(settings());
    renewed(&mut changed, at(10), 8, &since);
    assert_eq!(fence(&changed, at(10)), None, "another VM may have held the partition in between");
}

/// The record contains only active partitions: for others, the previous holder may have sent orders
/// recently.
#[test]
fn record_active_only() {
    let mut lease = OrderLease::new(settings());
    renewed(&mut lease, at(10), 7, &GainedSince::Unknown);
    assert_eq!(lease.record(at(11)).partitions, Vec::new());
    assert_eq!(lease.record(at(14)).partitions, vec![partition()]);
}

/// After a server rejected the fencing number as too old, no orders are sent until the generation
/// increases.
#[test]
fn refused_stops() {
    let mut lease = OrderLease::new(settings());
    renewed(&mut lease, at(10), 7, &GainedSince::FirstStart);
    lease.refused(7);
    assert_eq!(fence(&lease, at(11)), None);
    renewed(&mut lease, at(11), 8, &GainedSince::FirstStart);
    assert_eq!(fence(&lease, at(12)), Some(8));
}

/// If the store is unavailable to all for longer than a lifetime, holders continue, since their
/// partitions can't be reassigned. A VM that alone can't reach the store stops.
#[test]
fn store_outage() {
    let mut lease = OrderLease::new(settings());
    renewed(&mut lease, at(10), 7, &GainedSince::FirstStart);
    let fence_for = |outage| lease.fence(&server(), None, outage, at(30));
    assert_eq!(fence_for(StoreOutage::ForAll), Some(7));
    assert_eq!(fence_for(StoreOutage::Unconfirmed), None);
}

/// An outage for all is assumed only if most other VMs reported recently and none of them reached
/// the store. Without reports from most of them, this VM may be disconnected itself.
#[test]
fn outage_witnesses() {
    let now = at(100);
    let unreached = StoreWitness { last_seen: now, reached_at: at(95) };
    let reached = StoreWitness { last_seen: now, reached_at: at(100) };
    let unresponsive = StoreWitness { last_seen: at(95), reached_at: at(95) };
    assert_eq!(assess_outage(&[unreached, unreached, unresponsive], now), StoreOutage::ForAll);
    assert_eq!(assess_outage(&[unreached, reached, unreached], now), StoreOutage::Unconfirmed);
    assert_eq!(
        assess_outage(&[unreached, unresponsive, unresponsive], now),
        StoreOutage::Unconfirmed
    );
    assert_eq!(assess_outage(&[], now), StoreOutage::Unconfirmed);
}

/// Guards against rates over the fleet that are divided by the VMs that a VM knows: the parts of VMs that know no other
/// add up to one.
#[test]
fn fractions_add_up() {
    let settings = LeaseSettings { topics: 2, partitions: 4, ..LeaseSettings::default() };
    let partitions =
        |topic: u32| (0..4).map(|partition| FleetPartition { topic, partition }).collect();
    let mut leases = [OrderLease::new(settings), OrderLease::new(settings)];
    for second in 10..40 {
        for (topic, lease) in leases.iter_mut().enumerate() {
            lease.renewed(
                at(second),
                at(second),
                1,
                partitions(topic as u32),
                &GainedSince::Unknown,
            );
        }
        let held: f64 = leases.iter().map(OrderLease::held_fraction).sum();
        assert!((held - 1.0).abs() < 1e-9, "{held}");
    }
    let settled =
        |now| leases.iter().map(|lease| lease.settled_fraction(10 * SECOND, now)).sum::<f64>();
    assert!((settled(at(39)) - 1.0).abs() < 1e-9);
    assert!(settled(at(42)).abs() < 1e-9, "a lease that may be another VM's is still used");
}

/// Guards against a fraction that the previous holder may have used within the same window.
#[test]
fn fraction_settles() {
    let mut lease = OrderLease::new(settings());
    for second in 10..=23 {
        renewed(&mut lease, at(second), 1, &GainedSince::Unknown);
        let settled = lease.settled_fraction(10 * SECOND, at(second));
        assert!(
            (settled - f64::from(u8::from(second == 23))).abs() < 1e-9,
            "{settled} at {second} s"
        );
    }
    renewed(&mut lease, at(30), 1, &GainedSince::Unknown);
    assert!(lease.settled_fraction(10 * SECOND, at(30)).abs() < 1e-9, "the lease had expired");
}
