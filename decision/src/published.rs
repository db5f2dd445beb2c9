//! Which part of a domain's sums the aggregators of the other domains have published.
//!
//! An aggregator that has just taken over holds no earlier sums of this domain, but the bucket state
//! that it adopted from its predecessor includes them. The sums that it is sent carry what the
//! predecessor had published, so that it counts only what came later.

use crate::id::{DomainName, MICROS_PER_MILLI, TimePoint};
use crate::subject::LimitSubject;
use crate::usage::{SubjectTotal, UsageBase, UsageReport, UsageTotal};

/// Sums as they were sent at a time.
#[derive(Clone, Debug, Default)]
struct SentSums {
    at: TimePoint,
    uses: Vec<SubjectTotal>,
}

/// Period after the sums start, in microseconds, in which the states of the other domains cannot include
/// them.
const INITIAL_PERIOD_US: u64 = 1_000_000;

/// The sums that were last sent, and those that each other domain has published.
#[derive(Clone, Debug, Default)]
pub(crate) struct PublishedSums {
    since: TimePoint,
    sent: SentSums,
    /// Sorted by domain.
    domains: Vec<DomainSent>,
}

/// What a domain has published by the last message of its aggregator, and by the one before.
#[derive(Clone, Debug)]
struct DomainSent {
    domain: DomainName,
    publishing: SentSums,
    published: SentSums,
}

impl PublishedSums {
    /// Creates the account of sums that start from zero now.
    pub(crate) fn starting(now: TimePoint) -> Self {
        Self { since: now, ..Self::default() }
    }

    pub(crate) fn set_sent(&mut self, now: TimePoint, uses: &[SubjectTotal]) {
        self.sent = SentSums { at: now, uses: uses.to_vec() };
    }

    /// Records a message of a domain's aggregator. What it had been sent when its message before
    /// arrived is part of the states that it sends its domain by now.
    pub(crate) fn confirm(&mut self, domain: &DomainName) {
        let sent = self.sent.clone();
        match self.domains.binary_search_by(|known| known.domain.cmp(domain)) {
            Ok(at) => {
                let known = &mut self.domains[at];
                known.published = std::mem::replace(&mut known.publishing, sent);
            }
            Err(at) => {
                let published = self.first_published().clone();
                let domain = domain.clone();
                self.domains.insert(at, DomainSent { domain, publishing: sent, published });
            }
        }
    }

    /// Returns what a domain has published whose aggregators sent nothing so far: all, but for sums
    /// that have just started.
    fn first_published(&self) -> &SentSums {
        static NOTHING: SentSums = SentSums { at: TimePoint(0), uses: Vec::new() };
        let is_start = self.sent.at.since(self.since) < INITIAL_PERIOD_US;
        if is_start { &NOTHING } else { &self.sent }
    }

    /// Returns the totals of the subjects of `sums` that a domain has published.
    pub(crate) fn base(
        &self,
        now: TimePoint,
        domain: &DomainName,
        sums: &UsageReport,
    ) -> UsageBase {
        let found = self.domains.binary_search_by(|known| known.domain.cmp(domain));
        let published =
            found.map_or_else(|_| self.first_published(), |at| &self.domains[at].published);
        let totals = sums.uses.iter().map(|used| published.total(&used.subject)).collect();
        // Before the first message nothing was published; the sums are as old as their start.
        let age_ms = match published.at {
            TimePoint(0) => sums.age_ms,
            at => now.since(at) / MICROS_PER_MILLI,
        };
        UsageBase { age_ms, totals }
    }
}

impl SentSums {
    fn total(&self, subject: &LimitSubject) -> UsageTotal {
        let found = self.uses.iter().find(|used| used.subject == *subject);
        found.map(|used| used.total).unwrap_or_default()
    }
}
