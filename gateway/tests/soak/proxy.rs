//! A proxy on loopback whose connections can be delayed, silenced, cut one way or reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What happens on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// Bytes pass.
    Good,
    /// Bytes pass late by so many milliseconds.
    Slow(u64),
    /// No byte passes, and no connection ends.
    Silent,
    /// Bytes pass towards the far end alone: it acts, and its answers are lost.
    AnswersLost,
    /// Connections are cut, also new ones.
    Reset,
}

/// A proxy; clones share it.
#[derive(Clone)]
pub(crate) struct LinkProxy {
    pub(crate) address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
}

impl LinkProxy {
    /// A proxy before `target`.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let state = Arc::new(watch::Sender::new(LinkState::Good));
        let proxy = Self { address, state };
        let served = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = served.state.subscribe();
                tokio::spawn(carry(stream, target, state));
            }
        });
        proxy
    }

    pub(crate) fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn carry(near: TcpStream, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    if *state.borrow() == LinkState::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    // Connections that were good stay as they are once the link is cut: they go silent or end.
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut reset = state.clone();
    tokio::select! {
        () = pump(near_read, far_write, state.clone(), LinkSide::Requests) => {}
        () = pump(far_read, near_write, state.clone(), LinkSide::Answers) => {}
        _ = reset.wait_for(|state| *state == LinkState::Reset) => {}
    }
    state.mark_unchanged();
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum LinkSide {
    Requests,
    Answers,
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    side: LinkSide,
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
            LinkState::AnswersLost if side == LinkSide::Requests => {}
            // Bytes that a partition holds up are delivered once it heals.
            LinkState::Silent | LinkState::AnswersLost | LinkState::Reset => {
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
