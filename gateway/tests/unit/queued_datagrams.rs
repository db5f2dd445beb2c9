//! Sending of datagrams that the socket does not accept at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::datagram::MAX_BYTES;
use crate::message::{AdapterUse, PeerMessage};
use crate::peer::{PeerSocket, first_recipient, send_queued};

/// Guards against dropping messages while the socket is not writable: here it is not yet known to
/// be, in a large fleet its buffer may be full. A dropped message about leaving servers would reach
/// no VM before its next repeat, and requests would go to servers that have left.
#[tokio::test]
async fn every_vm_receives() {
    let sender = Arc::new(PeerSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap());
    let waiting = tokio::spawn(send_queued(Arc::clone(&sender)));
    let mut receivers = Vec::new();
    for _ in 0..74 {
        receivers.push(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    }
    let addresses: Vec<SocketAddr> =
        receivers.iter().map(|receiver| receiver.local_addr().unwrap()).collect();
    let key =
        coltsfoothook_decision::routing::AdapterKey { model: "base".into(), adapter: "a1".into() };
    let mut bytes = vec![0; MAX_BYTES];
    let uses = vec![AdapterUse::of(&"server".into(), 0, &key); 600];
    sender.send(&PeerMessage::Uses("vm".into(), uses), &addresses);
    for (number, receiver) in receivers.iter().enumerate() {
        let received = timeout(Duration::from_secs(5), receiver.recv(&mut bytes)).await;
        assert!(
            received.is_ok_and(|received| received.unwrap() > 1_000),
            "VM {number} did not receive the message"
        );
    }
    waiting.abort();
}

/// A narrow link carries only the first half of the datagrams of a message to 88 VMs. Five messages
/// from each of three readers report a leaving server; with rotating first recipients, every VM
/// gets some of the fifteen.
#[test]
fn narrow_link() {
    let count = 88;
    let mut got = vec![0; count];
    for sends in 0..15 {
        let first = first_recipient(sends, count);
        for step in 0..count / 2 {
            got[(first + step) % count] += 1;
        }
    }
    assert!(got.iter().all(|messages| *messages >= 4), "{got:?}");
}
