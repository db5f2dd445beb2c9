//! Issues permits for requests to servers that state limits.
//!
//! All VMs find the issuer of a server by the same hash, so that hardly any message names it. While
//! they disagree, two VMs may issue for a server: a new issuer starts with an overdrawn bucket, and
//! a group of VMs that others are cut off from issues only its part.

use std::time::Duration;

use crate::id::{ServerName, TimePoint, VmName, stable_hash};
use crate::permit::{PermitQuestion, PermitReply};
use crate::room::RoomQuestion;
use crate::room_issuer::{FIRST_HEARD_US, RoomIssue, RoomIssuer, RoomUse};
use crate::server_limit::{ServerBucket, capacity, kept_rate};
use crate::subject::ServerStart;
use crate::usage::MICROS_PER_SECOND;

/// Initial overdraft of an issuer's bucket, in seconds of its rate: VMs that have not seen it yet
/// may still get permits from another one.
const HANDOVER_S: f64 = 1.0;
/// Level, as a fraction of the capacity, that is kept for requests that no other server can take.
const SPARE_FRACTION: f64 = 0.5;
/// Maximum time for which VMs that were denied count as waiting, in seconds.
const MAX_QUEUE_S: f64 = 2.0;
/// Factor on the part of the known VMs that an issuer reaches. Groups that are cut off from each
/// other issue this much of the limit together, and a few VMs that are down cost little.
const REACHED_FACTOR: f64 = 1.1;
/// When to ask again a VM that issues no permits for a server.
const NOT_ISSUER_WAIT: Duration = Duration::from_millis(250);

/// Returns the position of a VM among issuers, see [`IssuerRanks`].
#[must_use]
pub fn vm_position(vm: &VmName) -> u64 {
    stable_hash(&["issuer", vm.as_str()])
}

/// The ranks of VMs as the issuer of a server; the lowest issues.
#[derive(Clone, Copy, Debug)]
pub struct IssuerRanks {
    server: u64,
}

impl IssuerRanks {
    /// Returns the ranks for a server.
    #[must_use]
    pub fn of(server: &ServerName) -> Self {
        Self { server: stable_hash(&["issued", server.as_str()]) }
    }

    /// Returns the rank of the VM at a position. VMs with little processor or link come last.
    #[must_use]
    pub fn rank(self, position: u64, eligible: bool) -> (bool, u64) {
        (!eligible, position.wrapping_sub(self.server))
    }
}

/// The limits for which this VM issues permits.
#[derive(Clone, Debug)]
pub struct PermitIssuer {
    /// Sorted by server.
    limits: Vec<IssuedLimit>,
    /// Part of the limits that this VM may issue.
    part: f64,
    /// Rooms of servers that bear few refusals.
    rooms: RoomIssuer,
}

#[derive(Clone, Debug)]
struct IssuedLimit {
    start: ServerStart,
    bucket: ServerBucket,
    /// Permits that VMs were denied and may ask for again.
    queue: f64,
    queue_at: TimePoint,
}

impl Default for PermitIssuer {
    fn default() -> Self {
        Self { limits: Vec::new(), part: 1.0, rooms: RoomIssuer::default() }
    }
}

impl PermitIssuer {
    /// Returns the issuer of a VM that starts at `now`.
    #[must_use]
    pub fn starting(now: TimePoint) -> Self {
        let mut issuer = Self::default();
        issuer.rooms.heard_at = now.plus(FIRST_HEARD_US);
        issuer
    }

    /// Sets whether this VM knows no other one but may have some, each of which issues as well.
    pub fn set_alone(&mut self, is_alone: bool) {
        self.rooms.is_alone = is_alone;
    }

    /// Records that this VM has heard all others that it may have.
    pub fn has_heard_all(&mut self, now: TimePoint) {
        self.rooms.heard_at = self.rooms.heard_at.min(now);
    }

    /// Sets the limit of a server for which this VM is the issuer.
    pub fn set_limit(&mut self, now: TimePoint, start: &ServerStart, per_s: f64) {
        let (rate, capacity) = (kept_rate(per_s) * self.part, capacity(per_s) * self.part);
        match self.limits.binary_search_by(|limit| limit.start.cmp(start)) {
            Ok(at) => self.limits[at].bucket.set(now, rate, capacity),
            Err(at) => {
                let overdraft = HANDOVER_S * kept_rate(per_s);
                let bucket = ServerBucket::new(now, rate, capacity, -overdraft);
                let limit = IssuedLimit { start: start.clone(), bucket, queue: 0.0, queue_at: now };
                self.limits.insert(at, limit);
            }
        }
    }

    /// Drops the servers for which `keeps` returns false.
    pub fn retain(&mut self, keeps: impl Fn(&ServerStart) -> bool) {
        self.limits.retain(|limit| keeps(&limit.start));
    }

    /// Sets the number of VMs that this one reaches and of those that are known, both including
    /// this one. It applies to limits as they are set next.
    pub fn set_reachable(&mut self, reachable: usize, known: usize) {
        let part = reachable as f64 / known.max(reachable).max(1) as f64;
        self.part = (REACHED_FACTOR * part).min(1.0);
    }

    /// Sets the same for the rooms of servers. Refusals show where several VMs issue, so that VMs
    /// which may exist but were never heard do not count.
    pub fn set_reachable_rooms(&mut self, reachable: usize, known: usize) {
        let part = reachable as f64 / known.max(reachable).max(1) as f64;
        self.rooms.part = (REACHED_FACTOR * part).min(1.0);
    }

    /// Answers a VM's question.
    pub fn issue(&mut self, now: TimePoint, question: &PermitQuestion) -> PermitReply {
        let found = self.limits.binary_search_by(|limit| limit.start.cmp(&question.start));
        let Ok(at) = found else { return PermitReply::denied(question, NOT_ISSUER_WAIT) };
        let IssuedLimit { bucket, queue, queue_at, .. } = &mut self.limits[at];
        bucket.advance(now);
        let served = bucket.rate * now.since(*queue_at) as f64 / MICROS_PER_SECOND;
        *queue = (*queue - served).max(0.0);
        *queue_at = now;
        let spare = SPARE_FRACTION * bucket.capacity;
        let kept = if question.needed { 0.0 } else { spare };
        let mut permits = 0;
        while permits < question.count && bucket.level - kept >= 1.0 && bucket.take(now) {
            permits += 1;
        }
        if permits > 0 {
            return PermitReply::issued(question, permits, bucket.level >= spare);
        }
        let wait = bucket.wait(now, *queue + kept);
        if question.needed {
            *queue = (*queue + f64::from(question.count)).min(MAX_QUEUE_S * bucket.rate);
        }
        PermitReply::denied(question, wait)
    }

    /// Answers a VM's question about a server that bears few refusals. Returns the answers for all
    /// VMs that get one.
    pub fn issue_places(
        &mut self,
        now: TimePoint,
        question: &PermitQuestion,
        asked: &RoomQuestion,
    ) -> Vec<RoomIssue> {
        let bucket = bucket_of(&mut self.limits, &question.start.server);
        self.rooms.issue(question, asked, bucket, now)
    }

    /// Returns the permits for places that became free without a question.
    pub fn issue_waiting(&mut self, now: TimePoint) -> Vec<RoomIssue> {
        let mut issues = Vec::new();
        for server in self.rooms.servers() {
            let bucket = bucket_of(&mut self.limits, &server);
            issues.extend(self.rooms.issue_waiting(&server, bucket, now));
        }
        issues
    }

    /// Returns the use of each room since the last call, for the log.
    pub fn take_room_uses(&mut self, now: TimePoint) -> Vec<(ServerName, RoomUse)> {
        self.rooms.take_uses(now)
    }
}

/// Returns the bucket of a server's limit, if it states one.
fn bucket_of<'a>(
    limits: &'a mut [IssuedLimit],
    server: &ServerName,
) -> Option<&'a mut ServerBucket> {
    let limit = limits.iter_mut().find(|limit| limit.start.server == *server)?;
    Some(&mut limit.bucket)
}
