//! What servers stated to one VM, for VMs that do not report statements to each other.
//!
//! A VM keeps a share of a server's limit by itself, and a share of the refusals that a server bears,
//! or has none where there are more VMs than shares. docs/LIMITS.md, "Limits of servers", compares
//! this with permits.

use std::time::Duration;

use crate::id::{ServerName, TimePoint};
use crate::rest::ServerRest;
use crate::room::{MIN_PROOF_US, PlaceEnd};
use crate::room_window::{RoomShare, RoomWindow, TakenPlaces};
use crate::server_limit::{ServerBucket, SharePlace, kept_rate, wait_of};
use crate::statement::{ServerStatement, StatedValue, StatementChange};

/// How long a server gets no request after it stated that it leaves. One that has restarted under its
/// name meanwhile is then asked again, with one request at first.
const LEAVING_REST: Duration = Duration::from_secs(30);

/// Nothing bounds what a VM uses of its room but its refusals: how many places a server has is not known.
const WHOLE_SHARE: RoomShare =
    RoomShare { places: usize::MAX, part: 1.0, max_credit: usize::MAX, is_alone: false };
/// When to look again at a server that has no room.
const ROOM_WAIT: Duration = Duration::from_millis(300);

/// Statements of the servers of a VM, which are known by name only.
#[derive(Debug, Default)]
pub struct StatedServers {
    /// Sorted by server.
    servers: Vec<StatedServer>,
}

#[derive(Debug)]
struct StatedServer {
    server: ServerName,
    limit_per_s: Option<f64>,
    /// This VM's share of the limit; `None` without a share.
    share: Option<ServerBucket>,
    /// Whether it bears few refusals.
    bears_few: bool,
    /// This VM's room there, if it bears few refusals; `None` without a share of them.
    room: Option<RoomWindow>,
    /// Requests of this VM there.
    running: usize,
    /// When those that may still be refused have proven their places, the first one first.
    unproven: Vec<TimePoint>,
    rest: ServerRest,
    /// The rest that follows from its statement that it leaves.
    leaving: ServerRest,
}

impl StatedServers {
    /// Records what a response of a server to this VM, at `place` among all, states about the
    /// server. `served` is false for a refusal or failure, which may leave out what other answers state.
    /// Returns what changed.
    pub fn apply(
        &mut self,
        server: &ServerName,
        statement: &ServerStatement,
        served: bool,
        place: SharePlace,
        now: TimePoint,
    ) -> StatementChange {
        let stated = self.stated(server);
        let before = stated.limit_per_s;
        match statement.limit_per_s {
            StatedValue::Readable(per_s) => stated.limit_per_s = Some(per_s),
            StatedValue::Absent if served => stated.limit_per_s = None,
            StatedValue::Absent | StatedValue::Unreadable => {}
        }
        stated.set_share(place, now);
        match statement.refusals_per_s {
            StatedValue::Readable(per_s) => stated.set_room(place, per_s, now),
            StatedValue::Absent if served => (stated.bears_few, stated.room) = (false, None),
            StatedValue::Absent | StatedValue::Unreadable => {}
        }
        let per_s = stated.limit_per_s;
        let was_leaving = !stated.leaving.wait(now).is_zero();
        let leaves = statement.leaving == StatedValue::Readable(true);
        match statement.leaving {
            StatedValue::Readable(true) => stated.leaving.ask(LEAVING_REST, now),
            _ => stated.leaving.served(now),
        }
        match statement.rest {
            _ if served => stated.rest.served(now),
            StatedValue::Readable(rest) => stated.rest.ask(rest, now),
            StatedValue::Absent | StatedValue::Unreadable => {}
        }
        StatementChange {
            limit: before != per_s,
            leaving: leaves && !was_leaving,
            ..StatementChange::default()
        }
    }

    /// Returns how many requests per second a server takes from all VMs; `None` without a limit.
    #[must_use]
    pub fn limit_per_s(&self, server: &ServerName) -> Option<f64> {
        let at = self.servers.binary_search_by(|stated| stated.server.cmp(server)).ok()?;
        self.servers[at].limit_per_s
    }

    fn stated(&mut self, server: &ServerName) -> &mut StatedServer {
        let found = self.servers.binary_search_by(|stated| stated.server.cmp(server));
        let at = found.unwrap_or_else(|at| {
            let server = server.clone();
            let (rest, leaving) = (ServerRest::default(), ServerRest::default());
            let (limit_per_s, share) = (None, None);
            let (bears_few, room, running, unproven) = (false, None, 0, Vec::new());
            let stated = StatedServer {
                server,
                limit_per_s,
                share,
                bears_few,
                room,
                running,
                unproven,
                rest,
                leaving,
            };
            self.servers.insert(at, stated);
            at
        });
        &mut self.servers[at]
    }

    /// Returns whether a server stated that it leaves.
    pub fn is_leaving(&mut self, server: &ServerName, now: TimePoint) -> bool {
        !self.stated(server).leaving.wait(now).is_zero()
    }

    /// Returns the time until a server's rest, its limit and its room allow a request from this VM;
    /// zero if they do now.
    pub fn wait(&mut self, server: &ServerName, now: TimePoint) -> Duration {
        let stated = self.stated(server);
        let room = if stated.has_room(now) { Duration::ZERO } else { ROOM_WAIT };
        stated.rest.wait(now).max(stated.limit_wait(now)).max(room)
    }

    /// Records that a request at a server ended.
    pub fn ended(&mut self, server: &ServerName, end: PlaceEnd, now: TimePoint) {
        let stated = self.stated(server);
        let taken = stated.running;
        stated.running = taken.saturating_sub(1);
        let counted = TakenPlaces { taken, unproven: stated.unproven.len() };
        if end == PlaceEnd::Refused && !stated.unproven.is_empty() {
            stated.unproven.remove(0);
        }
        stated.unproven.truncate(stated.running);
        let Some(room) = &mut stated.room else { return };
        match end {
            PlaceEnd::Refused => room.refused(counted, now),
            PlaceEnd::Answered | PlaceEnd::NotRun | PlaceEnd::BrokenOff => {}
        }
    }

    /// Returns the servers that leave, rest or are at their limits.
    pub fn closed(&mut self, now: TimePoint) -> Vec<ServerName> {
        let names: Vec<ServerName> =
            self.servers.iter().map(|stated| stated.server.clone()).collect();
        let wants_none =
            |server: &ServerName| self.is_leaving(server, now) || !self.wait(server, now).is_zero();
        names.into_iter().filter(wants_none).collect()
    }

    /// Counts a request that is sent to a server until [`Self::ended`]. Returns false if it rests, is
    /// at its limit or has no room.
    pub fn take(&mut self, server: &ServerName, now: TimePoint) -> bool {
        let stated = self.stated(server);
        if !stated.rest.wait(now).is_zero() || !stated.has_room(now) {
            return false;
        }
        stated.rest.sent(now);
        stated.leaving.sent(now);
        let is_allowed = stated.limit_per_s.is_none()
            || stated.share.as_mut().is_some_and(|share| share.take(now));
        if is_allowed {
            stated.running += 1;
            stated.unproven.push(now.plus(MIN_PROOF_US));
        }
        is_allowed
    }
}

impl StatedServer {
    /// Sets this VM's share of the limit.
    fn set_share(&mut self, place: SharePlace, now: TimePoint) {
        let new = self.limit_per_s.and_then(|per_s| place.share(now, per_s));
        self.share = match (self.share.take(), new) {
            (Some(mut share), Some(new)) => {
                share.set(now, new.rate, new.capacity);
                Some(share)
            }
            (_, new) => new,
        };
    }

    /// Sets this VM's share of the refusals that it bears.
    fn set_room(&mut self, place: SharePlace, per_s: f64, now: TimePoint) {
        self.bears_few = true;
        let Some(part_per_s) = place.refusals(per_s) else {
            self.room = None;
            return;
        };
        let room = self.room.get_or_insert_with(|| RoomWindow::new(part_per_s, now));
        room.set_refusals(part_per_s);
    }

    fn has_room(&mut self, now: TimePoint) -> bool {
        self.unproven.retain(|proven_at| *proven_at > now);
        if !self.bears_few {
            return true;
        }
        let counted = TakenPlaces { taken: self.running, unproven: self.unproven.len() };
        self.room.as_mut().is_some_and(|room| {
            room.prove(counted);
            room.open(WHOLE_SHARE, counted, now) > 0
        })
    }

    /// Returns the time until its limit allows a request from this VM. Without a share it is the
    /// time between two requests to the server: a caller that comes back may meet another VM.
    fn limit_wait(&mut self, now: TimePoint) -> Duration {
        let Some(per_s) = self.limit_per_s else { return Duration::ZERO };
        match &mut self.share {
            Some(share) => share.wait(now, 0.0),
            None => wait_of(1.0 / kept_rate(per_s)),
        }
    }
}
