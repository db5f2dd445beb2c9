//! At-most-once execution of requests with an idempotency key: claims in the log, and issued keys.
//!
//! A key chosen by the caller is claimed in the log before the run; the first claim in offset order
//! wins. A key issued by a VM with its list of addresses is run only by that incarnation of that
//! VM, without the log. See docs/AGREEMENT.md, "Claims", for the answer to a resend in each case.
//!
//! ```
//! use coltsfoothook_decision::claim::{ClaimRequest, ClaimSettings, ClaimStart, ClaimTable};
//! use coltsfoothook_decision::id::{RequestFingerprint, TimePoint, VmIdentity, VmIncarnation};
//!
//! let vm = VmIdentity { vm: "vm-1".into(), incarnation: VmIncarnation(7) };
//! let mut table = ClaimTable::new(ClaimSettings::default(), vm);
//! let key = table.issue();
//! let request = ClaimRequest {
//!     tenant: "ramsa",
//!     key: key.as_str(),
//!     fingerprint: RequestFingerprint(1),
//!     first_try: false,
//!     wall_ms: 0,
//!     log_up: false,
//! };
//! assert_eq!(table.begin(TimePoint(0), &request), ClaimStart::Run);
//! assert_ne!(table.begin(TimePoint(0), &request), ClaimStart::Run);
//! ```

use crate::follow::StreamCursor;
use crate::id::{
    CustomerName, IdempotencyKey, MICROS_PER_MILLI, RequestFingerprint, TimePoint, VmIdentity,
    VmIncarnation, stable_hash,
};
use crate::invariant::{InvariantLog, InvariantName};
use crate::message::{RevokeCall, RevokeReply, RevokeUncertainty};
use crate::outcome::{RefusalReason, RequestOutcome};
use crate::record::{ClaimEntry, ClaimRecord};

/// Prefix of an issued key, `cf1.<vm>.<incarnation>.<n>`.
const ISSUED_PREFIX: &str = "cf1.";
/// Number of buckets of the claim window, and of the keys of a VM. Each is a short sorted vector,
/// which keeps insertions cheap.
const CLAIM_BUCKETS: usize = 256;
/// Bits per word of the bitmap of used issued keys.
const WORD_BITS: u64 = 64;

/// Settings of claims.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimSettings {
    /// Number of claims remembered, the latest in offset order. A count rather than a time, so that
    /// readers whose clocks differ forget the same claims.
    pub window_claims: usize,
    /// Minimum milliseconds for which a key is protected; must be shorter than the log's retention.
    /// A key that contains its time of creation (UUID version 7) is refused once it is older.
    pub window_ms: u64,
    /// Milliseconds by which the clocks of callers and VMs may differ.
    pub clock_ms: u64,
    /// Number of keys whose state this VM remembers. Of an older issued key it remembers only that
    /// the key was used.
    pub issued_kept: usize,
    /// Upper bound of keys that one incarnation of a VM issues, at one bit of memory each.
    pub max_issued: u64,
    /// Maximum claims in one append.
    pub batch: usize,
    /// Milliseconds that a claim waits for others to share its append.
    pub flush_ms: u64,
    /// Milliseconds after which claims whose append was not read back are appended again.
    pub repeat_ms: u64,
    /// Maximum number of claims that are queued until they are read back; requests with further
    /// ones are refused.
    pub queue: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            window_claims: 262_144,
            window_ms: 3_600_000,
            clock_ms: 30_000,
            issued_kept: 65_536,
            max_issued: 16_777_216,
            batch: 256,
            flush_ms: 3,
            repeat_ms: 500,
            queue: 4_096,
        }
    }
}

/// Result of folding one claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimVerdict {
    /// The first claim of the key: only its claimer may run the request.
    Won,
    /// The same claimer claimed it before, for instance because the append's answer was lost.
    Repeated,
    /// A claim of another VM, or of another incarnation of the same VM, came first.
    Lost(KeptClaim),
}

/// The first claim of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptClaim {
    /// The VM that claimed it.
    pub claimer: VmIdentity,
    /// Hash of the request's content.
    pub fingerprint: RequestFingerprint,
    /// Offset of the claim in the log.
    pub offset: u64,
}

/// A folded claim with its verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimResolution {
    /// The VM that wrote the claim.
    pub claimer: VmIdentity,
    /// The claim as read from the log.
    pub entry: ClaimEntry,
    /// Result of folding it.
    pub verdict: ClaimVerdict,
}

#[derive(Clone, Debug)]
struct BucketEntry {
    hash: u128,
    claim: KeptClaim,
}

/// The first claim of each key, up to the last record read from the log.
#[derive(Clone, Debug)]
pub struct ClaimFold {
    window: usize,
    cursor: StreamCursor<()>,
    buckets: Vec<Vec<BucketEntry>>,
    /// Hashes of the remembered keys, the oldest claim first.
    order: std::collections::VecDeque<u128>,
}

impl ClaimFold {
    /// Creates an empty fold that remembers the latest `window` claims.
    #[must_use]
    pub fn new(window: usize) -> Self {
        let buckets = vec![Vec::new(); CLAIM_BUCKETS];
        Self { window, cursor: StreamCursor::default(), buckets, order: Default::default() }
    }

    /// The next log offset to read.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.cursor.next()
    }

    /// The first claim of a key; `None` if there is none or it is no longer remembered.
    #[must_use]
    pub fn claim(&self, tenant: &str, key: &str) -> Option<&KeptClaim> {
        let hash = key_hash(tenant, key);
        let bucket = &self.buckets[bucket_of(hash)];
        let found = bucket.binary_search_by_key(&hash, |entry| entry.hash);
        found.ok().map(|at| &bucket[at].claim)
    }

    /// Folds the record at `offset`; returns nothing for a record that was folded before.
    pub fn fold(&mut self, offset: u64, record: ClaimRecord) -> Vec<ClaimResolution> {
        if !self.cursor.advance(offset) {
            return Vec::new();
        }
        let ClaimRecord { claimer, claims } = record;
        let resolutions = claims.into_iter().map(|entry| {
            let verdict = self.resolve(offset, &claimer, &entry);
            ClaimResolution { claimer: claimer.clone(), entry, verdict }
        });
        resolutions.collect()
    }

    /// Goes back to `offset`, from which on the log has other records than those that were read. What
    /// was folded stays.
    pub fn rewind(&mut self, offset: u64) {
        self.cursor.rewind(offset);
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: u64) {
        let _ = self.cursor.advance(offset);
    }

    fn resolve(&mut self, offset: u64, claimer: &VmIdentity, entry: &ClaimEntry) -> ClaimVerdict {
        let hash = key_hash(entry.tenant.as_str(), entry.key.as_str());
        let bucket = &mut self.buckets[bucket_of(hash)];
        let at = match bucket.binary_search_by_key(&hash, |entry| entry.hash) {
            Ok(at) if bucket[at].claim.claimer == *claimer => return ClaimVerdict::Repeated,
            Ok(at) => return ClaimVerdict::Lost(bucket[at].claim.clone()),
            Err(at) => at,
        };
        let fingerprint = entry.fingerprint;
        let claim = KeptClaim { claimer: claimer.clone(), fingerprint, offset };
        bucket.insert(at, BucketEntry { hash, claim });
        self.order.push_back(hash);
        if self.order.len() > self.window {
            self.forget_oldest();
        }
        ClaimVerdict::Won
    }

    fn forget_oldest(&mut self) {
        let Some(hash) = self.order.pop_front() else { return };
        let bucket = &mut self.buckets[bucket_of(hash)];
        if let Ok(at) = bucket.binary_search_by_key(&hash, |entry| entry.hash) {
            bucket.remove(at);
        }
    }
}

fn bucket_of(hash: u128) -> usize {
    (hash % CLAIM_BUCKETS as u128) as usize
}

/// Combines two independent 64-bit hashes. A collision of two keys would wrongly refuse a request;
/// at 128 bits its probability is negligible.
fn key_hash(tenant: &str, key: &str) -> u128 {
    let high = stable_hash(&[tenant, key]);
    let low = stable_hash(&[key, "claim", tenant]);
    (u128::from(high) << 64) | u128::from(low)
}

/// A request with an idempotency key, before it is run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClaimRequest<'a> {
    /// The customer; keys of different customers are independent.
    pub tenant: &'a str,
    /// The idempotency key.
    pub key: &'a str,
    /// Hash of the request's content.
    pub fingerprint: RequestFingerprint,
    /// Whether the caller states that it sent the key nowhere before and sends it nowhere else
    /// while it waits for this answer. Only then may a VM that cannot query the log answer "not
    /// run": otherwise another try may have run elsewhere.
    pub first_try: bool,
    /// Wall-clock milliseconds since 1970, for keys that contain their time.
    pub wall_ms: u64,
    /// Whether the log currently answers appends and reads.
    pub log_up: bool,
}

/// What to do with a request that has a key.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimStart {
    /// It may run now, once.
    Run,
    /// It waits until its claim is appended and read back; see [`ClaimTable::read_back`].
    Claiming,
    /// Only this other VM may run it: request a revocation there, then call
    /// [`ClaimTable::answer_after_revocation`].
    RequestRevocation(VmIdentity),
    /// It does not run here.
    Answer(ClaimAnswer),
}

/// The answer to the caller of a request that does not run here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimAnswer {
    /// What became of the request under this key, as far as is known.
    pub outcome: RequestOutcome,
    /// Why it does not run.
    pub reason: RefusalReason,
}

impl ClaimAnswer {
    const fn not_run(reason: RefusalReason) -> Self {
        Self { outcome: RequestOutcome::NotRun, reason }
    }

    const fn unknown(reason: RefusalReason) -> Self {
        Self { outcome: RequestOutcome::Unknown, reason }
    }

    /// The answer while the log cannot be queried. Nothing ran here; "not run" is certain only if
    /// there was no earlier try elsewhere.
    const fn without_log(first_try: bool) -> Self {
        match first_try {
            true => Self::not_run(RefusalReason::LogUnavailable),
            false => Self::unknown(RefusalReason::LogUnavailable),
        }
    }
}

/// State of a key at this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyState {
    /// The claim is not read back yet. `first_try` is that of the waiting request.
    Claiming { first_try: bool },
    /// The waiting request was already answered; the request must not run if the claim wins.
    GivenUp,
    /// The request is running.
    Running,
    /// The run ended with this outcome.
    Ended(RequestOutcome),
    /// The request never ran and never will.
    Revoked,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    hash: u128,
    fingerprint: RequestFingerprint,
    state: KeyState,
}

/// A key issued by some VM.
#[derive(Clone, Debug, PartialEq)]
pub struct IssuedKey {
    /// The incarnation that issued the key, which alone may run it.
    pub issuer: VmIdentity,
    /// The issuer's counter, from 1.
    pub number: u64,
}

/// Parses a key of the form `cf1.<vm>.<incarnation>.<n>`; returns `None` for any other key.
#[must_use]
pub fn parse_issued(key: &str) -> Option<IssuedKey> {
    let rest = key.strip_prefix(ISSUED_PREFIX)?;
    let mut parts = rest.rsplitn(3, '.');
    let number = parts.next()?.parse().ok()?;
    let incarnation = VmIncarnation(parts.next()?.parse().ok()?);
    let vm = parts.next().filter(|vm| !vm.is_empty())?.into();
    let parsed = IssuedKey { issuer: VmIdentity { vm, incarnation }, number };
    // `+7` and `07` also parse as 7. Only the canonical form is accepted, so that no two keys have
    // the same number.
    (parsed.to_key().as_str() == key).then_some(parsed)
}

impl IssuedKey {
    /// Formats the key.
    #[must_use]
    pub fn to_key(&self) -> IdempotencyKey {
        let VmIdentity { vm, incarnation } = &self.issuer;
        format!("{ISSUED_PREFIX}{vm}.{incarnation}.{}", self.number).into()
    }
}

/// Returns the time contained in a UUID of version 7, whose first 48 bits are milliseconds since
/// 1970; `None` for other keys.
fn key_time_ms(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let dashes = [8, 13, 18, 23].iter().all(|&at| bytes.get(at) == Some(&b'-'));
    if bytes.len() != 36 || !dashes || bytes[14] != b'7' || !key.is_ascii() {
        return None;
    }
    u64::from_str_radix(&format!("{}{}", &key[..8], &key[9..13]), 16).ok()
}

/// State of the idempotency keys of requests sent to one VM.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    settings: ClaimSettings,
    vm: VmIdentity,
    fold: ClaimFold,
    batcher: ClaimBatcher,
    buckets: Vec<Vec<KeyEntry>>,
    /// Hashes of the remembered keys, the oldest first.
    order: std::collections::VecDeque<u128>,
    /// Number of keys issued.
    issued: u64,
    /// Bitmap of the issued keys that were run or revoked.
    used: Vec<u64>,
    invariants: InvariantLog,
}

impl ClaimTable {
    /// Creates the table of a VM that has just started. A VM persists nothing, so it does not know
    /// which keys its earlier incarnations ran, and never runs keys that they issued.
    #[must_use]
    pub fn new(settings: ClaimSettings, vm: VmIdentity) -> Self {
        Self {
            fold: ClaimFold::new(settings.window_claims),
            batcher: ClaimBatcher::new(&settings, vm.clone()),
            buckets: vec![Vec::new(); CLAIM_BUCKETS],
            order: Default::default(),
            issued: 0,
            used: Vec::new(),
            invariants: InvariantLog::default(),
            settings,
            vm,
        }
    }

    /// The first claim of each key, as read from the log.
    #[must_use]
    pub fn fold(&self) -> &ClaimFold {
        &self.fold
    }

    /// Goes back to an offset; see [`ClaimFold::rewind`].
    pub fn rewind(&mut self, offset: u64) {
        self.fold.rewind(offset);
    }

    /// Skips a record of the claim stream that cannot be decoded.
    pub fn skip(&mut self, offset: u64) {
        self.fold.skip(offset);
    }

    /// The claims that are queued until they are read back.
    pub fn batcher(&mut self) -> &mut ClaimBatcher {
        &mut self.batcher
    }

    /// Results of the invariant checks.
    #[must_use]
    pub fn invariants(&self) -> &InvariantLog {
        &self.invariants
    }

    /// Issues a key that only this incarnation of this VM runs. Once [`ClaimSettings::max_issued`]
    /// keys have been issued, the last one is returned again; it runs once like any other.
    pub fn issue(&mut self) -> IdempotencyKey {
        self.issued = (self.issued + 1).min(self.settings.max_issued);
        IssuedKey { issuer: self.vm.clone(), number: self.issued }.to_key()
    }

    /// Decides what to do with a request that has a key.
    pub fn begin(&mut self, now: TimePoint, request: &ClaimRequest<'_>) -> ClaimStart {
        match parse_issued(request.key) {
            Some(issued) => self.begin_issued(&issued, request),
            None => self.begin_claim(now, request),
        }
    }

    fn begin_issued(&mut self, issued: &IssuedKey, request: &ClaimRequest<'_>) -> ClaimStart {
        if issued.issuer.vm != self.vm.vm {
            return ClaimStart::RequestRevocation(issued.issuer.clone());
        }
        // After a restart nothing is known of what the earlier incarnation ran.
        if issued.issuer.incarnation != self.vm.incarnation {
            return ClaimStart::Answer(ClaimAnswer::unknown(RefusalReason::KeyExpired));
        }
        if issued.number == 0 || issued.number > self.issued {
            return ClaimStart::Answer(ClaimAnswer::not_run(RefusalReason::KeyExpired));
        }
        if let Some(entry) = self.entry(request.tenant, request.key) {
            return known_answer(entry, request);
        }
        if self.is_used(issued.number) {
            return ClaimStart::Answer(ClaimAnswer::unknown(RefusalReason::KeyExpired));
        }
        self.set_used(issued.number);
        self.remember(request, KeyState::Running);
        ClaimStart::Run
    }

    fn begin_claim(&mut self, now: TimePoint, request: &ClaimRequest<'_>) -> ClaimStart {
        let given_up = match self.entry(request.tenant, request.key) {
            Some(entry) if entry.state == KeyState::GivenUp => true,
            Some(entry) => return known_answer(entry, request),
            None => false,
        };
        if let Some(claim) = self.fold.claim(request.tenant, request.key) {
            return claimed_answer(claim, &self.vm, request.fingerprint);
        }
        let window_start = request.wall_ms.saturating_sub(self.settings.window_ms);
        let oldest = window_start + self.settings.clock_ms;
        if window_start > 0 && key_time_ms(request.key).is_some_and(|time| time < oldest) {
            return ClaimStart::Answer(ClaimAnswer::unknown(RefusalReason::KeyExpired));
        }
        if !request.log_up {
            return ClaimStart::Answer(ClaimAnswer::without_log(request.first_try));
        }
        let entry = ClaimEntry {
            tenant: request.tenant.into(),
            key: request.key.into(),
            fingerprint: request.fingerprint,
            at_ms: request.wall_ms,
        };
        if !self.batcher.push(now, entry) {
            let reason = RefusalReason::Overloaded;
            let outcome = ClaimAnswer::without_log(request.first_try).outcome;
            return ClaimStart::Answer(ClaimAnswer { outcome, reason });
        }
        if given_up {
            self.forget(request.tenant, request.key);
        }
        self.remember(request, KeyState::Claiming { first_try: request.first_try });
        ClaimStart::Claiming
    }

    /// Folds a record of the claim stream and returns the decisions on the requests that waited for
    /// it. A claim of a key that no request waits for has no outcome.
    pub fn read_back(&mut self, offset: u64, record: ClaimRecord) -> Vec<ClaimOutcome> {
        let resolutions = self.fold.fold(offset, record);
        let mut outcomes = Vec::new();
        for resolution in resolutions {
            if resolution.claimer == self.vm {
                self.batcher.confirm(&resolution.entry);
            }
            outcomes.extend(self.decide(resolution));
        }
        outcomes
    }

    fn decide(&mut self, resolution: ClaimResolution) -> Option<ClaimOutcome> {
        let (tenant, key) = (resolution.entry.tenant, resolution.entry.key);
        let claim = self.fold.claim(tenant.as_str(), key.as_str()).cloned()?;
        let won = claim.claimer == self.vm;
        let entry = self.entry_mut(tenant.as_str(), key.as_str())?;
        let fingerprint = entry.fingerprint;
        let start = match (entry.state, won) {
            (KeyState::Claiming { .. }, true) => {
                entry.state = KeyState::Running;
                Some(ClaimStart::Run)
            }
            (KeyState::GivenUp, true) => {
                entry.state = KeyState::Revoked;
                None
            }
            (KeyState::Claiming { .. }, false) => {
                Some(claimed_answer(&claim, &self.vm, fingerprint))
            }
            _ => None,
        };
        // Another claim came first, so this incarnation will never run the key. Once the key is
        // forgotten, a resend is answered from that first claim.
        if !won {
            self.batcher.drop_claim(tenant.as_str(), key.as_str());
            self.forget(tenant.as_str(), key.as_str());
        }
        let start = start?;
        self.invariants.check(InvariantName::AtMostOnce, won == (start == ClaimStart::Run), || {
            format!("key {key} of {tenant} started without holding the first claim")
        });
        Some(ClaimOutcome { tenant, key, start })
    }

    /// Ends the wait for a claim because the deadline passed, the caller disconnected or the log
    /// became unavailable. The request did not run and will not, even if the claim is read back
    /// later.
    pub fn give_up(&mut self, tenant: &str, key: &str, reason: RefusalReason) -> ClaimAnswer {
        self.batcher.drop_claim(tenant, key);
        let Some(entry) = self.entry_mut(tenant, key) else {
            return ClaimAnswer::unknown(reason);
        };
        let KeyState::Claiming { first_try } = entry.state else {
            return ClaimAnswer::unknown(reason);
        };
        entry.state = KeyState::GivenUp;
        let outcome = ClaimAnswer::without_log(first_try).outcome;
        ClaimAnswer { outcome, reason }
    }

    /// Records the end of a run. After "not run" the key is never run anywhere: a resend gets the
    /// same answer.
    pub fn end(&mut self, tenant: &str, key: &str, outcome: RequestOutcome) {
        let entry = self.entry_mut(tenant, key);
        let running = entry.as_ref().is_some_and(|entry| entry.state == KeyState::Running);
        let message = || format!("key {key} of {tenant} ended, but was not running");
        if let Some(entry) = entry {
            entry.state = KeyState::Ended(outcome);
        }
        self.invariants.check(InvariantName::AtMostOnce, running, message);
    }

    /// Handles another VM's request to revoke a key that only this VM may run.
    pub fn revoke(&mut self, call: &RevokeCall) -> RevokeReply {
        let (tenant, key) = (call.tenant.as_str(), call.key.as_str());
        if let Some(entry) = self.entry_mut(tenant, key) {
            return entry.revoke(call.fingerprint);
        }
        let Some(issued) = parse_issued(key) else {
            let claim = self.fold.claim(tenant, key);
            let own = claim.is_some_and(|claim| claim.claimer == self.vm);
            let reason = if own { RevokeUncertainty::NoAnswer } else { RevokeUncertainty::NotMine };
            return RevokeReply::Unknown(reason);
        };
        if issued.issuer.vm != self.vm.vm || issued.number == 0 {
            return RevokeReply::Unknown(RevokeUncertainty::NotMine);
        }
        if issued.issuer.incarnation != self.vm.incarnation {
            return RevokeReply::Unknown(RevokeUncertainty::EarlierIncarnation);
        }
        if issued.number > self.issued {
            return RevokeReply::Unknown(RevokeUncertainty::NotMine);
        }
        if self.is_used(issued.number) {
            return RevokeReply::Unknown(RevokeUncertainty::NoAnswer);
        }
        self.set_used(issued.number);
        let request = ClaimRequest {
            tenant,
            key,
            fingerprint: call.fingerprint,
            first_try: false,
            wall_ms: 0,
            log_up: false,
        };
        self.remember(&request, KeyState::Revoked);
        RevokeReply::Revoked
    }

    /// Returns the answer to the caller after a revocation request to the VM that alone may run the
    /// key. `reply` is `None` if that VM was unreachable.
    #[must_use]
    pub fn answer_after_revocation(reply: Option<RevokeReply>) -> ClaimAnswer {
        match reply {
            Some(RevokeReply::Revoked) => ClaimAnswer::not_run(RefusalReason::AlreadyClaimed),
            Some(RevokeReply::Unknown(RevokeUncertainty::OtherBody)) => {
                ClaimAnswer::unknown(RefusalReason::KeyReused)
            }
            Some(RevokeReply::Done) => {
                let reason = RefusalReason::AlreadyClaimed;
                ClaimAnswer { outcome: RequestOutcome::Done, reason }
            }
            _ => ClaimAnswer::unknown(RefusalReason::AlreadyClaimed),
        }
    }

    fn is_used(&self, number: u64) -> bool {
        let word = (number / WORD_BITS) as usize;
        self.used.get(word).is_some_and(|bits| bits & (1 << (number % WORD_BITS)) != 0)
    }

    fn set_used(&mut self, number: u64) {
        let word = (number / WORD_BITS) as usize;
        if word >= self.used.len() {
            self.used.resize(word + 1, 0);
        }
        self.used[word] |= 1 << (number % WORD_BITS);
    }

    fn entry(&self, tenant: &str, key: &str) -> Option<&KeyEntry> {
        let hash = key_hash(tenant, key);
        let bucket = &self.buckets[bucket_of(hash)];
        let found = bucket.binary_search_by_key(&hash, |entry| entry.hash);
        found.ok().map(|at| &bucket[at])
    }

    fn entry_mut(&mut self, tenant: &str, key: &str) -> Option<&mut KeyEntry> {
        let hash = key_hash(tenant, key);
        let bucket = &mut self.buckets[bucket_of(hash)];
        let found = bucket.binary_search_by_key(&hash, |entry| entry.hash);
        found.ok().map(|at| &mut bucket[at])
    }

    fn remember(&mut self, request: &ClaimRequest<'_>, state: KeyState) {
        let hash = key_hash(request.tenant, request.key);
        let bucket = &mut self.buckets[bucket_of(hash)];
        if let Err(at) = bucket.binary_search_by_key(&hash, |entry| entry.hash) {
            bucket.insert(at, KeyEntry { hash, fingerprint: request.fingerprint, state });
            self.order.push_back(hash);
        }
        self.drop_old_keys();
    }

    /// Forgets the oldest key if more than [`ClaimSettings::issued_kept`] are remembered; a key
    /// that is being claimed or run is kept and moved to the back.
    fn drop_old_keys(&mut self) {
        if self.order.len() <= self.settings.issued_kept {
            return;
        }
        let Some(hash) = self.order.pop_front() else { return };
        let bucket = &mut self.buckets[bucket_of(hash)];
        let Ok(at) = bucket.binary_search_by_key(&hash, |entry| entry.hash) else { return };
        match bucket[at].state {
            KeyState::Claiming { .. } | KeyState::Running => self.order.push_back(hash),
            _ => {
                bucket.remove(at);
            }
        }
    }

    fn forget(&mut self, tenant: &str, key: &str) {
        let hash = key_hash(tenant, key);
        let bucket = &mut self.buckets[bucket_of(hash)];
        if let Ok(at) = bucket.binary_search_by_key(&hash, |entry| entry.hash) {
            bucket.remove(at);
        }
        self.order.retain(|kept| *kept != hash);
    }
}

/// Decision on a request whose claim was read back.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimOutcome {
    /// The customer.
    pub tenant: CustomerName,
    /// The idempotency key.
    pub key: IdempotencyKey,
    /// What to do with the request; never [`ClaimStart::Claiming`].
    pub start: ClaimStart,
}

impl KeyEntry {
    fn revoke(&mut self, fingerprint: RequestFingerprint) -> RevokeReply {
        if self.fingerprint != fingerprint {
            return RevokeReply::Unknown(RevokeUncertainty::OtherBody);
        }
        match self.state {
            KeyState::Claiming { .. } | KeyState::Running => RevokeReply::Running,
            KeyState::GivenUp => RevokeReply::Unknown(RevokeUncertainty::NotMine),
            KeyState::Revoked | KeyState::Ended(RequestOutcome::NotRun) => RevokeReply::Revoked,
            KeyState::Ended(RequestOutcome::Done | RequestOutcome::Failed) => RevokeReply::Done,
            KeyState::Ended(RequestOutcome::Unknown) => {
                RevokeReply::Unknown(RevokeUncertainty::NoAnswer)
            }
        }
    }
}

/// Returns the answer to a resend of a key that this VM remembers.
fn known_answer(entry: &KeyEntry, request: &ClaimRequest<'_>) -> ClaimStart {
    if entry.fingerprint != request.fingerprint {
        return ClaimStart::Answer(ClaimAnswer::unknown(RefusalReason::KeyReused));
    }
    let reason = RefusalReason::AlreadyClaimed;
    let outcome = match entry.state {
        KeyState::Claiming { .. } | KeyState::Running | KeyState::GivenUp => {
            RequestOutcome::Unknown
        }
        KeyState::Revoked => RequestOutcome::NotRun,
        KeyState::Ended(outcome) => outcome,
    };
    ClaimStart::Answer(ClaimAnswer { outcome, reason })
}

/// Returns the answer for a key that is already claimed in the log.
fn claimed_answer(
    claim: &KeptClaim,
    vm: &VmIdentity,
    fingerprint: RequestFingerprint,
) -> ClaimStart {
    if claim.fingerprint != fingerprint {
        return ClaimStart::Answer(ClaimAnswer::unknown(RefusalReason::KeyReused));
    }
    // Claimed by this VM and since forgotten, or by an earlier incarnation of it: it may have run.
    if claim.claimer.vm == vm.vm {
        return ClaimStart::Answer(ClaimAnswer::unknown(RefusalReason::AlreadyClaimed));
    }
    ClaimStart::RequestRevocation(claim.claimer.clone())
}

#[derive(Clone, Debug)]
struct OpenClaim {
    entry: ClaimEntry,
    /// When it was queued.
    since: TimePoint,
    /// When it was last sent in an append.
    sent: Option<TimePoint>,
}

/// Batches the claims of many requests into one append.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    vm: VmIdentity,
    batch: usize,
    /// [`ClaimSettings::flush_ms`] in microseconds.
    flush: u64,
    /// [`ClaimSettings::repeat_ms`] in microseconds.
    repeat: u64,
    queue: usize,
    open: Vec<OpenClaim>,
}

impl ClaimBatcher {
    fn new(settings: &ClaimSettings, vm: VmIdentity) -> Self {
        Self {
            vm,
            batch: settings.batch,
            flush: settings.flush_ms * MICROS_PER_MILLI,
            repeat: settings.repeat_ms * MICROS_PER_MILLI,
            queue: settings.queue,
            open: Vec::new(),
        }
    }

    /// Queues a claim; returns false if the queue is full.
    fn push(&mut self, now: TimePoint, entry: ClaimEntry) -> bool {
        if self.open.len() >= self.queue {
            return false;
        }
        self.open.push(OpenClaim { entry, since: now, sent: None });
        true
    }

    /// Returns the record to append now: when a full batch waits, or the oldest claim has waited
    /// for the flush time.
    ///
    /// A claim stays queued until it is read back. An append whose answer was lost may have taken
    /// effect; its claims are appended again after the repeat time. A second claim by the same VM
    /// has no effect.
    pub fn take_due(&mut self, now: TimePoint) -> Option<ClaimRecord> {
        let waits = self.open.iter().filter(|claim| claim.due(now, self.repeat));
        let count = waits.clone().count();
        let oldest = waits.map(|claim| claim.sent.unwrap_or(claim.since)).min()?;
        if count < self.batch && now.since(oldest) < self.flush {
            return None;
        }
        let mut claims = Vec::new();
        for claim in &mut self.open {
            if claims.len() < self.batch && claim.due(now, self.repeat) {
                claim.sent = Some(now);
                claims.push(claim.entry.clone());
            }
        }
        Some(ClaimRecord { claimer: self.vm.clone(), claims })
    }

    /// When [`Self::take_due`] is to be called next if no full batch waits before; `None` while no
    /// claim is queued.
    #[must_use]
    pub fn next_due(&self) -> Option<TimePoint> {
        let due = self.open.iter().map(|claim| match claim.sent {
            None => claim.since.plus(self.flush),
            Some(sent) => sent.plus(self.repeat),
        });
        due.min()
    }

    fn confirm(&mut self, entry: &ClaimEntry) {
        self.drop_claim(entry.tenant.as_str(), entry.key.as_str());
    }

    fn drop_claim(&mut self, tenant: &str, key: &str) {
        self.open.retain(|claim| {
            claim.entry.tenant.as_str() != tenant || claim.entry.key.as_str() != key
        });
    }
}

impl OpenClaim {
    fn due(&self, now: TimePoint, repeat: u64) -> bool {
        self.sent.is_none_or(|sent| now.since(sent) >= repeat)
    }
}
