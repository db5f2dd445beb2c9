//! Links of one gateway to all servers, which tests can cut.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use coltsfoothook_exchange::{DialFuture, ServerDialer};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How a gateway's links are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// They work.
    #[default]
    Open,
    /// Open connections are silent, and new ones are not established.
    Silent,
    /// Open connections are closed, and new ones are refused.
    Reset,
    /// Open connections work, and new ones are refused.
    RefuseNew,
}

/// The links; clones share them. Each connection goes through a relay of its own.
#[derive(Clone, Default)]
pub(crate) struct CuttableLinks {
    state: Arc<watch::Sender<LinkState>>,
}

impl CuttableLinks {
    pub(crate) fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    async fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let state = *self.state.borrow();
        match state {
            LinkState::Open => {}
            LinkState::Silent => std::future::pending().await,
            LinkState::Reset | LinkState::RefuseNew => {
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
        }
        let server = TcpStream::connect(address).await?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (near, far) =
            tokio::join!(TcpStream::connect(listener.local_addr()?), listener.accept());
        tokio::spawn(relay(far?.0, server, self.state.subscribe()));
        near
    }
}

impl ServerDialer for CuttableLinks {
    fn dial(&self, address: SocketAddr) -> DialFuture<'_> {
        Box::pin(self.open(address))
    }
}

/// Copies bytes both ways until an end closes, while the links allow it.
async fn relay(mut near: TcpStream, mut far: TcpStream, mut state: watch::Receiver<LinkState>) {
    loop {
        let seen = *state.borrow_and_update();
        match seen {
            LinkState::Reset => return,
            LinkState::Silent => {
                let _ = state.changed().await;
            }
            LinkState::Open | LinkState::RefuseNew => tokio::select! {
                _ = copy_bidirectional(&mut near, &mut far) => return,
                _ = state.changed() => {}
            },
        }
    }
}
