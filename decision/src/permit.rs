//! Permits for requests to servers that state limits.
//!
//! For each server one VM, the issuer, keeps the bucket of the limit ([`crate::issuer`]), and a VM
//! sends the server a request only on a permit of the issuer. What the server gets then depends
//! neither on the number of VMs nor on what they know of each other's requests, and demand may move
//! or jump unnoticed. docs/LIMITS.md, "Limits of servers", has the bound and the alternatives.

use std::time::Duration;

use crate::id::{MICROS_PER_MILLI, TimePoint};
use crate::room::{RoomQuestion, RoomReply};
use crate::server_limit::{kept_rate, wait_of};
use crate::subject::ServerStart;
use crate::value;

/// Time in microseconds after which a question counts as lost.
pub const REPLY_TIMEOUT_US: u64 = 50_000;
/// How long a permit may be used, in microseconds.
const PERMIT_TTL_US: u64 = 300_000;
/// Longest time after a denial until an issuer is asked again, in microseconds: limits change, and so
/// do issuers.
const MAX_DENIED_US: u64 = 500_000;
/// Maximum number of permits in one question.
const MAX_ASKED: u32 = 4;

value! {
    /// Question of a VM for permits.
    pub struct PermitQuestion {
        /// The server.
        pub start: ServerStart,
        /// Number of the question among those of the VM.
        pub number: u64,
        /// How many permits it has requests for.
        pub count: u32,
        /// Whether no other server can take these requests at once.
        pub needed: bool,
        /// Its places, if the server bears few refusals.
        #[serde(skip)]
        pub room: Option<RoomQuestion>,
    }

    /// Answer of the issuer.
    #[derive(Eq)]
    pub struct PermitReply {
        /// The server.
        pub start: ServerStart,
        /// Number of the question.
        pub number: u64,
        /// Permits that are issued.
        pub permits: u32,
        /// Whether there is room for requests that other servers can take as well.
        pub ample: bool,
        /// Milliseconds until there is a permit for the VM, if it got none.
        pub wait_ms: u32,
        /// What goes with them, if the server bears few refusals.
        #[serde(skip)]
        pub room: Option<RoomReply>,
    }
}

impl PermitReply {
    /// Returns an answer without permits.
    #[must_use]
    pub fn denied(question: &PermitQuestion, wait: Duration) -> Self {
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX).max(1);
        let start = question.start.clone();
        Self { start, number: question.number, permits: 0, ample: false, wait_ms, room: None }
    }

    /// Returns the answer that no permits are needed for places at the server.
    #[must_use]
    pub fn sound(question: &PermitQuestion) -> Self {
        let room = Some(RoomReply { issue: 0, kept: 0, is_sound: true });
        Self { room, ..Self::issued(question, 0, true) }
    }

    /// Returns an answer with permits.
    #[must_use]
    pub fn issued(question: &PermitQuestion, permits: u32, ample: bool) -> Self {
        let start = question.start.clone();
        Self { start, number: question.number, permits, ample, wait_ms: 0, room: None }
    }
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitState {
    /// The server states no limit.
    Unlimited,
    /// There is a permit.
    Held {
        /// Whether it may be used for requests that other servers can take as well.
        ample: bool,
    },
    /// The issuer has to be asked, or has not answered yet.
    Pending,
    /// The issuer has none before this time.
    Denied {
        /// When to ask again.
        until: TimePoint,
    },
}

/// Permits of this VM.
#[derive(Clone, Debug, Default)]
pub struct PermitHolder {
    /// Sorted by server.
    servers: Vec<HeldPermits>,
    last_number: u64,
}

#[derive(Clone, Debug)]
struct HeldPermits {
    start: ServerStart,
    per_s: f64,
    /// When the permits end, the first one first.
    ends: Vec<TimePoint>,
    ample: bool,
    /// The open question.
    asked: Option<AskedQuestion>,
    /// Requests since the last question, and whether one of them has no other server.
    wanted: u32,
    needed: bool,
    denied_until: TimePoint,
    /// When there should be a permit, if it was denied.
    opens_at: TimePoint,
    /// As `denied_until`, for requests that have another server.
    spare_denied_until: TimePoint,
}

#[derive(Clone, Copy, Debug)]
struct AskedQuestion {
    number: u64,
    needed: bool,
    at: TimePoint,
}

impl HeldPermits {
    fn new(start: &ServerStart, per_s: f64) -> Self {
        Self {
            start: start.clone(),
            per_s,
            ends: Vec::new(),
            ample: false,
            asked: None,
            wanted: 0,
            needed: false,
            denied_until: TimePoint(0),
            opens_at: TimePoint(0),
            spare_denied_until: TimePoint(0),
        }
    }

    fn state(&self, now: TimePoint) -> PermitState {
        if self.ends.iter().any(|end| *end > now) {
            PermitState::Held { ample: self.ample }
        } else if self.denied_until > now {
            PermitState::Denied { until: self.denied_until }
        } else {
            PermitState::Pending
        }
    }

    /// Returns whether a question as urgent as `needed` is open.
    fn is_asked(&self, needed: bool, now: TimePoint) -> bool {
        self.asked.is_some_and(|asked| {
            now.since(asked.at) < REPLY_TIMEOUT_US && (asked.needed || !needed)
        })
    }
}

impl PermitHolder {
    /// Sets the limit that an incarnation of a server states; `None` if it states none any more.
    pub fn set_limit(&mut self, start: &ServerStart, per_s: Option<f64>) {
        match (self.find(start), per_s) {
            (Ok(at), Some(per_s)) => self.servers[at].per_s = per_s,
            (Err(at), Some(per_s)) => self.servers.insert(at, HeldPermits::new(start, per_s)),
            (Ok(at), None) => drop(self.servers.remove(at)),
            (Err(_), None) => {}
        }
    }

    /// Drops the servers for which `keeps` returns false.
    pub fn retain(&mut self, keeps: impl Fn(&ServerStart) -> bool) {
        self.servers.retain(|held| keeps(&held.start));
    }

    fn find(&self, start: &ServerStart) -> Result<usize, usize> {
        self.servers.binary_search_by(|held| held.start.cmp(start))
    }

    /// Returns whether a request may be sent to a server now.
    #[must_use]
    pub fn state(&self, now: TimePoint, start: &ServerStart) -> PermitState {
        self.find(start).map_or(PermitState::Unlimited, |at| self.servers[at].state(now))
    }

    /// Returns the time after which a request that is refused now should come back.
    #[must_use]
    pub fn retry_after(&self, now: TimePoint, start: &ServerStart) -> Duration {
        let Ok(at) = self.find(start) else { return Duration::ZERO };
        match self.servers[at].state(now) {
            PermitState::Denied { .. } => {
                Duration::from_micros(self.servers[at].opens_at.since(now))
            }
            _ => wait_of(1.0 / kept_rate(self.servers[at].per_s)),
        }
    }

    /// Records that a request wants a permit. `needed` is false if another server can take it at
    /// once.
    pub fn want(&mut self, now: TimePoint, start: &ServerStart, needed: bool) {
        let Ok(at) = self.find(start) else { return };
        let held = &mut self.servers[at];
        let denied = if needed { held.denied_until } else { held.spare_denied_until };
        if denied > now || held.is_asked(needed, now) {
            return;
        }
        held.wanted = (held.wanted + 1).min(MAX_ASKED);
        held.needed |= needed;
    }

    /// Returns the questions to send now, at most one for each server.
    pub fn questions(&mut self, now: TimePoint) -> Vec<PermitQuestion> {
        let mut questions = Vec::new();
        for held in self.servers.iter_mut().filter(|held| held.wanted > 0) {
            self.last_number += 1;
            let (count, needed) = (held.wanted, held.needed);
            held.asked = Some(AskedQuestion { number: self.last_number, needed, at: now });
            (held.wanted, held.needed) = (0, false);
            let start = held.start.clone();
            let number = self.last_number;
            questions.push(PermitQuestion { start, number, count, needed, room: None });
        }
        questions
    }

    /// Applies an answer. Answers to other questions than the open one are dropped with their
    /// permits: a delayed one would be used long after it was counted. Returns whether it was
    /// applied.
    pub fn apply(&mut self, now: TimePoint, reply: &PermitReply) -> bool {
        let Ok(at) = self.find(&reply.start) else { return false };
        let held = &mut self.servers[at];
        let Some(asked) = held
            .asked
            .filter(|asked| asked.number == reply.number && now.since(asked.at) < REPLY_TIMEOUT_US)
        else {
            return false;
        };
        held.asked = None;
        let end = now.plus(PERMIT_TTL_US);
        held.ends.retain(|end| *end > now);
        held.ends.extend((0..reply.permits.min(MAX_ASKED)).map(|_| end));
        held.ample = reply.ample;
        if reply.permits == 0 {
            let wait_us = u64::from(reply.wait_ms) * MICROS_PER_MILLI;
            let until = now.plus(wait_us.min(MAX_DENIED_US));
            held.spare_denied_until = until;
            if asked.needed {
                held.denied_until = until;
                held.opens_at = now.plus(wait_us);
            }
        }
        true
    }

    /// Uses a permit for a request that is sent to a server now. Returns false without one.
    pub fn take(&mut self, now: TimePoint, start: &ServerStart) -> bool {
        let Ok(at) = self.find(start) else { return true };
        let ends = &mut self.servers[at].ends;
        ends.retain(|end| *end > now);
        if ends.is_empty() {
            return false;
        }
        ends.remove(0);
        true
    }

    /// Takes back the permit of a request that certainly did not reach the server.
    pub fn give_back(&mut self, now: TimePoint, start: &ServerStart) {
        if let Ok(at) = self.find(start) {
            self.servers[at].ends.push(now.plus(PERMIT_TTL_US));
        }
    }
}
