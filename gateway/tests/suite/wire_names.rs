//! The head of a caller's request as servers receive it.

use crate::site::Site;

/// Callers must not be able to set the headers that the gateway sets, nor have it drop them by naming them in
/// `Connection`. Servers receive the gateway's values and all other end-to-end headers unchanged.
#[tokio::test]
async fn forged_headers() {
    let site = Site::start(0, 1).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    let forged = [
        ("coltsfoothook-hold", "h1"),
        ("coltsfoothook-pin-ms", "4000"),
        ("kv-from", "127.0.0.1:1/2"),
        ("coltsfoothook-expect-instance", "another"),
        ("coltsfoothook-server-seal", "forged"),
        ("connection", "x-hop, coltsfoothook-request-id"),
        ("x-hop", "1"),
        ("x-kept", "kept"),
    ];
    let answer = gateway.call("/once/7?q=%20a", "r1", &forged).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let run = site.plain[0].runs().pop().unwrap();
    assert!(run.head.starts_with("POST /once/7?q=%20a HTTP/1.1"), "{}", run.head);
    assert_eq!(run.body, "{\"a\":1}");
    assert_eq!(run.header("host"), Some("a.example"));
    assert_eq!(run.header("x-kept"), Some("kept"));
    assert_eq!(run.header("coltsfoothook-expect-instance"), Some("p-0"));
    for name in ["coltsfoothook-hold", "coltsfoothook-pin-ms", "kv-from", "x-hop"] {
        assert_eq!(run.header(name), None, "{name}");
    }
    let left: u64 = run.header("coltsfoothook-deadline-ms").unwrap().parse().unwrap();
    assert!((3_000..=4_000).contains(&left), "the route allows 4 s, not {left} ms");
}

/// Malformed requests are answered with 400 or 404 and reach no server.
#[tokio::test]
async fn bad_requests() {
    let site = Site::start(0, 1).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    let number = [("coltsfoothook-deadline-ms", "soon")];
    assert_eq!(gateway.call("/once/1", "r1", &number).await.status, 400);
    assert_eq!(gateway.call("/once/1", "", &[]).await.status, 400);
    assert_eq!(gateway.call("/nowhere/1", "r1", &[]).await.status, 404);
    let tokens = [("coltsfoothook-model", "m"), ("coltsfoothook-token-count", "7")];
    assert_eq!(gateway.call("/stream/1", "r1", &tokens).await.status, 400);
    assert_eq!(site.plain[0].runs().len(), 0);
}
