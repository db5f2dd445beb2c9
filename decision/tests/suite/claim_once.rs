// Requests with idempotency keys that are resent to the same or another VM, while answers to
// appends are lost and VMs restart: a request runs at most once, and "not run" is answered only if
// it did not.

use coltsfoothook_decision::claim::{
    ClaimAnswer, ClaimRequest, ClaimSettings, ClaimStart, ClaimTable, parse_issued,
};
use coltsfoothook_decision::id::{
    MICROS_PER_MILLI, RequestFingerprint, TimePoint, VmIdentity, VmIncarnation,
};
use coltsfoothook_decision::message::{RevokeCall, RevokeReply, RevokeUncertainty};
use coltsfoothook_decision::outcome::{RefusalReason, RequestOutcome};
use coltsfoothook_decision::record::ClaimRecord;

const NOW: TimePoint = TimePoint(1_000_000);

fn vm(name: &str, incarnation: u64) -> VmIdentity {
    VmIdentity { vm: name.into(), incarnation: VmIncarnation(incarnation) }
}

fn table(name: &str, incarnation: u64) -> ClaimTable {
    ClaimTable::new(ClaimSettings::default(), vm(name, incarnation))
}

fn request(key: &str) -> ClaimRequest<'_> {
    ClaimRequest {
        tenant: "ramsa",
        key,
        fingerprint: RequestFingerprint(5),
        first_try: false,
        wall_ms: 1_700_000_000_000,
        log_up: true,
    }
}

fn due(table: &mut ClaimTable) -> ClaimRecord {
    table.batcher().take_due(NOW.plus(10 * MICROS_PER_MILLI)).expect("a claim is due")
}

fn answer(outcome: RequestOutcome, reason: RefusalReason) -> ClaimStart {
    ClaimStart::Answer(ClaimAnswer { outcome, reason })
}

#[test]
fn first_claim_runs() {
    let (mut a, mut b) = (table("a", 1), table("b", 1));
    assert_eq!(a.begin(NOW, &request("k")), ClaimStart::Claiming);
    assert_eq!(b.begin(NOW, &request("k")), ClaimStart::Claiming);
    let (first, second) = (due(&mut a), due(&mut b));
    assert_eq!(a.read_back(0, first.clone())[0].start, ClaimStart::Run);
    assert_eq!(b.read_back(0, first)[0].start, ClaimStart::RequestRevocation(vm("a", 1)));
    assert!(a.read_back(1, second.clone()).is_empty());
    assert!(b.read_back(1, second).is_empty());
    assert_eq!(b.begin(NOW, &request("k")), ClaimStart::RequestRevocation(vm("a", 1)));
}

#[test]
fn lost_append_is_one_claim() {
    let mut a = table("a", 1);
    a.begin(NOW, &request("k"));
    let record = due(&mut a);
    let later = NOW.plus(600 * MICROS_PER_MILLI);
    let again =
        a.batcher().take_due(later).expect("a claim that was not read back is appended again");
    assert_eq!(again, record);
    assert_eq!(a.read_back(0, record)[0].start, ClaimStart::Run);
    assert!(a.read_back(1, again).is_empty(), "the repeated claim starts nothing");
    assert_eq!(a.batcher().take_due(later.plus(10 * 600 * MICROS_PER_MILLI)), None);
}

#[test]
fn resend_is_told_what_became() {
    let mut a = table("a", 1);
    a.begin(NOW, &request("k"));
    let record = due(&mut a);
    let unknown = answer(RequestOutcome::Unknown, RefusalReason::AlreadyClaimed);
    assert_eq!(a.begin(NOW, &request("k")), unknown, "while its claim is in flight");
    a.read_back(0, record);
    assert_eq!(a.begin(NOW, &request("k")), unknown, "while it runs");
    let other = ClaimRequest { fingerprint: RequestFingerprint(6), ..request("k") };
    assert_eq!(a.begin(NOW, &other), answer(RequestOutcome::Unknown, RefusalReason::KeyReused));
    a.end("ramsa", "k", RequestOutcome::Done);
    let done = answer(RequestOutcome::Done, RefusalReason::AlreadyClaimed);
    assert_eq!(a.begin(NOW, &request("k")), done);
    assert_eq!(a.invariants().violated(), 0);
}

#[test]
fn log_outage_refuses_claims() {
    let mut a = table("a", 1);
    let down = ClaimRequest { log_up: false, ..request("k") };
    let first = ClaimRequest { first_try: true, ..down };
    let reason = RefusalReason::LogUnavailable;
    assert_eq!(a.begin(NOW, &first), answer(RequestOutcome::NotRun, reason));
    assert_eq!(a.begin(NOW, &down), answer(RequestOutcome::Unknown, reason));
    let issued = a.issue();
    let request = ClaimRequest { log_up: false, ..request(issued.as_str()) };
    assert_eq!(a.begin(NOW, &request), ClaimStart::Run, "an issued key needs no log");
}

#[test]
fn given_up_claim_never_runs() {
    let mut a = table("a", 1);
    a.begin(NOW, &ClaimRequest { first_try: true, ..request("k") });
    let record = due(&mut a);
    let given_up = a.give_up("ramsa", "k", RefusalReason::LogUnavailable);
    assert_eq!(given_up.outcome, RequestOutcome::NotRun);
    assert!(
        a.read_back(0, record).is_empty(),
        "the append took effect, but no request waits for it"
    );
    let call =
        RevokeCall { tenant: "ramsa".into(), key: "k".into(), fingerprint: RequestFingerprint(5) };
    assert_eq!(a.revoke(&call), RevokeReply::Revoked);
}

#[test]
fn issued_key_runs_in_one_incarnation() {
    let mut a = table("a", 1);
    let key = a.issue();
    assert_eq!(parse_issued(key.as_str()).map(|issued| issued.issuer), Some(vm("a", 1)));
    let mut restarted = table("a", 2);
    restarted.issue();
    let expired = answer(RequestOutcome::Unknown, RefusalReason::KeyExpired);
    assert_eq!(restarted.begin(NOW, &request(key.as_str())), expired);
    let mut b = table("b", 1);
    assert_eq!(b.begin(NOW, &request(key.as_str())), ClaimStart::RequestRevocation(vm("a", 1)));
    let call = RevokeCall { tenant: "ramsa".into(), key, fingerprint: RequestFingerprint(5) };
    assert_eq!(
        restarted.revoke(&call),
        RevokeReply::Unknown(RevokeUncertainty::EarlierIncarnation)
    );
    assert_eq!(a.revoke(&call), RevokeReply::Revoked);
    let refused = answer(RequestOutcome::NotRun, RefusalReason::AlreadyClaimed);
    assert_eq!(a.begin(NOW, &request(call.key.as_str())), refused, "a revoked key never runs");
}

#[test]
fn forged_issued_keys_refused() {
    let mut a = table("a", 1);
    a.issue();
    let refused = answer(RequestOutcome::NotRun, RefusalReason::KeyExpired);
    assert_eq!(a.begin(NOW, &request("cf1.a.1.99")), refused, "the key was never issued");
    for malformed in ["cf1.a.1.+1", "cf1.a.01.1", "cf1.a.1.", "cf1..1.1", "cf1.a.1", "cf1.", ""] {
        assert_eq!(parse_issued(malformed), None, "{malformed:?} is not an issued key");
    }
    let dotted = parse_issued("cf1.vm.with.dots.3.4").expect("names may have dots");
    assert_eq!(dotted.issuer, vm("vm.with.dots", 3));
}

#[test]
fn expired_uuid_v7_refused() {
    let mut a = table("a", 1);
    let hours_ago = |n: u64| 1_700_000_000_000_u64 - n * 3_600_000;
    let dated = |ms: u64| {
        let hex = format!("{ms:012x}");
        format!("{}-{}-7abc-8abc-0123456789ab", &hex[..8], &hex[8..])
    };
    let expired = answer(RequestOutcome::Unknown, RefusalReason::KeyExpired);
    assert_eq!(a.begin(NOW, &request(&dated(hours_ago(2)))), expired);
    assert_eq!(a.begin(NOW, &request(&dated(hours_ago(0)))), ClaimStart::Claiming);
}

#[test]
fn claims_are_batched() {
    let mut a = table("a", 1);
    for n in 0..300 {
        a.begin(NOW, &request(&format!("k{n}")));
    }
    let first = a.batcher().take_due(NOW).expect("a full batch does not wait");
    assert_eq!(first.claims.len(), 256);
    assert_eq!(a.batcher().take_due(NOW), None, "the rest waits for the flush time");
    assert_eq!(due(&mut a).claims.len(), 44);
}

#[test]
fn used_key_is_known_for_ever() {
    // The outcome of the first key is no longer remembered, but its use is.
    let settings = ClaimSettings { issued_kept: 4, ..Default::default() };
    let mut a = ClaimTable::new(settings, vm("a", 1));
    let keys: Vec<_> = (0..20).map(|_| a.issue()).collect();
    for key in &keys {
        assert_eq!(a.begin(NOW, &request(key.as_str())), ClaimStart::Run);
        a.end("ramsa", key.as_str(), RequestOutcome::Done);
    }
    let expired = answer(RequestOutcome::Unknown, RefusalReason::KeyExpired);
    assert_eq!(a.begin(NOW, &request(keys[0].as_str())), expired);
    let key = keys[0].clone();
    let call = RevokeCall { tenant: "ramsa".into(), key, fingerprint: RequestFingerprint(5) };
    assert_eq!(a.revoke(&call), RevokeReply::Unknown(RevokeUncertainty::NoAnswer));
}
