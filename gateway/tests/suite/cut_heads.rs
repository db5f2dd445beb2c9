//! Servers that stop in the middle of their answer's head, or right behind it, and close the connection.

use futures::future::join_all;

use crate::server::ServerMode;
use crate::site::Site;

/// How many bytes of the head are missing: none, parts of its end, and whole lines.
const MISSING: [usize; 10] = [0, 1, 2, 3, 4, 9, 30, 60, 100, 500];
const ROUTES: [&str; 4] = ["safe", "once", "stream", "resumed"];

/// Asserts that no cut of an answer's head gives the caller a success that looks whole.
async fn expect_no_success(unframed: bool) {
    let site = Site::start(1, 1).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("stream", "loaded", "a1").await.status, 200);
    for missing in MISSING {
        for server in site.engines.iter().chain(&site.plain) {
            server.set_unframed(unframed);
            server.set_mode(ServerMode::CutsInHead(missing));
        }
        join_all(ROUTES.map(async |route| {
            let id = format!("{route}-{missing}");
            let answer = match route {
                "safe" | "once" => gateway.call(&format!("/{route}/x"), &id, &[]).await,
                route => gateway.request(route, &id, "a1").await,
            };
            assert!(answer.status != 200 || !answer.whole, "{id}: {answer:?}");
        }))
        .await;
    }
}

/// Guards against a head that was cut and is passed on as a whole answer, where it states the answer's length or chunks.
#[tokio::test]
async fn framed() {
    expect_no_success(false).await;
}

/// The same where the answer would have ended with its connection.
#[tokio::test]
async fn unframed() {
    expect_no_success(true).await;
}
