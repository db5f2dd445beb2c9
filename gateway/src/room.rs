//! Requests that wait for places at servers that bear few refusals.

use std::sync::Arc;

use coltsfoothook_decision::id::{ServerName, TimePoint};
use tokio::sync::Notify;

use crate::permit;
use crate::state::{Gateway, SystemView};

/// A request's place in the queue of this VM. It leaves the queue when it is dropped, as when its
/// caller leaves.
pub(crate) struct RoomTicket {
    gateway: Arc<Gateway>,
    server: ServerName,
    number: u64,
    /// Notified when the request may go on.
    ready: Arc<Notify>,
}

/// The requests of this VM that wait for places, by number.
#[derive(Default)]
pub(crate) struct WaitingTickets(Vec<(u64, Arc<Notify>)>);

impl WaitingTickets {
    fn add(&mut self, number: u64) -> Arc<Notify> {
        let ready = Arc::new(Notify::new());
        self.0.push((number, Arc::clone(&ready)));
        ready
    }

    fn remove(&mut self, number: u64) {
        if let Ok(at) = self.0.binary_search_by_key(&number, |(number, _)| *number) {
            self.0.remove(at);
        }
    }

    fn wake(&self, number: u64) {
        if let Ok(at) = self.0.binary_search_by_key(&number, |(number, _)| *number) {
            self.0[at].1.notify_one();
        }
    }
}

impl SystemView {
    /// Wakes the requests that wait for a place at a server and may go on. Woken all together, a hundred
    /// that wait would each choose a server again with each answer of an issuer.
    pub(crate) fn wake_tickets(&self, server: &ServerName, now: TimePoint) {
        for number in self.rooms.ready(server, now) {
            self.tickets.wake(number);
        }
    }
}

impl RoomTicket {
    /// Lets a request wait for a place at a server until `until` at most.
    pub(crate) fn new(gateway: &Arc<Gateway>, server: &ServerName, until: TimePoint) -> Self {
        let mut view = gateway.view();
        let number = view.rooms.wait(server, until);
        let ready = view.tickets.add(number);
        drop(view);
        Self { gateway: Arc::clone(gateway), server: server.clone(), number, ready }
    }

    /// Waits until the request may go on.
    pub(crate) async fn ready(&self) {
        self.ready.notified().await;
    }

    /// Returns the server.
    pub(crate) fn server(&self) -> &ServerName {
        &self.server
    }

    /// Returns its number, if it waits at `server`.
    pub(crate) fn at(&self, server: &ServerName) -> Option<u64> {
        (self.server == *server).then_some(self.number)
    }

    /// Returns the server and its number there.
    pub(crate) fn place(&self) -> (&ServerName, u64) {
        (&self.server, self.number)
    }
}

impl Drop for RoomTicket {
    fn drop(&mut self) {
        let mut view = self.gateway.view();
        view.tickets.remove(self.number);
        let gives_back = view.rooms.end_wait(&self.server, self.number);
        drop(view);
        if gives_back {
            permit::ask(&self.gateway);
        }
    }
}
