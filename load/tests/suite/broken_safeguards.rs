// A check that never fails proves nothing. Each safeguard is broken in the wiring of the soak, and
// the outside view must see callers harmed: two runs of a call that must run once, or an adapter
// evicted under a running request.

use coltsfoothook_load::safeguard::BrokenSafeguard;
use coltsfoothook_load::world::{SoakSettings, run_seed};

/// Seeds that are tried until one catches the break. The decisions draw from the seed's generator,
/// so which seed it is changes with them.
const SEEDS: u64 = 120;

fn assert_caught(broken: BrokenSafeguard, rule: &str) {
    let caught = (1..=SEEDS).any(|seed| {
        let result = run_seed(&SoakSettings { seed, broken, ..Default::default() });
        result.violations.iter().any(|violation| violation.rule == rule)
    });
    assert!(caught, "no seed up to {SEEDS} sees {rule} break with {broken}");
}

#[test]
fn eviction_without_asking_holders() {
    assert_caught(BrokenSafeguard::HeldUnasked, "no_eviction_in_use");
}

#[test]
fn run_before_claim_is_read() {
    assert_caught(BrokenSafeguard::ClaimUnread, "at_most_once");
}

#[test]
fn key_of_earlier_life() {
    assert_caught(BrokenSafeguard::IssuedReused, "at_most_once");
}

#[test]
fn grant_of_deposed_owner() {
    assert_caught(BrokenSafeguard::OldEpochUsed, "no_eviction_in_use");
}

#[test]
fn resend_without_revocation() {
    assert_caught(BrokenSafeguard::RevokeUnasked, "at_most_once");
}
