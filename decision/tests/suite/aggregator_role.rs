//! Which VM aggregates for a failure domain after its aggregator was killed, frozen or cut off.
//!
//! Until another one takes over, the domain's VMs keep counts and buckets from before. The next VM in
//! rank takes over before the buckets are no longer used, and stops once the first is back.

use coltsfoothook_decision::aggregator::{AggregatorRole, RecentRecipients};
use coltsfoothook_decision::id::{TimePoint, VmName};

const SECOND: u64 = 1_000_000;
const START: TimePoint = TimePoint(100 * SECOND);

/// Returns the role of a VM that follows `vm-1`, which sent its last update at [`START`].
fn follower() -> AggregatorRole {
    let mut role = AggregatorRole::default();
    role.record_update(&"vm-1".into(), START);
    role.record_adoption();
    role
}

/// Returns whether a VM with `ahead` others before it aggregates `after_us` after [`START`], to which messages of
/// others than the aggregator still arrive.
fn aggregates(role: &AggregatorRole, ahead: usize, after_us: u64) -> bool {
    let mut role = role.clone();
    for at in (0..after_us).step_by(100_000) {
        role.record_contact(START.plus(at));
    }
    role.update(ahead, TimePoint(0), START.plus(after_us))
}

#[test]
fn first_in_rank() {
    assert!(aggregates(&follower(), 0, 10_000));
    assert!(!aggregates(&follower(), 1, 10_000));
}

#[test]
fn unresponsive_aggregator() {
    let mut role = follower();
    assert!(!aggregates(&role, 1, 290_000));
    assert!(aggregates(&role, 1, 310_000));
    // VMs of lower rank wait for longer, and receive the next one's updates by then.
    assert!(!aggregates(&role, 5, 800_000));
    assert!(aggregates(&role, 5, SECOND));
    role.record_update(&"vm-2".into(), START.plus(SECOND));
    assert!(!role.update(5, TimePoint(0), START.plus(SECOND + 250_000)));
}

/// A VM that heard nothing was frozen or cut off. It follows the one that aggregates now before it takes over from
/// it, and sends nothing until then.
#[test]
fn back_after_freeze() {
    let mut role = follower();
    assert!(role.update(0, TimePoint(0), START.plus(10_000)));
    let thaw = START.plus(3 * SECOND);
    assert!(!role.take_due_update(thaw));
    role.record_update(&"vm-2".into(), thaw);
    assert!(!role.update(0, TimePoint(0), thaw.plus(10_000)));
    role.record_adoption();
    assert!(role.update(0, TimePoint(0), thaw.plus(60_000)));
    assert!(role.take_due_update(thaw.plus(60_000)));
}

/// A VM that has just started knows nothing of the fleet's use, and lets those that do go first.
#[test]
fn just_started() {
    let mut role = AggregatorRole::default();
    role.record_contact(START);
    assert!(!aggregates(&role, 0, 310_000));
    assert!(aggregates(&role, 0, 800_000));
}

/// In a fleet that just became large no VM has received an aggregator's update yet.
#[test]
fn just_large() {
    let mut role = AggregatorRole::default();
    role.record_contact(START);
    assert!(!role.update(2, START, START.plus(400_000)));
    assert!(aggregates(&role, 2, 1_200_000));
}

/// While two VMs aggregate, all follow the first in rank; otherwise use would be counted by both.
#[test]
fn two_aggregators() {
    let mut role = follower();
    role.record_update(&"vm-2".into(), START.plus(100_000));
    let rank = |vm: &VmName| vm.as_str().to_owned();
    let name = |role: &AggregatorRole, after_us| {
        role.followed(START.plus(after_us), rank).map(|vm| vm.as_str().to_owned())
    };
    assert_eq!(name(&role, 150_000).as_deref(), Some("vm-1"));
    assert_eq!(name(&role, 350_000).as_deref(), Some("vm-2"));
    assert_eq!(name(&role, 500_000), None);
    role.record_end(&"vm-1".into());
    assert_eq!(name(&role, 150_000).as_deref(), Some("vm-2"));
}

/// The base of the totals goes with the first reports to a recipient, and again once it may have lost them.
#[test]
fn new_recipients() {
    let mut recipients = RecentRecipients::default();
    assert!(recipients.record("vm-1", START));
    assert!(recipients.record("vm-1", START.plus(900_000)));
    assert!(!recipients.record("vm-1", START.plus(1_100_000)));
    recipients.forget(&"vm-1");
    assert!(recipients.record("vm-1", START.plus(1_200_000)));
    assert!(recipients.record("vm-1", START.plus(4 * SECOND)));
}
