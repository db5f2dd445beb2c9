//! How clients classify unusual and malformed answers of logs and engines.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfoothook_decision::id::LogOffset;
use coltsfoothook_engine::{EngineClient, EngineSettings, HttpEngine, OrderError, RunError};
use coltsfoothook_platform::{HttpLog, LogClient, LogError, PlatformSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::common::{SLOT, load_order, run_call};

/// Starts a server that sends the same answer to the first request of each connection.
async fn same_answer(status: &str, body: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let length = body.len();
    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 8_192];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Returns the name of an error's variant.
fn name(error: &impl Debug) -> String {
    let text = format!("{error:?}");
    text.split([' ', '(']).next().unwrap_or_default().to_owned()
}

/// A page with missing, repeated or unordered records is rejected as a whole, since the fold would
/// diverge permanently from those of other VMs. A status that does not say whether an append took
/// effect must not be classified as "not appended".
#[tokio::test]
async fn log_answers() {
    let page = |records: &str, next: u64| {
        format!(r#"{{"records":[{records}],"first_kept":0,"next":{next}}}"#)
    };
    let (five, six) = (r#"{"offset":5,"data":"a"}"#, r#"{"offset":6,"data":"b"}"#);
    let cases = [
        ("200 OK", page(&format!("{five},{six}"), 7), "ok"),
        ("200 OK", page("", 5), "ok"),
        ("200 OK", page(six, 7), "BadAnswer"),
        ("200 OK", page(&format!("{five},{five}"), 7), "BadAnswer"),
        ("200 OK", page(five, 9), "BadAnswer"),
        ("200 OK", "<html>".to_owned(), "BadAnswer"),
        ("410 Gone", r#"{"first_kept":9}"#.to_owned(), "BehindRetention"),
        ("410 Gone", "gone".to_owned(), "BadAnswer"),
        ("429 Too Many Requests", String::new(), "Throttled"),
        ("500 Internal Server Error", String::new(), "Unknown"),
        ("502 Bad Gateway", String::new(), "Unknown"),
        ("503 Service Unavailable", String::new(), "Unavailable"),
        ("413 Content Too Large", String::new(), "TooLarge"),
        ("404 Not Found", String::new(), "BadAnswer"),
    ];
    for (status, body, expected) in cases {
        let address = same_answer(status, &body).await;
        let log = HttpLog::new(address, PlatformSettings::default());
        let result = log.read("jobs", LogOffset(5), 10, Duration::ZERO).await;
        let found = result.map_or_else(|error| name(&error), |_| "ok".to_owned());
        assert_eq!(found, expected, "{status} {body}");
    }
}

/// An answer longer than the limit is rejected.
#[tokio::test]
async fn log_answer_limit() {
    let address = same_answer("200 OK", &" ".repeat(5_000)).await;
    let settings = PlatformSettings { max_answer_bytes: 1_024, ..Default::default() };
    let result = HttpLog::new(address, settings).append("jobs", &["a".to_owned()]).await;
    assert!(matches!(result, Err(LogError::BadAnswer { .. })), "{result:?}");
}

/// The bodies of errors differ between engines. Only a status that is sent before a run begins
/// counts as "not run".
#[tokio::test]
async fn run_answers() {
    let numeric = r#"{"error":{"message":"no such model","code":404}}"#;
    let cases = [
        ("404 Not Found", numeric, "SlotMissing", true),
        ("404 Not Found", "<html>", "SlotMissing", true),
        ("400 Bad Request", r#"{"object":"error","message":"x"}"#, "Refused", true),
        ("429 Too Many Requests", "", "Refused", true),
        ("503 Service Unavailable", "", "Refused", true),
        ("500 Internal Server Error", numeric, "Failed", false),
        ("302 Found", "", "Failed", false),
    ];
    for (status, body, expected, not_run) in cases {
        let address = same_answer(status, body).await;
        let client = HttpEngine::new(EngineSettings::default());
        let error: RunError = client.run(address, run_call("r", 4, false)).await.unwrap_err();
        assert_eq!((name(&error).as_str(), error.certainly_not_run()), (expected, not_run));
    }
}

/// An order counts as carried out, or as not carried out, only if the engine's answer says so; else
/// its effect is unknown.
#[tokio::test]
async fn order_answers() {
    let coded = |code: &str| format!(r#"{{"error":{{"message":"m","code":"{code}"}}}}"#);
    let cases = [
        ("409 Conflict", coded("stale_fencing"), "StaleFencing"),
        ("409 Conflict", coded("slots_full"), "SlotsFull"),
        ("502 Bad Gateway", coded("load_failed"), "LoadFailed"),
        ("400 Bad Request", coded("x"), "OrderRefused"),
        ("404 Not Found", String::new(), "NotFound"),
        ("500 Internal Server Error", String::new(), "EffectUnknown"),
        ("502 Bad Gateway", "<html>".to_owned(), "EffectUnknown"),
    ];
    for (status, body, expected) in cases {
        let address = same_answer(status, &body).await;
        let client = HttpEngine::new(EngineSettings::default());
        let error: OrderError = client.load(address, &load_order(SLOT, 1)).await.unwrap_err();
        assert_eq!(name(&error), expected, "{status} {body}");
    }
}
