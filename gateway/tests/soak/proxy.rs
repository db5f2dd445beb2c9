//! A TCP proxy on loopback whose connections can be delayed, stalled, stalled in one direction or reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// How a link treats bytes and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// Bytes pass.
    Good,
    /// Bytes pass with a delay of so many milliseconds.
    Slow(u64),
    /// No byte passes, and connections stay open.
    Stalled,
    /// Bytes pass towards the target only: it receives requests, and its answers are held back.
    AnswersLost,
    /// Open and new connections are closed.
    Reset,
}

/// A proxy. Clones share its state.
#[derive(Clone)]
pub(crate) struct LinkProxy {
    pub(crate) address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
}

impl LinkProxy {
    /// Starts a proxy that forwards connections to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        Self::start_while_up(target, watch::Sender::new(false).subscribe()).await
    }

    /// Starts a proxy that refuses connections while `target` is `down`.
    pub(crate) async fn start_while_up(
        target: SocketAddr,
        mut down: watch::Receiver<bool>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let state = Arc::new(watch::Sender::new(LinkState::Good));
        let proxy = Self { address, state };
        let served = proxy.clone();
        tokio::spawn(async move {
            let mut listener = listener;
            loop {
                let went_down = async {
                    if down.wait_for(|down| *down).await.is_err() {
                        std::future::pending::<()>().await;
                    }
                };
                tokio::select! {
                    () = served.accept(&listener, target) => return,
                    () = went_down => {}
                }
                drop(listener);
                let _ = down.wait_for(|down| !*down).await;
                listener = TcpListener::bind(address).await.expect("the port is still free");
            }
        });
        proxy
    }

    async fn accept(&self, listener: &TcpListener, target: SocketAddr) {
        while let Ok((stream, _)) = listener.accept().await {
            let state = self.state.subscribe();
            tokio::spawn(forward(stream, target, state));
        }
    }

    pub(crate) fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

/// Forwards one connection until an end closes it or the link is reset.
async fn forward(near: TcpStream, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    if *state.borrow() == LinkState::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    // A change of the link's state also applies to connections that are open.
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut reset = state.clone();
    tokio::select! {
        () = copy_bytes(near_read, far_write, state.clone(), LinkDirection::Requests) => {}
        () = copy_bytes(far_read, near_write, state.clone(), LinkDirection::Answers) => {}
        _ = reset.wait_for(|state| *state == LinkState::Reset) => {}
    }
    state.mark_unchanged();
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkDirection {
    Requests,
    Answers,
}

/// Copies bytes in one direction as the link's state allows.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    direction: LinkDirection,
) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let Ok(read) = from.read(&mut bytes).await else { return };
        if read == 0 {
            return;
        }
        let now = *state.borrow();
        match now {
            LinkState::Good => {}
            LinkState::Slow(ms) => sleep(Duration::from_millis(ms)).await,
            LinkState::AnswersLost if direction == LinkDirection::Requests => {}
            // Held bytes are delivered once the link is good or slow again.
            LinkState::Stalled | LinkState::AnswersLost | LinkState::Reset => {
                let healed =
                    |state: &LinkState| matches!(state, LinkState::Good | LinkState::Slow(_));
                if state.wait_for(healed).await.is_err() {
                    return;
                }
            }
        }
        if to.write_all(&bytes[..read]).await.is_err() {
            return;
        }
    }
}
