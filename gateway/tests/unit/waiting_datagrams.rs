//! Messages to many VMs are larger than a socket's buffer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::message::{AdapterUse, MOST_BYTES, PeerMessage};
use crate::peer::{PeerSocket, send_waiting};

/// A VM tells some tens of others of servers that leave, more bytes than its socket's buffer holds.
/// What did not fit used to be dropped, and as every repeat went out in the same order, the last VMs
/// never heard of it and sent requests to servers that had left.
#[tokio::test]
async fn all_are_told() {
    let sender = Arc::new(PeerSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap());
    let mut receivers = Vec::new();
    for _ in 0..74 {
        receivers.push(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    }
    let addresses: Vec<SocketAddr> =
        receivers.iter().map(|receiver| receiver.local_addr().unwrap()).collect();
    let key =
        coltsfoothook_decision::routing::AdapterKey { model: "base".into(), adapter: "a1".into() };
    let mut bytes = vec![0; MOST_BYTES];
    // A socket takes its first datagram once the runtime knows that it is writable.
    while receivers[0].try_recv(&mut bytes).is_err() {
        sender.send(&PeerMessage::Uses("vm".into(), Vec::new()), &addresses[..1]);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    while receivers[0].try_recv(&mut bytes).is_ok() {}
    let uses = vec![AdapterUse::of(&"server".into(), &key); 600];
    sender.send(&PeerMessage::Uses("vm".into(), uses), &addresses);
    let waiting = tokio::spawn(send_waiting(Arc::clone(&sender)));
    for (number, receiver) in receivers.iter().enumerate() {
        let told = timeout(Duration::from_secs(5), receiver.recv(&mut bytes)).await;
        assert!(told.is_ok_and(|told| told.unwrap() > 1_000), "VM {number} is not told");
    }
    waiting.abort();
}
