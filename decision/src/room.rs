//! Permits for places at servers that bear few refusals.
//!
//! A server that fails when it turns many requests away must get no more of them than it has places.
//! The issuer of its permits ([`crate::room_issuer`]) counts the places of all VMs, and a VM sends a
//! request only on a permit. docs/LIMITS.md, "Servers that bear few refusals", has the alternatives.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{MICROS_PER_MILLI, ServerName, TimePoint, VmName};
use crate::permit::{PermitQuestion, PermitReply, PermitState, REPLY_TIMEOUT_US};
use crate::subject::ServerStart;
use crate::value;

/// How long a permit waits for its request, in microseconds. The request waits already, and the permit
/// is given back at once if it does not any more.
pub const UNUSED_PERMIT_US: u64 = 50_000;
/// How long a place stays taken after its request was broken off, in microseconds: until the server
/// has seen that its connection was closed.
pub const BROKEN_OFF_US: u64 = 30_000;
/// Shortest and longest time after which a request that was not refused has a place, in microseconds.
pub(crate) const MIN_PROOF_US: u64 = 6_000;
const MAX_PROOF_US: u64 = 100_000;
/// Factor on the time in which refusals come: those that come later are few.
const PROOF_FACTOR: u64 = 2;
/// Part by which a time shrinks with each sample that is shorter.
const TIME_DECAY: u64 = 8;
/// How long after a refusal the issuer is told of it again, in microseconds: it would take the place for a
/// proven one if a datagram was lost, and risk the refusal a second time.
pub const REPEATED_US: [u64; 2] = [30_000, 90_000];
/// Interval at which the issuer is told of places that stay taken, in microseconds.
const REPORT_INTERVAL_US: u64 = 500_000;
/// Longest time after a denial until an issuer is asked again, in microseconds. Where much more comes
/// than servers can run, all that are denied ask one server after the other.
const MAX_DENIED_US: u64 = 80_000;
/// Number of issues that are remembered, so that one that comes twice is used once.
const MAX_APPLIED: usize = 8;
/// Number of questions in a row without an answer after which another VM is asked.
pub const MAX_UNANSWERED: u32 = 3;

value! {
    /// What a VM tells the issuer of a server's room. Counts since the start of its process.
    pub struct RoomQuestion {
        /// The VM that asks.
        pub vm: VmName,
        /// Its places: requests at the server, and permits that it has not used.
        pub held: u32,
        /// Its requests that wait for a place. Those for which it asks for the first time come last.
        pub waiting: u32,
        /// Milliseconds for which the last of them waits at most.
        pub patience_ms: u32,
        /// Requests that ended at the server without a refusal.
        pub ended: u32,
        /// Requests that the server refused.
        pub refused: u32,
        /// Requests that the server runs at once, by its entry.
        pub places: u32,
        /// Refusals per second that it bears.
        pub refusals_per_s: f64,
        /// The last issue of permits that `held` includes.
        pub applied: u64,
        /// Whether the VM that should be asked does not answer this one.
        pub stands_in: bool,
        /// What its places risk. Earlier releases do not send it.
        #[serde(skip)]
        pub risk: RoomRisk,
        /// Where the VM that asks is reached, if another VM passed the question on. Earlier releases do not
        /// send it.
        #[serde(skip)]
        pub via: Option<SocketAddr>,
    }

    /// What a VM's places at a server risk.
    #[derive(Copy, Eq, Default)]
    pub struct RoomRisk {
        /// Places whose requests may still be refused.
        pub unproven: u32,
        /// Whether `places` and `refusals_per_s` are assumed, as no server of the service has answered
        /// since the VM started and no other VM told what they state.
        pub is_assumed: bool,
    }

    /// What the issuer of a server's room answers beside the permits.
    #[derive(Copy, Eq)]
    pub struct RoomReply {
        /// Number of this issue of permits; 0 without any.
        pub issue: u64,
        /// How many of the VM's waiting requests are kept in the queue, the first ones.
        pub kept: u32,
        /// Whether the servers of its service are known to bear as many refusals as come, so that no
        /// permits are needed. Earlier releases do not send it.
        #[serde(skip)]
        pub is_sound: bool,
    }
}

/// A request of this VM that waits for a place.
#[derive(Clone, Copy, Debug)]
struct WaitingTicket {
    number: u64,
    until: TimePoint,
}

/// What this VM knows of a server's room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomFigures {
    /// Requests of this VM at the server.
    pub running: u32,
    /// Requests that it runs at once, by its entry.
    pub places: u32,
    /// Refusals per second that it bears.
    pub refusals_per_s: f64,
    /// Whether these are assumed, as nothing is known of the servers of its service yet.
    pub is_assumed: bool,
}

#[derive(Clone, Debug)]
struct HeldRoom {
    server: ServerName,
    /// Waiting requests, the first one first.
    tickets: Vec<WaitingTicket>,
    /// How many of them the issuer keeps in its queue.
    kept: usize,
    /// When permits that are not used end.
    permits: Vec<TimePoint>,
    /// When the requests that may still be refused have proven their places.
    unproven: Vec<TimePoint>,
    /// When places of requests that were broken off are free.
    broken_off: Vec<TimePoint>,
    /// When the issuer is to be told of refusals again.
    repeated: Vec<TimePoint>,
    ended: u32,
    refused: u32,
    /// The last issues of permits that were applied, the newest last: an issuer sends one again that seems lost.
    applied: Vec<u64>,
    /// Whether the issuer is to be told something now.
    due: bool,
    reported_at: TimePoint,
    /// When the first question was sent that waits for an answer.
    asked_at: Option<TimePoint>,
    unanswered: u32,
    denied_until: TimePoint,
    opens_at: TimePoint,
    /// Whether the server needs no permits any more.
    is_dropped: bool,
}

impl HeldRoom {
    fn new(server: &ServerName) -> Self {
        Self {
            server: server.clone(),
            tickets: Vec::new(),
            kept: 0,
            permits: Vec::new(),
            unproven: Vec::new(),
            broken_off: Vec::new(),
            repeated: Vec::new(),
            ended: 0,
            refused: 0,
            applied: Vec::new(),
            due: false,
            reported_at: TimePoint(0),
            asked_at: None,
            unanswered: 0,
            denied_until: TimePoint(0),
            opens_at: TimePoint(0),
            is_dropped: false,
        }
    }

    /// Returns the position of a ticket in the queue of this VM, or the end of it.
    fn position(&self, ticket: Option<u64>) -> usize {
        let found = self.tickets.iter().position(|waiting| Some(waiting.number) == ticket);
        found.unwrap_or(self.tickets.len())
    }

    fn state(&self, ticket: Option<u64>, now: TimePoint) -> PermitState {
        let position = self.position(ticket);
        let permits = self.permits.iter().filter(|end| **end > now).count();
        if permits > position {
            PermitState::Held { ample: true }
        } else if position >= self.kept && self.denied_until > now {
            PermitState::Denied { until: self.denied_until }
        } else {
            PermitState::Pending
        }
    }

    /// Drops what has ended by now: permits that were not used, the doubt about places whose requests
    /// were not refused, places of requests that were broken off, and the doubt whether the issuer was
    /// told of a refusal. The issuer is to be told.
    fn expire(&mut self, now: TimePoint) {
        let Self { permits, unproven, broken_off, repeated, .. } = self;
        for ends in [permits, unproven, broken_off, repeated] {
            let before = ends.len();
            ends.retain(|end| *end > now);
            self.due |= ends.len() < before;
        }
    }

    /// Drops permits for which no request waits. Returns whether there were any.
    fn drop_excess(&mut self) -> bool {
        let has_excess = self.permits.len() > self.tickets.len();
        self.permits.truncate(self.tickets.len());
        self.due |= has_excess;
        has_excess
    }

    fn is_idle(&self) -> bool {
        self.tickets.is_empty()
            && self.permits.is_empty()
            && self.broken_off.is_empty()
            && self.repeated.is_empty()
    }

    fn record_applied(&mut self, issue: u64) {
        if self.applied.len() >= MAX_APPLIED {
            self.applied.remove(0);
        }
        self.applied.push(issue);
    }

    /// Counts a question without an answer in time.
    fn count_unanswered(&mut self, now: TimePoint) {
        if self.asked_at.is_some_and(|at| now.since(at) >= REPLY_TIMEOUT_US) {
            self.asked_at = None;
            self.unanswered += 1;
            self.due |= !self.tickets.is_empty();
        }
    }
}

/// Places of this VM at servers that bear few refusals.
#[derive(Clone, Debug)]
pub struct RoomHolder {
    vm: VmName,
    /// Sorted by server.
    rooms: Vec<HeldRoom>,
    last_question: u64,
    last_ticket: u64,
    /// In which time refusals come, and answers of issuers: over slow links, and while this VM gets
    /// little processor time, a place is proven later.
    refusal_us: u64,
    reply_us: u64,
}

impl RoomHolder {
    /// Returns a holder for a VM without places. `incarnation` grows with each start of its process;
    /// questions are numbered from there, so that those of an earlier start are older.
    #[must_use]
    pub fn new(vm: &VmName, incarnation: u64) -> Self {
        let (rooms, last_question, last_ticket) = (Vec::new(), incarnation, 0);
        let (refusal_us, reply_us) = (0, 0);
        Self { vm: vm.clone(), rooms, last_question, last_ticket, refusal_us, reply_us }
    }

    fn find(&self, server: &ServerName) -> Result<usize, usize> {
        self.rooms.binary_search_by(|room| room.server.cmp(server))
    }

    fn room(&mut self, server: &ServerName) -> &mut HeldRoom {
        let at = self.find(server).unwrap_or_else(|at| {
            self.rooms.insert(at, HeldRoom::new(server));
            at
        });
        &mut self.rooms[at]
    }

    /// Returns whether a request may be sent to a server now. `ticket` is its number among those
    /// that wait, if it does.
    #[must_use]
    pub fn state(&self, server: &ServerName, ticket: Option<u64>, now: TimePoint) -> PermitState {
        self.find(server).map_or(PermitState::Pending, |at| self.rooms[at].state(ticket, now))
    }

    /// Returns the time until a request that is denied a place now would get one.
    #[must_use]
    pub fn time_until_open(&self, server: &ServerName, now: TimePoint) -> Duration {
        let opens = self.find(server).map_or(now, |at| self.rooms[at].opens_at);
        Duration::from_micros(opens.since(now))
    }

    /// Lets a request wait for a place until `until` at most. Returns its number.
    pub fn wait(&mut self, server: &ServerName, until: TimePoint) -> u64 {
        self.last_ticket += 1;
        let number = self.last_ticket;
        let room = self.room(server);
        room.tickets.push(WaitingTicket { number, until });
        room.kept = room.kept.max(room.tickets.len());
        room.due = true;
        number
    }

    /// Ends the wait of a request that went elsewhere or was given up. Returns whether a permit is
    /// given back.
    pub fn end_wait(&mut self, server: &ServerName, ticket: u64) -> bool {
        let Ok(at) = self.find(server) else { return false };
        let room = &mut self.rooms[at];
        let position = room.position(Some(ticket));
        if position < room.tickets.len() {
            room.tickets.remove(position);
            room.kept = room.kept.saturating_sub(usize::from(position < room.kept));
        }
        room.drop_excess()
    }

    /// Uses a permit for a request that is sent to a server now. Returns when it will have proven its
    /// place; `None` without a permit.
    pub fn take(
        &mut self,
        server: &ServerName,
        ticket: Option<u64>,
        now: TimePoint,
    ) -> Option<TimePoint> {
        let proven_at = now.plus(self.proof_us());
        let room = self.room(server);
        room.expire(now);
        if room.permits.len() <= room.position(ticket) {
            return None;
        }
        room.permits.remove(0);
        room.unproven.push(proven_at);
        if let Some(position) =
            room.tickets.iter().position(|waiting| Some(waiting.number) == ticket)
        {
            room.tickets.remove(position);
            room.kept = room.kept.saturating_sub(1);
        }
        Some(proven_at)
    }

    /// Records that a request at a server ended, which was sent at `sent_at` and would have proven its
    /// place at `proven_at`.
    pub fn ended(
        &mut self,
        server: &ServerName,
        end: PlaceEnd,
        (sent_at, proven_at): (TimePoint, TimePoint),
        now: TimePoint,
    ) {
        if end == PlaceEnd::Refused {
            follow(&mut self.refusal_us, now.since(sent_at));
        }
        let room = self.room(server);
        if let Some(position) = room.unproven.iter().position(|at| *at == proven_at) {
            room.unproven.remove(position);
        }
        match end {
            PlaceEnd::Answered => room.ended += 1,
            PlaceEnd::Refused => {
                room.refused += 1;
                room.repeated.extend(REPEATED_US.map(|after_us| now.plus(after_us)));
            }
            PlaceEnd::NotRun => {}
            PlaceEnd::BrokenOff => {
                room.ended += 1;
                room.broken_off.push(now.plus(BROKEN_OFF_US));
            }
        }
        room.due = true;
    }

    /// Returns how long a request must not have been refused to have proven its place.
    fn proof_us(&self) -> u64 {
        let needed = (PROOF_FACTOR * self.refusal_us).max(self.reply_us);
        needed.clamp(MIN_PROOF_US, MAX_PROOF_US)
    }

    /// Drops what has ended by now, and permits for which no request waits.
    pub fn expire(&mut self, now: TimePoint) {
        for room in &mut self.rooms {
            room.expire(now);
            room.drop_excess();
        }
    }

    /// Returns the questions to send now: about servers whose issuer has to be told something.
    /// `figures` returns what is known of a server's room, `None` if it needs no permits any more.
    pub fn questions(
        &mut self,
        now: TimePoint,
        figures: impl Fn(&ServerName) -> Option<(ServerStart, RoomFigures)>,
    ) -> Vec<PermitQuestion> {
        let mut questions = Vec::new();
        for room in &mut self.rooms {
            room.expire(now);
            room.count_unanswered(now);
            if !room.due && now.since(room.reported_at) < REPORT_INTERVAL_US {
                continue;
            }
            let Some((start, known)) = figures(&room.server) else {
                room.is_dropped = room.is_idle();
                continue;
            };
            let held = known.running + (room.permits.len() + room.broken_off.len()) as u32;
            if !room.due && held == 0 && room.tickets.is_empty() {
                continue;
            }
            (room.due, room.reported_at) = (false, now);
            self.last_question += 1;
            let waiting = room.tickets.len().saturating_sub(room.permits.len()) as u32;
            if waiting > 0 && room.asked_at.is_none() {
                room.asked_at = Some(now);
            }
            let until = room.tickets.last().map_or(now, |ticket| ticket.until);
            let question = RoomQuestion {
                vm: self.vm.clone(),
                held,
                waiting,
                patience_ms: (until.since(now) / MICROS_PER_MILLI) as u32,
                ended: room.ended,
                refused: room.refused,
                places: known.places,
                refusals_per_s: known.refusals_per_s,
                applied: room.applied.last().copied().unwrap_or_default(),
                stands_in: false,
                risk: RoomRisk {
                    unproven: (room.permits.len() + room.unproven.len()) as u32,
                    is_assumed: known.is_assumed,
                },
                via: None,
            };
            let (number, count) = (self.last_question, waiting);
            let room = Some(question);
            questions.push(PermitQuestion { start, number, count, needed: true, room });
        }
        self.rooms.retain(|room| !room.is_dropped);
        questions
    }

    /// Applies an answer. Returns whether permits came that are to be used.
    pub fn apply(&mut self, reply: &PermitReply, now: TimePoint) -> bool {
        let Ok(at) = self.find(&reply.start.server) else { return false };
        let room = &mut self.rooms[at];
        if let Some(asked_at) = room.asked_at {
            follow(&mut self.reply_us, now.since(asked_at));
        }
        (room.asked_at, room.unanswered) = (None, 0);
        // A release that knows no rooms answers for servers without limits only.
        let answer = reply.room.unwrap_or(RoomReply {
            issue: reply.number,
            kept: reply.permits,
            is_sound: false,
        });
        if reply.permits > 0 && room.applied.contains(&answer.issue) {
            return false;
        }
        if reply.permits > 0 {
            room.record_applied(answer.issue);
            let end = now.plus(UNUSED_PERMIT_US);
            let unused = room.tickets.len().saturating_sub(room.permits.len());
            let used = (reply.permits as usize).min(unused);
            room.due |= used < reply.permits as usize;
            room.permits.extend(std::iter::repeat_n(end, used));
        }
        room.kept = (answer.kept as usize + room.permits.len()).min(room.tickets.len());
        if reply.wait_ms > 0 {
            let wait_us = u64::from(reply.wait_ms) * MICROS_PER_MILLI;
            room.opens_at = now.plus(wait_us);
            room.denied_until = now.plus(wait_us.min(MAX_DENIED_US));
        }
        true
    }

    /// Returns the requests that wait for a place at a server and may go on: those with a permit, and those
    /// that are denied one.
    #[must_use]
    pub fn ready(&self, server: &ServerName, now: TimePoint) -> Vec<u64> {
        let Ok(at) = self.find(server) else { return Vec::new() };
        let room = &self.rooms[at];
        let numbers = room.tickets.iter().map(|ticket| ticket.number);
        let is_ready = |number: &u64| room.state(Some(*number), now) != PermitState::Pending;
        numbers.filter(is_ready).collect()
    }

    /// Returns the servers whose issuer left `count` questions in a row without an answer, and counts from
    /// the beginning for them.
    pub fn take_unanswered(&mut self, count: u32) -> Vec<ServerName> {
        let silent = self.rooms.iter_mut().filter(|room| room.unanswered >= count);
        let servers = silent.map(|room| {
            room.unanswered = 0;
            room.server.clone()
        });
        servers.collect()
    }
}

/// Follows the longest of the last times.
fn follow(time_us: &mut u64, sample_us: u64) {
    *time_us = sample_us.max(*time_us - *time_us / TIME_DECAY);
}

/// How a request at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceEnd {
    /// The server answered it, or is gone.
    Answered,
    /// The server refused it for want of room.
    Refused,
    /// It took no place: no server received it, or not the one that it was meant for, or the server
    /// does not hold its adapter.
    NotRun,
    /// This VM broke it off.
    BrokenOff,
}
