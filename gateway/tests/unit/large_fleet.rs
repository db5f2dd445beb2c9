//! The roster in large fleets, where not every VM calls the store and reports to all others.

use std::net::SocketAddr;

use coltsfoothook_decision::id::{TimePoint, VmName};

use crate::estimates::ReportedEstimates;
use crate::message::VmState;
use crate::roster::{PeerRoster, SMALL_FLEET};

const NOW: TimePoint = TimePoint(10_000_000);
const DOMAIN: &str = "d1";

pub(crate) fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (number >> 8) as u8 + 1, number as u8], 9))
}

pub(crate) fn state(number: usize, config: u64, store_age_ms: Option<u32>) -> VmState {
    VmState {
        vm: VmName::from(format!("vm-{number}").as_str()),
        incarnation: 1,
        sequence: 1,
        requests: address(number),
        ready: true,
        leaving: false,
        config,
        store_age_ms,
        domain: DOMAIN.into(),
        can_aggregate: true,
        aggregates: false,
        loads: None,
        uses: None,
        statements: Vec::new(),
        others: Vec::new(),
        estimates: ReportedEstimates::default(),
    }
}

/// Returns the roster of VM `own` in a fleet of `count`, with each other VM's configuration and the
/// age in milliseconds of its last call to the store.
pub(crate) fn roster(
    count: usize,
    own: usize,
    last_seen: TimePoint,
    reported: impl Fn(usize) -> (u64, Option<u32>),
) -> PeerRoster {
    let mut roster = PeerRoster::default();
    for number in (0..count).filter(|number| *number != own) {
        let (config, age) = reported(number);
        roster.apply(&state(number, config, age), address(number), last_seen);
    }
    roster
}

/// All VMs compute the same order, so that exactly the intended number reads the store for the
/// others. The first ones are not the first by name, which would be of one failure domain.
#[test]
fn same_order() {
    let count = 75;
    let rank = |own: usize| {
        let roster = roster(count, own, NOW, |_| (1, None));
        roster.hash_rank(&VmName::from(format!("vm-{own}").as_str()), NOW)
    };
    let mut ranks: Vec<usize> = (0..count).map(rank).collect();
    assert_ne!(&ranks[..3], &[0, 1, 2]);
    ranks.sort_unstable();
    assert_eq!(ranks, (0..count).collect::<Vec<_>>());
}

/// Most VMs of a large fleet call the store twice a minute. Were they counted as witnesses, this
/// would look like an outage of the store, and a VM that is cut off from the store would go on
/// ordering servers that another one orders by then.
#[test]
fn no_witness() {
    let seldom = roster(75, 0, NOW, |number| (1, (number == 7).then_some(100)));
    assert_eq!(seldom.witnesses(NOW).len(), 1);
    assert!(roster(75, 0, NOW, |_| (1, None)).witnesses(NOW).is_empty());
}

/// A VM that is behind may fetch the configuration from any VM that has the newest one. If all
/// fetched it from one VM, that VM would be overloaded while callers wait.
#[test]
fn many_are_ahead() {
    let fleet = roster(75, 0, NOW, |number| (if number < 40 { 7 } else { 6 }, None));
    assert_eq!(fleet.with_newer_config(6, NOW).len(), 39);
    assert!(fleet.with_newer_config(7, NOW).is_empty());
}

/// All VMs of a domain compute the same aggregator, and it is an eligible one.
#[test]
fn one_aggregator() {
    let count = 40;
    let eligible = |number: usize| number % 4 == 1;
    let ahead = |own: usize| {
        let mut roster = PeerRoster::default();
        for number in (0..count).filter(|number| *number != own) {
            let state = VmState { can_aggregate: eligible(number), ..state(number, 1, None) };
            roster.apply(&state, address(number), NOW);
        }
        roster.ahead_in_domain(
            &VmName::from(format!("vm-{own}").as_str()),
            &DOMAIN.into(),
            eligible(own),
            NOW,
        )
    };
    let first: Vec<usize> = (0..count).filter(|own| ahead(*own) == 0).collect();
    assert_eq!(first.len(), 1);
    assert!(eligible(first[0]));
}

/// An owner's lists go to the VM that aggregates in each domain; where none does yet, to the one
/// that comes first.
#[test]
fn aggregators_of_domains() {
    let mut roster = PeerRoster::default();
    for number in 0..30 {
        let domain = if number < 15 { "d1" } else { "d2" };
        let state =
            VmState { domain: domain.into(), aggregates: number == 3, ..state(number, 1, None) };
        roster.apply(&state, address(number), NOW);
    }
    let first = roster.first_in_domain(&"d2".into(), NOW).unwrap();
    assert_eq!(roster.aggregators(NOW), [address(3), first]);
    let expired = TimePoint(NOW.0 + 5_000_000);
    assert!(roster.aggregators(expired).is_empty());
}

/// A VM's update shows its newer configuration before its next state message does.
#[test]
fn config_in_update() {
    let mut fleet = roster(SMALL_FLEET + 2, 0, NOW, |_| (6, None));
    assert!(fleet.is_large(NOW));
    fleet.record_config(&VmName::from("vm-3"), 7);
    fleet.record_config(&VmName::from("vm-3"), 5);
    assert_eq!(fleet.with_newer_config(6, NOW), [address(3)]);
}

/// A VM of a large fleet sends its state to each other VM every three seconds or more, and some
/// messages are lost. The loss of one must not make the readers drop a VM: it would not learn of
/// leaving servers and would send requests to them.
#[test]
fn one_lost_state() {
    for count in [195, 363] {
        let fleet = roster(count, 0, NOW, |_| (1, None));
        let round_us = count as u64 * 250_000 / 16;
        let after_one_lost = TimePoint(NOW.0 + 2 * round_us - 100_000);
        assert_eq!(fleet.live_count(after_one_lost), count - 1);
    }
    let small = roster(20, 0, NOW, |_| (1, None));
    assert_eq!(small.live_count(TimePoint(NOW.0 + 4_100_000)), 0);
}

/// Callers are not sent to a VM for long that is off, in a fleet of any size, and to each one whose messages arrive.
#[test]
fn off_unnamed() {
    const LONGEST_US: u64 = 7_000_000;
    for count in [12, SMALL_FLEET + 1, 195, 300] {
        let off = 5;
        let mut roster = roster(count, 0, NOW, |_| (1, None));
        let interval_us = if count > SMALL_FLEET { 250_000 * count as u64 / 16 } else { 125_000 };
        let (mut at, mut named_us) = (NOW, 0);
        while at < NOW.plus(3 * LONGEST_US) {
            at = at.plus(125_000);
            for number in (1..count).filter(|number| *number != off) {
                // Messages of different VMs come at different moments of the interval.
                let phase_us = interval_us * number as u64 / count as u64;
                if (at.0 + phase_us) % interval_us < 125_000 {
                    let state = VmState { sequence: at.0, ..state(number, 1, None) };
                    roster.apply(&state, address(number), at);
                }
            }
            let named = roster.ready(at);
            assert!(named.len() >= count - 2, "{} of {count} named", named.len());
            if named.contains(&address(off)) {
                named_us = at.since(NOW);
            }
        }
        assert!(named_us <= LONGEST_US, "{count} VMs: named {named_us} us after it went off");
    }
}

/// A large configuration must be read and handed on by VMs with wide links: dozens of VMs that fetch it from one with a
/// narrow link fill that for seconds, in which callers' requests wait and reach servers after their callers have left.
#[test]
fn wide_links_first() {
    let count = 40;
    let eligible = |number: usize| number % 5 == 1;
    let fleet = |own: usize, config: &dyn Fn(usize) -> u64| {
        let mut roster = PeerRoster::default();
        for number in (0..count).filter(|number| *number != own) {
            let state =
                VmState { can_aggregate: eligible(number), ..state(number, config(number), None) };
            roster.apply(&state, address(number), NOW);
        }
        roster
    };
    let rank = |own: usize| {
        let vm = VmName::from(format!("vm-{own}").as_str());
        fleet(own, &|_| 1).rank_as_reader(&vm, eligible(own), NOW)
    };
    let first: Vec<usize> = (0..count).filter(|own| rank(*own) < 8).collect();
    assert!(first.len() == 8 && first.into_iter().all(eligible));
    let some_have = fleet(0, &|number| if number < 12 { 7 } else { 6 });
    assert_eq!(some_have.with_newer_config(6, NOW), [address(1), address(11), address(6)]);
    let narrow_has = fleet(0, &|number| if number == 3 { 7 } else { 6 });
    assert_eq!(narrow_has.with_newer_config(6, NOW), [address(3)]);
}
