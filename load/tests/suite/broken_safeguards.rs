// Guards against soak checks that cannot fail: with a safeguard disabled, the oracle must detect a
// second run of a call that must run once, or the eviction of an adapter in use.

use coltsfoothook_load::safeguard::BrokenSafeguard;
use coltsfoothook_load::world::{SoakSettings, run_seed};

/// Number of seeds to try until one detects a violation.
const MAX_SEEDS: u64 = 120;

fn assert_detected(broken: BrokenSafeguard, rule: &str) {
    let detected = (1..=MAX_SEEDS).any(|seed| {
        let result = run_seed(&SoakSettings { seed, broken, ..Default::default() });
        result.violations.iter().any(|violation| violation.rule == rule)
    });
    assert!(detected, "no seed up to {MAX_SEEDS} violates {rule} with {broken}");
}

#[test]
fn eviction_without_held_query() {
    assert_detected(BrokenSafeguard::HeldQuerySkipped, "no_eviction_in_use");
}

#[test]
fn run_before_claim_is_read() {
    assert_detected(BrokenSafeguard::ClaimUnread, "at_most_once");
}

#[test]
fn key_of_earlier_incarnation() {
    assert_detected(BrokenSafeguard::IssuedReused, "at_most_once");
}

#[test]
fn grant_of_deposed_owner() {
    assert_detected(BrokenSafeguard::OldEpochUsed, "no_eviction_in_use");
}

#[test]
fn resend_without_revocation() {
    assert_detected(BrokenSafeguard::RevocationSkipped, "at_most_once");
}
