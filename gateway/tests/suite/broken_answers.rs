//! Servers that lose, cut or mix up answers, and what callers receive.

use std::time::Duration;

use tokio::time::sleep;

use crate::server::{EVENTS, RunRecord, ServerMode};
use crate::site::{CallerAnswer, Site};

/// How many requests come before, so that the budget of repeats has room for each stream.
const FIRST_TRIES: usize = 60;

async fn plain_site(mode: ServerMode) -> (Site, crate::site::RunningGateway) {
    let site = Site::start(0, 1).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    site.plain[0].set_mode(mode);
    (site, gateway)
}

/// The answer to a request that may run only once is lost. The caller must get 502, not a status which states that
/// the request did not run, and the request must not be sent to the second server: the route allows that only if it
/// did not run at the first.
#[tokio::test]
async fn lost_once() {
    let site = Site::start(0, 2).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    for server in &site.plain {
        server.set_mode(ServerMode::LosesAnswer);
    }
    let answer = gateway.call("/once/1", "r1", &[]).await;
    assert_eq!(answer.status, 502);
    assert_eq!(site.plain[0].runs().len() + site.plain[1].runs().len(), 1);
}

/// The answer to a request that may be repeated is lost. The second server must answer it.
#[tokio::test]
async fn lost_repeated() {
    let site = Site::start(0, 2).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    site.plain[0].set_mode(ServerMode::LosesAnswer);
    for number in 0..6 {
        let answer = gateway.call("/safe/1", &format!("r{number}"), &[]).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let mut ids: Vec<String> = site.plain[1].runs().into_iter().map(|run| run.id).collect();
    ids.sort();
    assert_eq!(ids.len(), 6);
}

/// Both servers fail a request that may be repeated. The caller must get the second server's status and body.
#[tokio::test]
async fn failed_everywhere() {
    let site = Site::start(0, 2).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    site.plain[0].set_mode(ServerMode::Fails);
    site.plain[1].set_mode(ServerMode::Fails);
    let answer = gateway.call("/safe/1", "r1", &[]).await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(site.plain[0].runs().len() + site.plain[1].runs().len(), 2);
}

/// The only server is full. The caller must get 503 with `Retry-After`, since the request did not run.
#[tokio::test]
async fn full_server() {
    let (site, gateway) = plain_site(ServerMode::Full).await;
    let answer = gateway.call("/once/1", "r1", &[]).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert_eq!(site.plain[0].runs().len(), 0);
}

/// A server sends the answer to another request first. The caller must not receive it, nor the next answer on the
/// connection, which could belong to any request.
#[tokio::test]
async fn crossed_answers() {
    let (_site, gateway) = plain_site(ServerMode::AnswersTwice).await;
    let answer = gateway.call("/once/1", "r1", &[]).await;
    assert_eq!(answer.status, 502);
    assert!(!answer.body.contains("another"));
}

/// Guards against a caller that takes the end of one answer for the next one, since its length is a wrong one.
#[tokio::test]
async fn length_beside_chunks() {
    let (_site, gateway) = plain_site(ServerMode::LengthBesideChunks).await;
    for path in ["/safe/1", "/once/1"] {
        let answer = gateway.call(path, path, &[]).await;
        assert!(answer.whole, "{answer:?}");
        assert_eq!(answer.body, format!("ran {path}"));
    }
}

/// A stream that may run only once is cut within an event. The caller's answer must be cut too, so that it is not
/// taken for a complete one.
#[tokio::test]
async fn cut_stream() {
    let mut site = Site::start(1, 0).await;
    site.register("ready");
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("stream", "r0", "a1").await.status, 200);
    site.engines[0].set_mode(ServerMode::CutsStream);
    let answer = gateway.request("stream", "r1", "a1").await;
    assert!(!answer.whole);
}

/// A stream that may be resumed is cut within its second event. Another server must resume it after the first event,
/// and the caller must receive each event complete and once.
#[tokio::test]
async fn resumed_stream() {
    let site = Site::start(2, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("resumed", "r0", "a1").await.status, 200);
    let first = site.engines.iter().find(|engine| !engine.runs().is_empty()).unwrap();
    first.set_mode(ServerMode::CutsStream);
    let answer = gateway.request("resumed", "r1", "a1").await;
    assert!(answer.whole, "{answer:?}");
    for number in 1..=EVENTS {
        let event = format!("id: {number}\ndata: r1 {number}\n\n");
        assert_eq!(answer.body.matches(&event).count(), 1, "{}", answer.body);
    }
    assert_eq!(answer.body.matches("data:").count(), EVENTS);
    let second = site.engines.iter().find(|engine| engine.name != first.name).unwrap();
    let resumed = second.runs().into_iter().find(|run| run.id == "r1").unwrap();
    assert_eq!(resumed.header("last-event-id"), Some("1"));
}

/// A stream that no other server may resume pauses for more than the two seconds after which a resumable one is
/// resumed at another server. The caller must receive the whole answer: the gateway must not cut the stream for a
/// pause that the server ends by itself.
#[tokio::test]
async fn silent_stream() {
    let site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("stream", "r0", "a1").await.status, 200);
    site.engines[0].set_mode(ServerMode::Stalls);
    assert!(gateway.request("stream", "r1", "a1").await.whole);
}

/// A resumed stream pauses as long at its second server, the last one that may run it. It must not be cut either.
#[tokio::test]
async fn silent_after_resume() {
    let site = Site::start(2, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("resumed", "r0", "a1").await.status, 200);
    let first = site.engines.iter().find(|engine| !engine.runs().is_empty()).unwrap();
    let second = site.engines.iter().find(|engine| engine.name != first.name).unwrap();
    first.set_mode(ServerMode::CutsStream);
    second.set_mode(ServerMode::Stalls);
    let answer = gateway.request("resumed", "r1", "a1").await;
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.body.matches("data:").count(), EVENTS);
}

/// Guards against a resumable stream that is cut for its server's silence, since no other server can resume it.
#[tokio::test]
async fn silent_alone() {
    let site = Site::start(1, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("resumed", "r0", "a1").await.status, 200);
    site.engines[0].set_mode(ServerMode::Stalls);
    let answer = gateway.request("resumed", "r1", "a1").await;
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.body.matches("data:").count(), EVENTS);
}

/// Guards against a resumable stream that is cut for its server's silence, since the other servers are full.
#[tokio::test]
async fn silent_beside_full() {
    let mut site = Site::start(2, 0).await;
    site.engines.iter().for_each(|engine| engine.hold("a1"));
    site.register("ready");
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    site.engines[0].set_mode(ServerMode::Stalls);
    site.engines[1].set_mode(ServerMode::Full);
    let answer = gateway.request("resumed", "r1", "a1").await;
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.body.matches("data:").count(), EVENTS);
}

/// Returns the answer to a stream whose first server breaks it off as `first` and whose second one answers as `second`, and
/// the runs of it at the second.
async fn resumed_after(first: ServerMode, second: ServerMode) -> (CallerAnswer, Vec<RunRecord>) {
    let site = Site::start(2, 0).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    assert_eq!(gateway.request("resumed", "r0", "a1").await.status, 200);
    let holder = site.engines.iter().find(|engine| !engine.runs().is_empty()).unwrap();
    let other = site.engines.iter().find(|engine| engine.name != holder.name).unwrap();
    holder.set_mode(first);
    other.set_mode(second);
    let answer = gateway.request("resumed", "r1", "a1").await;
    let runs = other.runs().into_iter().filter(|run| run.id == "r1").collect();
    (answer, runs)
}

/// Guards against a stream that is resumed from its beginning, since its events have no ids to go on after.
#[tokio::test]
async fn unnumbered_events() {
    let (answer, runs) = resumed_after(ServerMode::Unnumbered, ServerMode::Normal).await;
    assert!(!answer.whole, "{answer:?}");
    assert!(runs.is_empty(), "{runs:?}");
}

/// Guards against an event that comes twice, since its id was not read beside bytes that are no text.
#[tokio::test]
async fn events_not_text() {
    let (answer, runs) = resumed_after(ServerMode::NotText, ServerMode::Normal).await;
    assert_eq!(runs[0].header("last-event-id"), Some("1"));
    assert!(answer.whole && answer.body.matches("id: 1").count() == 1, "{answer:?}");
}

/// Guards against an answer of another type whose bytes are passed on as the rest of a stream.
#[tokio::test]
async fn rest_of_other_type() {
    let (answer, runs) = resumed_after(ServerMode::CutsStream, ServerMode::OtherType).await;
    assert_eq!(runs.len(), 1);
    assert!(!answer.whole && !answer.body.contains("<p>"), "{answer:?}");
}

/// Guards against a stream that is lost since the server that could resume it was full for a moment.
#[tokio::test(flavor = "multi_thread")]
async fn full_when_resumed() {
    let mut site = Site::start(2, 0).await;
    site.engines.iter().for_each(|engine| engine.hold("a1"));
    site.register("ready");
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    for number in 0..FIRST_TRIES {
        gateway.request("resumed", &format!("f-{number}"), "a1").await;
    }
    site.engines[0].set_mode(ServerMode::CutsStream);
    for number in 0..4 {
        site.engines[1].set_mode(ServerMode::Full);
        let (engine, id) = (site.engines[1].clone(), format!("s-{number}"));
        let has_room = async {
            sleep(Duration::from_millis(120)).await;
            engine.set_mode(ServerMode::Normal);
        };
        let (answer, ()) = tokio::join!(gateway.request("resumed", &id, "a1"), has_room);
        assert!(answer.whole, "{answer:?}");
    }
}
