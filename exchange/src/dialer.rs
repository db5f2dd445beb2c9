//! Opening of connections.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::net::TcpStream;

/// The result of opening a connection.
pub type DialFuture<'a> = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send + 'a>>;

/// Opens connections for an [`ExchangeClient`](crate::ExchangeClient), so that tests can cut the links
/// of one process alone.
pub trait ServerDialer: Send + Sync {
    /// Opens a connection to `address`. The caller sets a timeout.
    fn dial(&self, address: SocketAddr) -> DialFuture<'_>;
}

/// Opens plain TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

impl ServerDialer for TcpDialer {
    fn dial(&self, address: SocketAddr) -> DialFuture<'_> {
        Box::pin(TcpStream::connect(address))
    }
}
