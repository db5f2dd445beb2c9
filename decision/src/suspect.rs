//! Quarantine of requests that ran on engines which crashed, and of parts that their prompts share.
//!
//! All requests that ran on an engine when it crashed become suspects. A suspect runs only where no
//! other suspect runs, so a second crash has a single suspect, which is condemned. The others
//! complete and are cleared. See docs/PLACEMENT.md, "Poison requests", and docs/PLATFORM.md, "Requests that crash
//! servers".

use std::fmt::{self, Display};

use serde::{Deserialize, Serialize};

use crate::id::{PartFingerprint, RequestFingerprint};
use crate::record::SuspectEntry;

/// What a crash of a server may be attributed to. Parts sort before requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CrashSubject {
    /// A shared part of a prompt: each request that has it may crash its server.
    Part(PartFingerprint),
    /// A request, which its caller may send again.
    Request(RequestFingerprint),
}

impl CrashSubject {
    /// Returns the verdict on a subject that this many crashes were attributed to since it last completed, `alone` of
    /// them to nothing else.
    #[must_use]
    pub fn verdict(self, crashes: u32, alone: u32) -> SuspectVerdict {
        let rule = match self {
            Self::Part(_) => &PART_RULE,
            Self::Request(_) => &REQUEST_RULE,
        };
        rule.verdict(crashes, alone)
    }

    /// Returns whether it is a shared part of prompts.
    #[must_use]
    pub fn is_part(self) -> bool {
        matches!(self, Self::Part(_))
    }

    /// Returns the fingerprint.
    #[must_use]
    pub fn fingerprint(self) -> u64 {
        match self {
            Self::Part(part) => part.0,
            Self::Request(request) => request.0,
        }
    }
}

impl Display for CrashSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "{:x}", part.0),
            Self::Request(request) => write!(f, "{:016x}", request.0),
        }
    }
}

impl From<RequestFingerprint> for CrashSubject {
    fn from(fingerprint: RequestFingerprint) -> Self {
        Self::Request(fingerprint)
    }
}

impl From<PartFingerprint> for CrashSubject {
    fn from(fingerprint: PartFingerprint) -> Self {
        Self::Part(fingerprint)
    }
}

/// How many crashes it takes to refuse a subject.
struct QuarantineRule {
    /// Minimum crashes if at least one was attributed to nothing else.
    alone: u32,
    /// Minimum crashes otherwise.
    together: u32,
}

const REQUEST_RULE: QuarantineRule =
    QuarantineRule { alone: CONDEMNED_CRASHES, together: CONDEMNED_TOGETHER };
/// A part takes one crash more: refusing it refuses many requests.
const PART_RULE: QuarantineRule =
    QuarantineRule { alone: CONDEMNED_CRASHES + 1, together: CONDEMNED_TOGETHER + 1 };

impl QuarantineRule {
    fn verdict(&self, crashes: u32, alone: u32) -> SuspectVerdict {
        if crashes >= self.together || (crashes >= self.alone && alone >= 1) {
            return SuspectVerdict::Condemned;
        }
        if crashes >= 1 { SuspectVerdict::Isolated } else { SuspectVerdict::Clear }
    }
}

/// Quarantine state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// Not a suspect.
    Clear,
    /// Suspect; it runs apart from other suspects.
    Isolated,
    /// Poison request; it is refused.
    Condemned,
}

/// Minimum crashes for a request to be condemned, at least one of them with it as the only suspect.
pub const CONDEMNED_CRASHES: u32 = 2;

/// Crashes after which a request is condemned although it never was the only suspect. Two such
/// requests that always run together would otherwise never be told apart.
pub const CONDEMNED_TOGETHER: u32 = 3;

/// Returns the verdict for a request that these crashes were attributed to, and that did not
/// complete meanwhile.
#[must_use]
pub fn verdict_of(entry: &SuspectEntry) -> SuspectVerdict {
    REQUEST_RULE.verdict(entry.crashes, entry.alone)
}

/// The owner's list of suspects: the state of the control stream, and crashes that it detected
/// itself and has not read back yet. The latter count immediately, so that a resend does not crash
/// a third server.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectTracker {
    recorded: Vec<SuspectEntry>,
    own: Vec<SuspectEntry>,
}

impl SuspectTracker {
    /// Replaces the list read from the control stream and drops own entries that it covers.
    pub(crate) fn set_recorded(&mut self, mut entries: Vec<SuspectEntry>) {
        entries.sort_unstable_by_key(|entry| entry.fingerprint);
        self.own.retain(|own| match find(&entries, own.fingerprint) {
            Some(read) => read.crashes < own.crashes || read.alone < own.alone,
            None => true,
        });
        self.recorded = entries;
    }

    /// Counts a crash of one engine against all `fingerprints` that ran on it.
    pub(crate) fn crash(&mut self, fingerprints: &[RequestFingerprint]) {
        let alone = u32::from(fingerprints.len() == 1);
        for &fingerprint in fingerprints {
            let mut entry = self.entry(fingerprint).unwrap_or(SuspectEntry {
                fingerprint,
                crashes: 0,
                alone: 0,
            });
            entry.crashes += 1;
            entry.alone += alone;
            match self.own.binary_search_by_key(&fingerprint, |own| own.fingerprint) {
                Ok(at) => self.own[at] = entry,
                Err(at) => self.own.insert(at, entry),
            }
        }
    }

    /// Removes `fingerprint`; returns whether it was a suspect.
    pub(crate) fn clear(&mut self, fingerprint: RequestFingerprint) -> bool {
        let before = self.own.len() + self.recorded.len();
        self.own.retain(|entry| entry.fingerprint != fingerprint);
        self.recorded.retain(|entry| entry.fingerprint != fingerprint);
        self.own.len() + self.recorded.len() < before
    }

    pub(crate) fn verdict(&self, fingerprint: RequestFingerprint) -> SuspectVerdict {
        self.entry(fingerprint).as_ref().map_or(SuspectVerdict::Clear, verdict_of)
    }

    fn entry(&self, fingerprint: RequestFingerprint) -> Option<SuspectEntry> {
        find(&self.own, fingerprint).or_else(|| find(&self.recorded, fingerprint)).cloned()
    }
}

fn find(entries: &[SuspectEntry], fingerprint: RequestFingerprint) -> Option<&SuspectEntry> {
    let found = entries.binary_search_by_key(&fingerprint, |entry| entry.fingerprint);
    found.ok().map(|at| &entries[at])
}
