//! VMs that cannot read the store fetch records from other VMs.

use crate::site::{Site, eventually};

/// The store is down when a VM starts. It fetches configuration and servers from a VM that has
/// them, and serves requests.
#[tokio::test]
async fn start_without_store() {
    let site = Site::start(0, 1).await;
    let first = site.gateway("vm-1", &[]).await;
    first.wait_ready().await;
    site.store.set_down(true);
    let second = site.gateway("vm-2", &[&first]).await;
    second.wait_ready().await;
    assert_eq!(second.call("/safe/1", "r1", &[]).await.status, 200);
}

/// The addresses for callers include every VM that is ready, and none that has ended.
#[tokio::test]
async fn ready_addresses() {
    let site = Site::start(0, 1).await;
    let first = site.gateway("vm-1", &[]).await;
    let second = site.gateway("vm-2", &[&first]).await;
    let both = async || first.addresses().await.len() == 2 && second.addresses().await.len() == 2;
    eventually("both VMs' addresses are listed", both).await;
    let own = first.listen.requests;
    drop(second);
    let alone = async || first.addresses().await == [own];
    eventually("the address of the ended VM is no longer listed", alone).await;
}

/// Truncated datagrams, datagrams of another release and random bytes arrive at the VMs' port. The
/// VM ignores them.
#[tokio::test]
async fn odd_datagrams() {
    let site = Site::start(0, 1).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for length in 0..200u8 {
        let bytes: Vec<u8> = (0..length).map(|at| at.wrapping_mul(length)).collect();
        socket.send_to(&bytes, gateway.listen.peers).await.unwrap();
        let format = [&[1u8][..], &bytes].concat();
        socket.send_to(&format, gateway.listen.peers).await.unwrap();
    }
    assert_eq!(gateway.call("/safe/1", "r1", &[]).await.status, 200);
    assert_eq!(gateway.addresses().await.len(), 1);
}
