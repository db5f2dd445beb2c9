//! Configuration and servers' entries follow the store, and never revert to older ones.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::server::StandinServer;
use crate::site::{Site, eventually};

/// A route moves to another service. Requests go there within seconds, and an older configuration
/// that is published later has no effect.
#[tokio::test]
async fn moved_route() {
    let site = Site::start(0, 1).await;
    let elsewhere = StandinServer::start("x-0").await;
    site.store.write("keyed.servers", "x-0", Some(&elsewhere.entry("elsewhere", 1, "ready")));
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.call("/moved/1", "r1", &[]).await.status, 200);
    assert_eq!(elsewhere.runs().len(), 0);
    site.configure(5, "elsewhere");
    let moved = async || {
        gateway.call("/moved/1", "r2", &[]).await;
        !elsewhere.runs().is_empty()
    };
    eventually("the route has moved", moved).await;
    site.configure(4, "plain");
    sleep(Duration::from_millis(300)).await;
    let before = elsewhere.runs().len();
    gateway.call("/moved/1", "r3", &[]).await;
    assert_eq!(elsewhere.runs().len(), before + 1);
}

/// Records that cannot be parsed have no effect on the configuration and the servers in use.
#[tokio::test]
async fn bad_records() {
    let site = Site::start(0, 1).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    site.store.write("keyed.op", "config", Some(&json!({ "version": "nine" })));
    site.store.write("keyed.servers", "p-0", Some(&json!(["no entry"])));
    site.store.write("keyed.op", "version/base.a1", Some(&json!(7)));
    sleep(Duration::from_millis(900)).await;
    assert_eq!(gateway.call("/safe/1", "r1", &[]).await.status, 200);
}

/// The store drops its history while a gateway is behind. The gateway reads the newest records
/// instead.
#[tokio::test]
async fn dropped_history() {
    let site = Site::start(0, 1).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    site.store.set_down(true);
    site.configure(3, "elsewhere");
    site.store.compact();
    site.store.set_down(false);
    let moved = async || gateway.call("/moved/1", "r1", &[]).await.status == 503;
    eventually("the new configuration is in force", moved).await;
}

/// A server announces that it leaves, and gets no new work 1.5 s later.
#[tokio::test]
async fn leaving_server() {
    let mut site = Site::start(0, 2).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    let leaving = site.plain[0].clone();
    site.drain(&leaving, "plain");
    sleep(Duration::from_millis(1_500)).await;
    let before = leaving.runs().len();
    for number in 0..20 {
        assert_eq!(gateway.call("/safe/1", &format!("r{number}"), &[]).await.status, 200);
    }
    assert_eq!(leaving.runs().len(), before);
}

/// Before any configuration is known, requests are not denied: callers are asked to retry later.
#[tokio::test]
async fn no_configuration() {
    let site = Site::start(0, 1).await;
    site.store.set_down(true);
    let gateway = site.gateway("vm-1", &[]).await;
    let answer = gateway.call("/safe/1", "r1", &[]).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert!(!gateway.ready().await);
}

/// A server's entry is removed shortly after the store returned from an outage. The server gets no
/// new work; only entries that lapsed during the outage are kept for a time.
#[tokio::test]
async fn gone_after_outage() {
    let site = Site::start(0, 2).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    site.store.set_down(true);
    sleep(Duration::from_millis(1_500)).await;
    site.store.set_down(false);
    sleep(Duration::from_millis(800)).await;
    site.store.write("keyed.servers", "p-0", None);
    sleep(Duration::from_millis(900)).await;
    let before = site.plain[0].runs().len();
    for number in 0..20 {
        assert_eq!(gateway.call("/safe/1", &format!("r{number}"), &[]).await.status, 200);
    }
    assert_eq!(site.plain[0].runs().len(), before);
}

/// A server's entry lapses while the store is down and is written again a second after its return.
/// The server is used throughout.
#[tokio::test]
async fn lapsed_in_outage() {
    let mut site = Site::start(0, 1).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    site.store.set_down(true);
    site.store.write("keyed.servers", "p-0", None);
    sleep(Duration::from_millis(1_500)).await;
    site.store.set_down(false);
    for number in 0..10 {
        assert_eq!(gateway.call("/safe/1", &format!("r{number}"), &[]).await.status, 200);
        sleep(Duration::from_millis(100)).await;
    }
    site.register("ready");
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(gateway.call("/safe/1", "last", &[]).await.status, 200);
}
