//! Issues permits for places at servers that bear few refusals.
//!
//! The issuer of a server knows the places of all VMs, as each tells it of every change. It keeps
//! the requests that wait in a queue, and sends a permit when a place is free. A VM that takes over
//! learns the places from the next questions, and gives none away until then.

use crate::id::{MICROS_PER_MILLI, ServerName, TimePoint, VmName, stable_hash};
use crate::permit::{PermitQuestion, PermitReply, REPLY_TIMEOUT_US};
use crate::room::{RoomQuestion, RoomReply};
use crate::room_window::{RoomShare, RoomWindow, TakenPlaces};
use crate::server_limit::ServerBucket;
use crate::subject::ServerStart;

/// Time after which a VM that told nothing counts as gone, in microseconds.
const MEMBER_TTL_US: u64 = 1_100_000;
/// Time after which permits of which their VM told nothing count as lost, in microseconds.
const ISSUE_TTL_US: u64 = 400_000;
/// Time after which permits of which their VM told nothing are sent again if it asks, in microseconds.
const RESEND_US: u64 = REPLY_TIMEOUT_US / 2;
/// Time after which a request that its VM told nothing of was not refused, in microseconds: a VM tells of
/// each refusal at once, and a lost permit or a VM that is gone should not close the server for long.
const UNTOLD_RISK_US: u64 = 200_000;
/// How long after a question to it in place of another VM an issuer stands in for that one, in
/// microseconds. Both may issue meanwhile, so that it risks no more than one refusal.
const STANDS_IN_US: u64 = 2_000_000;
/// How long a new issuer only learns which places are taken, in microseconds.
const LEARNING_US: u64 = 150_000;
/// How long a VM that has just started, and may have others that it has not heard, issues nothing of
/// servers of which nothing is known, in microseconds: one of the others issues.
pub const FIRST_HEARD_US: u64 = 400_000;
/// Time after which a server about which nobody asks is forgotten, in microseconds.
const ROOM_TTL_US: u64 = 10_000_000;
/// Fraction of the time for which a request waits in which its place should be free. The rest is for
/// messages, and for requests that run longer than the mean.
const IN_TIME_FRACTION: f64 = 0.75;
/// Maximum number of refusals that one question may tell of.
const MAX_REFUSED: u32 = 64;
/// Number of questions by which one may be late.
const MAX_REORDERED: u64 = 1_000;
/// Wait in milliseconds that is told while the rate at which places become free is not known.
const UNKNOWN_WAIT_MS: u32 = 300;
/// Longest wait that is told, in milliseconds.
const MAX_WAIT_MS: f64 = 3_000.0;

/// Permits that were sent to a VM and that it has not told of yet.
#[derive(Clone, Copy, Debug)]
struct OpenIssue {
    number: u64,
    permits: u32,
    at: TimePoint,
}

#[derive(Clone, Debug)]
struct RoomMember {
    vm: VmName,
    /// Number of its last question.
    number: u64,
    told: RoomQuestion,
    /// Its requests in the queue, and until when the last of them waits.
    waiting: u32,
    until: TimePoint,
    /// Its turn in the queue; the lowest is first.
    turn: u64,
    issues: Vec<OpenIssue>,
    at: TimePoint,
}

impl RoomMember {
    /// Returns its places. One that was not refused for as long as a permit takes to be lost has been
    /// proven, also if its VM is gone.
    fn counted(&self, now: TimePoint) -> TakenPlaces {
        let is_recent = |at: TimePoint| now.since(at) < UNTOLD_RISK_US;
        let told = if is_recent(self.at) { self.told.risk.unproven.min(self.told.held) } else { 0 };
        let issued: u32 = self.issues.iter().map(|issue| issue.permits).sum();
        let recent = self.issues.iter().filter(|issue| is_recent(issue.at));
        let at_risk: u32 = recent.map(|issue| issue.permits).sum();
        TakenPlaces {
            taken: (self.told.held + issued) as usize,
            unproven: (told + at_risk) as usize,
        }
    }

    fn is_waiting(&self, now: TimePoint) -> bool {
        self.waiting > 0 && self.until > now
    }
}

/// Use of a server's room, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoomUse {
    /// Places that are proven.
    pub size: usize,
    /// Places that are taken.
    pub taken: usize,
    /// Those of them that may still be refused.
    pub unproven: usize,
    /// Refusals that may be risked now.
    pub credit: usize,
    /// Requests that wait.
    pub waiting: u32,
    /// Permits that were issued since the last use.
    pub issued: u32,
    /// Requests that were denied a place in the queue since then.
    pub denied: u32,
    /// Refusals that VMs told of since then.
    pub refused: u32,
}

#[derive(Clone, Debug)]
struct IssuedRoom {
    server: ServerName,
    incarnation: u64,
    places: usize,
    window: RoomWindow,
    /// Sorted by VM.
    members: Vec<RoomMember>,
    /// Whether what its servers bear is assumed.
    is_assumed: bool,
    /// Until when it stands in for another issuer.
    stands_in_until: TimePoint,
    /// When it has learnt which places are taken.
    learnt_at: TimePoint,
    asked_at: TimePoint,
    counted: RoomUse,
}

/// Permits to send to a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomIssue {
    /// The VM.
    pub vm: VmName,
    /// The answer to its last question.
    pub reply: PermitReply,
}

/// The rooms for which this VM issues permits.
#[derive(Clone, Debug)]
pub(crate) struct RoomIssuer {
    /// Sorted by server.
    rooms: Vec<IssuedRoom>,
    /// Part of a room, and of the refusals that are risked, that this VM may issue.
    pub(crate) part: f64,
    /// When this VM has heard the others since its start.
    pub(crate) heard_at: TimePoint,
    /// Whether it knows no other VM but may have some, each of which issues as well.
    pub(crate) is_alone: bool,
    /// Number of the last issue. It begins anywhere, so that numbers of two issuers differ.
    last_issue: u64,
    last_turn: u64,
}

impl Default for RoomIssuer {
    fn default() -> Self {
        Self {
            rooms: Vec::new(),
            part: 1.0,
            heard_at: TimePoint(0),
            is_alone: false,
            last_issue: 0,
            last_turn: 0,
        }
    }
}

impl RoomIssuer {
    /// Answers a VM's question. Returns the permits for it and for others, and its place in the
    /// queue. `bucket` is that of the server's limit, if it states one.
    pub(crate) fn issue(
        &mut self,
        question: &PermitQuestion,
        asked: &RoomQuestion,
        bucket: Option<&mut ServerBucket>,
        now: TimePoint,
    ) -> Vec<RoomIssue> {
        self.rooms.retain(|room| now.since(room.asked_at) < ROOM_TTL_US);
        if self.last_issue == 0 {
            self.last_issue = stable_hash(&[asked.vm.as_str(), &now.0.to_string()]);
        }
        let at = self.find_or_insert(question, asked, now);
        let room = &mut self.rooms[at];
        if !room.tell(question, asked, &mut self.last_turn, now) {
            return Vec::new();
        }
        let mut issues = self.issue_at(at, bucket, now);
        self.rooms[at].answer(question, asked, &mut issues, now);
        issues
    }

    fn find_or_insert(
        &mut self,
        question: &PermitQuestion,
        asked: &RoomQuestion,
        now: TimePoint,
    ) -> usize {
        let server = &question.start.server;
        let found = self.rooms.binary_search_by(|room| room.server.cmp(server));
        found.unwrap_or_else(|at| {
            // Of a server of which nothing is known there is nothing to learn.
            let learning_us = if asked.risk.is_assumed { 0 } else { LEARNING_US };
            let room = IssuedRoom {
                server: server.clone(),
                incarnation: question.start.incarnation,
                places: asked.places as usize,
                is_assumed: asked.risk.is_assumed,
                stands_in_until: TimePoint(0),
                window: RoomWindow::new(asked.refusals_per_s, now),
                members: Vec::new(),
                learnt_at: now.plus(learning_us),
                asked_at: now,
                counted: RoomUse::default(),
            };
            self.rooms.insert(at, room);
            at
        })
    }

    /// Returns the servers whose rooms it knows.
    pub(crate) fn servers(&self) -> Vec<ServerName> {
        self.rooms.iter().map(|room| room.server.clone()).collect()
    }

    /// Returns the permits of a server that can be issued now without a question: places become
    /// free when VMs are gone, and after too many refusals.
    pub(crate) fn issue_waiting(
        &mut self,
        server: &ServerName,
        bucket: Option<&mut ServerBucket>,
        now: TimePoint,
    ) -> Vec<RoomIssue> {
        let found = self.rooms.binary_search_by(|room| room.server.cmp(server));
        found.map_or_else(|_| Vec::new(), |at| self.issue_at(at, bucket, now))
    }

    fn issue_at(
        &mut self,
        at: usize,
        mut bucket: Option<&mut ServerBucket>,
        now: TimePoint,
    ) -> Vec<RoomIssue> {
        let room = &mut self.rooms[at];
        room.expire(now);
        let mut issues: Vec<RoomIssue> = Vec::new();
        if now < room.learnt_at || room.is_assumed && now < self.heard_at {
            return issues;
        }
        let places = ((room.places as f64 * self.part) as usize).max(1);
        let is_one_of_some = self.is_alone || room.stands_in_until > now;
        let max_credit = if is_one_of_some { 1 } else { usize::MAX };
        let share = RoomShare { places, part: self.part, max_credit, is_alone: self.is_alone };
        let open = room.window.open(share, room.counted(now), now);
        for _ in 0..open {
            let Some(member) = room.next_waiting(now) else { break };
            if bucket.as_mut().is_some_and(|bucket| !bucket.take(now)) {
                break;
            }
            self.last_turn += 1;
            let member = &mut room.members[member];
            (member.waiting, member.turn) = (member.waiting - 1, self.last_turn);
            let vm = member.vm.clone();
            room.counted.issued += 1;
            match issues.iter_mut().find(|issue| issue.vm == vm) {
                Some(issue) => issue.reply.permits += 1,
                None => issues.push(RoomIssue { reply: room.reply_to(&vm, 1), vm }),
            }
        }
        for issue in &mut issues {
            self.last_issue = self.last_issue.wrapping_add(1).max(1);
            room.record_issue(issue, self.last_issue, now);
        }
        debug_assert!(
            issues.is_empty() || room.counted(now).unproven <= room.window.credit(self.part, now),
            "no more requests may be refused at once than refusals are risked"
        );
        issues
    }

    /// Returns the use of each room since the last call, for the log.
    pub(crate) fn take_uses(&mut self, now: TimePoint) -> Vec<(ServerName, RoomUse)> {
        let uses = self.rooms.iter_mut().map(|room| {
            let counted = std::mem::take(&mut room.counted);
            let waiting = room.members.iter().filter(|member| member.is_waiting(now));
            let waiting = waiting.map(|member| member.waiting).sum();
            let TakenPlaces { taken, unproven } = room.counted(now);
            let (size, credit) = (room.window.size(), room.window.credit(self.part, now));
            let used = RoomUse { size, taken, unproven, credit, waiting, ..counted };
            (room.server.clone(), used)
        });
        uses.collect()
    }
}

impl IssuedRoom {
    fn counted(&self, now: TimePoint) -> TakenPlaces {
        let counted = self.members.iter().map(|member| member.counted(now));
        counted.fold(TakenPlaces::default(), |sum, counted| TakenPlaces {
            taken: sum.taken + counted.taken,
            unproven: sum.unproven + counted.unproven,
        })
    }

    fn find(&self, vm: &VmName) -> Result<usize, usize> {
        self.members.binary_search_by(|member| member.vm.cmp(vm))
    }

    /// Applies what a VM tells. Returns false for a question that a later one overtook.
    fn tell(
        &mut self,
        question: &PermitQuestion,
        asked: &RoomQuestion,
        last_turn: &mut u64,
        now: TimePoint,
    ) -> bool {
        self.asked_at = now;
        if asked.stands_in && asked.via.is_none() {
            self.stands_in_until = now.plus(STANDS_IN_US);
        }
        if self.is_assumed || !asked.risk.is_assumed {
            self.is_assumed = asked.risk.is_assumed;
            self.places = asked.places as usize;
            self.window.set_refusals(asked.refusals_per_s);
        }
        if question.start.incarnation > self.incarnation {
            self.incarnation = question.start.incarnation;
            self.window.restart();
        }
        let counted = self.counted(now);
        self.window.count_taken(counted.taken, now);
        let at = match self.find(&asked.vm) {
            Ok(at) if self.members[at].is_overtaken(question) => return false,
            Ok(at) => at,
            Err(at) => {
                self.members.insert(at, RoomMember::new(asked, now));
                at
            }
        };
        let member = &mut self.members[at];
        let before = std::mem::replace(&mut member.told, asked.clone());
        (member.number, member.at) = (question.number, now);
        if let Some(told) = member.issues.iter().position(|issue| issue.number == asked.applied) {
            member.issues.drain(..=told);
        }
        let issued: u32 = member.issues.iter().map(|issue| issue.permits).sum();
        member.until = now.plus(u64::from(asked.patience_ms) * MICROS_PER_MILLI);
        let waiting = asked.waiting.saturating_sub(issued);
        if member.waiting == 0 && waiting > 0 {
            *last_turn += 1;
            member.turn = *last_turn;
        }
        member.waiting = waiting;
        let refused = asked.refused.saturating_sub(before.refused);
        self.counted.refused += refused;
        for number in 0..refused.min(MAX_REFUSED) {
            let taken = counted.taken.saturating_sub(number as usize);
            self.window.refused(TakenPlaces { taken, ..counted }, now);
        }
        self.window.ended(asked.ended.saturating_sub(before.ended));
        self.window.prove(self.counted(now));
        true
    }

    /// Drops VMs that are gone, and permits that were lost.
    fn expire(&mut self, now: TimePoint) {
        self.members.retain(|member| now.since(member.at) < MEMBER_TTL_US);
        for member in &mut self.members {
            member.issues.retain(|issue| now.since(issue.at) < ISSUE_TTL_US);
        }
    }

    /// Returns the member whose turn it is, of those that wait.
    fn next_waiting(&self, now: TimePoint) -> Option<usize> {
        let waiting = self.members.iter().enumerate().filter(|(_, member)| member.is_waiting(now));
        waiting.min_by_key(|(_, member)| member.turn).map(|(at, _)| at)
    }

    fn reply_to(&self, vm: &VmName, permits: u32) -> PermitReply {
        let number = self.find(vm).map_or(0, |at| self.members[at].number);
        let start = ServerStart { server: self.server.clone(), incarnation: self.incarnation };
        let room = Some(RoomReply { issue: 0, kept: 0, is_sound: false });
        PermitReply { start, number, permits, ample: true, wait_ms: 0, room }
    }

    fn record_issue(&mut self, issue: &mut RoomIssue, number: u64, now: TimePoint) {
        let Ok(at) = self.find(&issue.vm) else { return };
        let member = &mut self.members[at];
        let permits = issue.reply.permits;
        member.issues.push(OpenIssue { number, permits, at: now });
        issue.reply.room = Some(RoomReply { issue: number, kept: member.waiting, is_sound: false });
    }

    /// Adds the answer to the VM that asked: how many of its requests stay in the queue. Those that
    /// would not get a place in time do not. Permits that seem lost are sent again: the VM would take an
    /// issuer that does not answer for one that is gone, and another VM would issue as well.
    fn answer(
        &mut self,
        question: &PermitQuestion,
        asked: &RoomQuestion,
        issues: &mut Vec<RoomIssue>,
        now: TimePoint,
    ) {
        let Ok(at) = self.find(&asked.vm) else { return };
        if question.count == 0 {
            return;
        }
        let issued = issues.iter().position(|issue| issue.vm == asked.vm);
        let lost = if issued.is_none() { self.members[at].take_lost(now) } else { None };
        if self.members[at].waiting == 0 && lost.is_none() {
            return;
        }
        let turn = self.members[at].turn;
        let ahead = self.members.iter().filter(|member| member.is_waiting(now));
        let ahead: u32 =
            ahead.filter(|member| member.turn < turn).map(|member| member.waiting).sum();
        let rate = self.window.freed_per_s(self.places);
        let patience_s = IN_TIME_FRACTION * f64::from(asked.patience_ms) / 1_000.0;
        let in_time = rate.map_or(self.places as f64, |rate| rate * patience_s);
        let room = (in_time as u32).saturating_sub(ahead);
        let kept = self.members[at].waiting.min(room);
        let denied = self.members[at].waiting - kept;
        self.members[at].waiting = kept;
        self.counted.denied += denied;
        let wait_ms = match (denied, rate) {
            (0, _) => 0,
            (_, None) => UNKNOWN_WAIT_MS,
            (_, Some(rate)) => {
                let wait_ms = f64::from(ahead + kept + 1) * 1_000.0 / rate;
                wait_ms.clamp(1.0, MAX_WAIT_MS) as u32
            }
        };
        if let Some(issued) = issued {
            let reply = &mut issues[issued].reply;
            reply.wait_ms = wait_ms;
            reply.room = reply.room.map(|room| RoomReply { kept, ..room });
            return;
        }
        let (issue, permits) = lost.map_or((0, 0), |lost| (lost.number, lost.permits));
        let mut reply = self.reply_to(&asked.vm, permits);
        reply.wait_ms = wait_ms;
        reply.room = Some(RoomReply { issue, kept, is_sound: false });
        issues.push(RoomIssue { vm: asked.vm.clone(), reply });
    }
}

impl RoomMember {
    fn new(asked: &RoomQuestion, now: TimePoint) -> Self {
        Self {
            vm: asked.vm.clone(),
            number: 0,
            told: asked.clone(),
            waiting: 0,
            until: now,
            turn: 0,
            issues: Vec::new(),
            at: now,
        }
    }

    /// Returns the last permits if they seem lost, and counts them as sent now. What was sent so long ago
    /// that it is not counted as a risk any more is not sent again.
    fn take_lost(&mut self, now: TimePoint) -> Option<OpenIssue> {
        let last = self.issues.last_mut()?;
        if !(RESEND_US..UNTOLD_RISK_US).contains(&now.since(last.at)) {
            return None;
        }
        last.at = now;
        Some(*last)
    }

    /// Returns whether a later question came before this one. A much lower number is of a process
    /// that has restarted with its clock set back.
    fn is_overtaken(&self, question: &PermitQuestion) -> bool {
        question.number <= self.number && self.number - question.number < MAX_REORDERED
    }
}
