//! Idle connections, kept for the next exchange with the same server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;

use crate::counted::WrittenCount;

/// Shards of the pool; servers are spread over them so that exchanges rarely meet at a lock.
const SHARD_COUNT: usize = 16;

/// An open connection that carries one exchange at a time.
pub(crate) struct OpenConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) written: WrittenCount,
    /// Whether an exchange has used it before.
    pub(crate) reused: bool,
}

struct IdleConnection {
    connection: OpenConnection,
    since: Instant,
}

/// The idle connections of one server.
struct ServerConnections {
    address: SocketAddr,
    idle: Vec<IdleConnection>,
}

/// The pool, cheap to clone.
#[derive(Clone)]
pub(crate) struct ConnectionPool {
    shards: Arc<[Mutex<Vec<ServerConnections>>]>,
    keep: Duration,
    limit: usize,
}

impl ConnectionPool {
    /// Keeps at most `limit` idle connections a server, each at most for `keep`.
    pub(crate) fn new(keep: Duration, limit: usize) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self { shards, keep, limit }
    }

    /// Takes a connection that can carry an exchange now; dead and old ones are dropped.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<OpenConnection> {
        let mut shard = self.shard(address);
        let at = shard.binary_search_by_key(&address, |server| server.address).ok()?;
        let idle = &mut shard[at].idle;
        idle.retain(|entry| {
            !entry.connection.sender.is_closed() && entry.since.elapsed() < self.keep
        });
        // The newest first: the older ones then run out of time when load falls.
        let ready = idle.iter().rposition(|entry| entry.connection.sender.is_ready());
        let found = ready.map(|index| idle.swap_remove(index).connection);
        if shard[at].idle.is_empty() {
            shard.remove(at);
        }
        found
    }

    /// Gives a connection back whose answer was read to its end.
    pub(crate) fn put(&self, address: SocketAddr, mut connection: OpenConnection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let mut shard = self.shard(address);
        let at = match shard.binary_search_by_key(&address, |server| server.address) {
            Ok(at) => at,
            Err(at) => {
                shard.insert(at, ServerConnections { address, idle: Vec::new() });
                at
            }
        };
        if shard[at].idle.len() < self.limit {
            shard[at].idle.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    fn shard(&self, address: SocketAddr) -> MutexGuard<'_, Vec<ServerConnections>> {
        let spread = usize::from(address.port())
            + match address.ip() {
                std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]),
                std::net::IpAddr::V6(ip) => usize::from(ip.octets()[15]),
            };
        self.shards[spread % SHARD_COUNT].lock().unwrap_or_else(PoisonError::into_inner)
    }
}
