//! Load requests of this VM: adapters whose load its requests wait for.

use coltsfoothook_decision::id::{ServerName, SoftwareVersion, TimePoint};
use coltsfoothook_decision::routing::AdapterKey;

/// After how long a load request is sent again, in microseconds, since its datagram may have been
/// lost.
const RESEND_US: u64 = 120_000;
/// After how long without effect another server is chosen, in microseconds, since the server's
/// owner may be dead.
const MOVE_AFTER_US: u64 = 300_000;
/// How long a load request is kept after it was last sent, in microseconds.
const RETENTION_US: u64 = 1_500_000;

/// What is to be loaded, and the software version of the servers that it can be loaded at, if only some can be used: a
/// load at another server would not help a request that goes on with a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LoadSubject {
    pub(crate) key: AdapterKey,
    pub(crate) software: Option<SoftwareVersion>,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    subject: LoadSubject,
    server: ServerName,
    since: TimePoint,
    sent_at: TimePoint,
}

/// Load requests, sorted by what is to be loaded.
#[derive(Debug, Default)]
pub(crate) struct LoadRequests {
    requests: Vec<OpenRequest>,
}

/// What to do about a load request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestStep {
    /// Send it to the owner of that server.
    Send(ServerName),
    /// Nothing: it was sent recently.
    Sent,
}

impl LoadRequests {
    /// Returns the server that has not carried out the load request for an adapter in time, if
    /// there is one.
    pub(crate) fn overdue(&self, subject: &LoadSubject, now: TimePoint) -> Option<ServerName> {
        let at = self.requests.binary_search_by(|request| request.subject.cmp(subject)).ok()?;
        let request = &self.requests[at];
        let open = now.since(request.sent_at) <= RETENTION_US;
        (open && now.since(request.since) > MOVE_AFTER_US).then(|| request.server.clone())
    }

    /// Returns whether requests of this VM wait for an adapter, or did recently.
    pub(crate) fn is_open(&self, key: &AdapterKey) -> bool {
        let at = self.requests.partition_point(|request| request.subject.key < *key);
        self.requests.get(at).is_some_and(|request| request.subject.key == *key)
    }

    /// Adds a request for a load at `server`. If another request's choice of server is still open,
    /// that one is kept.
    pub(crate) fn request(
        &mut self,
        subject: &LoadSubject,
        server: &ServerName,
        now: TimePoint,
    ) -> RequestStep {
        let at = match self.requests.binary_search_by(|request| request.subject.cmp(subject)) {
            Ok(at) => at,
            Err(at) => {
                let request = OpenRequest {
                    subject: subject.clone(),
                    server: server.clone(),
                    since: now,
                    sent_at: now,
                };
                self.requests.insert(at, request);
                return RequestStep::Send(server.clone());
            }
        };
        let request = &mut self.requests[at];
        let is_expired = now.since(request.sent_at) > RETENTION_US;
        let moves = now.since(request.since) > MOVE_AFTER_US && request.server != *server;
        if is_expired || moves {
            request.server = server.clone();
            request.since = now;
        } else if now.since(request.sent_at) < RESEND_US {
            return RequestStep::Sent;
        }
        request.sent_at = now;
        RequestStep::Send(request.server.clone())
    }

    /// Drops load requests that no request has renewed recently.
    pub(crate) fn drop_expired(&mut self, now: TimePoint) {
        self.requests.retain(|request| now.since(request.sent_at) < RETENTION_US);
    }
}
