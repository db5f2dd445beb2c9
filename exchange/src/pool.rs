//! The pool of idle connections, by server address.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;

use crate::counted::WrittenCount;

/// The number of shards, each with its own lock, to reduce contention between exchanges with
/// different servers.
const SHARD_COUNT: usize = 16;

/// An open HTTP/1.1 connection; it carries one exchange at a time.
pub(crate) struct OpenConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) written: WrittenCount,
    /// Whether it came from the pool, so that it may have failed while idle.
    pub(crate) reused: bool,
    /// The idle timeout that its server advertised last, less a safety margin; `None` if it
    /// advertised none.
    pub(crate) idle_timeout: Option<Duration>,
}

/// One shard of the pool; its servers are sorted by address.
#[derive(Default)]
struct PoolShard {
    servers: Vec<ServerConnections>,
    /// When expired connections of all its servers are dropped next; `None` before the first sweep.
    sweep_at: Option<Instant>,
}

struct IdleConnection {
    connection: OpenConnection,
    idle_since: Instant,
}

/// The idle connections of one server, in the order in which they became idle.
struct ServerConnections {
    address: SocketAddr,
    idle: Vec<IdleConnection>,
}

/// A pool of idle connections; clones share it.
#[derive(Clone)]
pub(crate) struct ConnectionPool {
    shards: Arc<[Mutex<PoolShard>]>,
    timeouts: IdleTimeouts,
    limit: usize,
}

/// How long connections may stay idle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleTimeouts {
    /// The timeout where the server advertises none; also the interval between sweeps.
    pub(crate) unadvertised: Duration,
    /// The upper bound on an advertised timeout.
    pub(crate) max_advertised: Duration,
    /// The same bound for the newest idle connection of a server, so that a VM that uses the server
    /// only occasionally can still reuse a connection.
    pub(crate) newest_max_advertised: Duration,
}

impl ConnectionPool {
    /// Creates an empty pool that keeps at most `limit` idle connections for each server.
    pub(crate) fn new(timeouts: IdleTimeouts, limit: usize) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self { shards, timeouts, limit }
    }

    /// Takes the newest connection that is ready for an exchange; drops closed and expired ones.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<OpenConnection> {
        let mut shard = self.shard(address);
        let index = shard.find(address).ok()?;
        let idle = &mut shard.servers[index].idle;
        drop_expired(idle, self.timeouts);
        // Takes the newest first, so that the older ones expire when load falls.
        let newest_ready = idle.iter().rposition(|entry| entry.connection.sender.is_ready());
        let taken = newest_ready.map(|ready| idle.remove(ready).connection);
        if idle.is_empty() {
            shard.servers.remove(index);
        }
        taken
    }

    /// Returns a connection to the pool after its response was read to the end; drops it if it is
    /// closed or the server has its maximum of idle connections.
    pub(crate) fn put(&self, address: SocketAddr, mut connection: OpenConnection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let now = Instant::now();
        let mut shard = self.shard(address);
        shard.sweep(now, self.timeouts);
        let index = shard.find(address).unwrap_or_else(|index| {
            shard.servers.insert(index, ServerConnections { address, idle: Vec::new() });
            index
        });
        if shard.servers[index].idle.len() < self.limit {
            shard.servers[index].idle.push(IdleConnection { connection, idle_since: now });
        }
    }

    /// Drops all idle connections to a server, whatever their age.
    pub(crate) fn forget(&self, address: SocketAddr) {
        let mut shard = self.shard(address);
        if let Ok(index) = shard.find(address) {
            shard.servers.remove(index);
        }
    }

    fn shard(&self, address: SocketAddr) -> MutexGuard<'_, PoolShard> {
        let hash = usize::from(address.port())
            + match address.ip() {
                std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]),
                std::net::IpAddr::V6(ip) => usize::from(ip.octets()[15]),
            };
        self.shards[hash % SHARD_COUNT].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolShard {
    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.servers.binary_search_by_key(&address, |server| server.address)
    }

    /// Drops expired connections of all servers of the shard, at most once in each period of
    /// [`IdleTimeouts::unadvertised`]. Without sweeps, connections to a server that is no longer
    /// used would stay open and delay its graceful shutdown.
    fn sweep(&mut self, now: Instant, timeouts: IdleTimeouts) {
        if self.sweep_at.is_some_and(|at| now < at) {
            return;
        }
        self.sweep_at = Some(now + timeouts.unadvertised);
        self.servers.retain_mut(|server| {
            drop_expired(&mut server.idle, timeouts);
            !server.idle.is_empty()
        });
    }
}

/// Drops the connections of one server that are closed or expired. The last entry of `idle` is the
/// newest.
fn drop_expired(idle: &mut Vec<IdleConnection>, timeouts: IdleTimeouts) {
    let newest = idle.len().saturating_sub(1);
    let mut position = 0;
    idle.retain(|entry| {
        let usable = entry.is_usable(timeouts, position == newest);
        position += 1;
        usable
    });
}

impl IdleConnection {
    fn is_usable(&self, timeouts: IdleTimeouts, is_newest: bool) -> bool {
        let max = if is_newest { timeouts.newest_max_advertised } else { timeouts.max_advertised };
        let advertised = self.connection.idle_timeout.map(|advertised| advertised.min(max));
        let timeout = advertised.unwrap_or(timeouts.unadvertised);
        !self.connection.sender.is_closed() && self.idle_since.elapsed() < timeout
    }
}
