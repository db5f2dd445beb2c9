//! Callers that read their answers slowly or not at all, and servers that read requests so.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfoothook_gateway::BufferSettings;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::server::{ENDLESS, LARGE};
use crate::site::{RunningGateway, Site, eventually, get};

/// The time that the routes give a request.
const ROUTE_TIME: Duration = Duration::from_secs(4);
/// The most of one stream that may be between its server and its caller, with the sockets of both.
const MAX_BETWEEN: usize = 1 << 20;
/// The time in which a caller reads an answer through a shutdown: longer than a VM without open requests takes to end, and
/// shorter than the grace time.
const READING_TIME: Duration = Duration::from_millis(1_800);
/// How soon a request must be answered beside the slow ones.
const USUAL_TIME: Duration = Duration::from_secs(1);

/// Sends a request whose answer the test reads itself, over a connection that takes little.
async fn send_raw(gateway: &RunningGateway, path: &str, headers: &[(&str, &str)]) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    let mut stream = socket.connect(gateway.listen.requests).await.unwrap();
    let mut head = format!("POST {path} HTTP/1.1\r\nhost: a.example\r\ncontent-length: 2\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    stream.write_all(format!("{head}\r\n{{}}").as_bytes()).await.unwrap();
    stream
}

/// Reads 10 KB a second until the connection ends. Returns how long that took.
async fn read_slowly(stream: &mut TcpStream) -> Duration {
    let started = Instant::now();
    let mut piece = [0; 512];
    while stream.read(&mut piece).await.is_ok_and(|read| read > 0) {
        sleep(Duration::from_millis(50)).await;
    }
    started.elapsed()
}

/// Returns a count of the gateway's state, from its metrics.
async fn state_count(gateway: &RunningGateway, what: &str) -> usize {
    let text = get(gateway.listen.metrics, "/metrics").await.unwrap().body;
    let name = format!("coltsfoothook_gateway_state{{what=\"{what}\"}} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&name)).expect("it is stated");
    line.parse().unwrap()
}

async fn engine_site() -> (Site, RunningGateway) {
    let mut site = Site::start(1, 0).await;
    site.engines[0].hold("a1");
    site.register("ready");
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    (site, gateway)
}

/// Returns the headers of a request to an engine that answers with events for ever.
fn stream_headers(id: &str) -> [(&str, &str); 4] {
    [
        ("coltsfoothook-request-id", id),
        ("coltsfoothook-model", "base/a1"),
        ("coltsfoothook-token-count", "100,8"),
        (ENDLESS, "flood-events@e-0"),
    ]
}

/// Guards against streams whose callers do not read, and that fill the VM's memory or its sockets, slow other streams down
/// or keep their servers' slots for ever.
#[tokio::test(flavor = "multi_thread")]
async fn unread_streams() {
    let (site, gateway) = engine_site().await;
    let mut unread = Vec::new();
    for number in 0..4 {
        let id = format!("u-{number}");
        unread.push(send_raw(&gateway, "/stream/x", &stream_headers(&id)).await);
    }
    sleep(Duration::from_secs(2)).await;
    let (read, _) = site.engines[0].endless();
    assert!(read > 0 && read < unread.len() * MAX_BETWEEN, "{read} bytes were read");
    let other = timeout(USUAL_TIME, gateway.request("stream", "other", "a1")).await;
    assert!(other.expect("it is not slowed").whole);
    let closed = async || site.engines[0].endless().1 == unread.len();
    eventually("the servers' connections are closed", closed).await;
}

/// Guards against a stream that goes on for as long as its caller takes to read it, and keeps its server's slot.
#[tokio::test(flavor = "multi_thread")]
async fn slow_stream() {
    let (site, gateway) = engine_site().await;
    let mut slow = send_raw(&gateway, "/stream/x", &stream_headers("slow")).await;
    let reader = tokio::spawn(async move { read_slowly(&mut slow).await });
    sleep(ROUTE_TIME + Duration::from_millis(1_500)).await;
    assert_eq!(
        site.engines[0].endless().1,
        1,
        "the server's connection is closed when the time is over"
    );
    assert!(reader.await.unwrap() < ROUTE_TIME * 3);
}

/// Guards against large answers that are held for callers which read them too slowly or not at all.
#[tokio::test(flavor = "multi_thread")]
async fn slow_whole_answers() {
    let site = Site::start(0, 1).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    let headers = [(ENDLESS, "flood-large@p-0"), ("coltsfoothook-request-id", "r1")];
    let whole = gateway.call("/once/x", "r0", &headers[..1]).await;
    assert!(whole.status == 200 && whole.whole && whole.body.len() == LARGE);
    let unread = send_raw(&gateway, "/once/x", &headers).await;
    let mut slow = send_raw(&gateway, "/once/x", &headers).await;
    let held = async || state_count(&gateway, "buffered_bytes").await > LARGE;
    eventually("the answers are held and counted", held).await;
    let took = timeout(ROUTE_TIME * 3, read_slowly(&mut slow)).await;
    took.expect("the slow reader is cut off");
    let freed = async || state_count(&gateway, "buffered_bytes").await == 0;
    eventually("nothing is held any more", freed).await;
    drop(unread);
}

/// Guards against callers whose request bodies never end, and that fill the VM's memory or leave none to others.
#[tokio::test(flavor = "multi_thread")]
async fn endless_uploads() {
    let site = Site::start(0, 1).await;
    let buffers = BufferSettings { total_mb: 1, ..BufferSettings::default() };
    let gateway = site.start_buffered("vm-1", buffers).await;
    gateway.wait_ready().await;
    let (mut uploads, mut refused) = (Vec::new(), 0);
    for number in 0..60 {
        let mut stream = TcpStream::connect(gateway.listen.requests).await.unwrap();
        let head = format!(
            "POST /once/x HTTP/1.1\r\nhost: a.example\r\ncoltsfoothook-request-id: u-{number}\r\n\
             content-length: 60001\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        let _ = stream.write_all(&[b'u'; 60_000]).await;
        uploads.push(stream);
    }
    for stream in &mut uploads {
        let mut answer = [0; 12];
        let read = timeout(Duration::from_millis(20), stream.read_exact(&mut answer)).await;
        refused += usize::from(read.is_ok_and(|read| read.is_ok()) && answer.ends_with(b"503"));
    }
    let held = state_count(&gateway, "buffered_bytes").await;
    assert!(held > 100_000 && held < 1 << 20, "{held} bytes are held");
    assert!(refused > 30 && refused < uploads.len(), "{refused} were refused");
    assert_eq!(gateway.call("/once/x", "usual", &[]).await.status, 200);
    drop(uploads);
    let freed = async || state_count(&gateway, "buffered_bytes").await == 0;
    eventually("nothing is held any more", freed).await;
}

/// Guards against a server that takes no bytes of a request, and holds up more than that request.
#[tokio::test(flavor = "multi_thread")]
async fn unread_request() {
    let site = Site::start(0, 1).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener: TcpListener = socket.listen(16).unwrap();
    let mut entry = site.plain[0].entry("elsewhere", 7, "ready");
    entry["address"] = json!(listener.local_addr().unwrap());
    site.store.write("keyed.servers", "mute", Some(&entry));
    site.configure(2, "elsewhere");
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    let known = async || state_count(&gateway, "servers").await == 2;
    eventually("both servers are known", known).await;
    let started = Instant::now();
    let long = "p".repeat(12_000);
    let headers = [("x-long", long.as_str())];
    let slow = gateway.call("/moved/x", "slow", &headers);
    let others = async {
        for number in 0..20 {
            let id = format!("o-{number}");
            let answer = gateway.call("/once/x", &id, &[]);
            let answer = timeout(USUAL_TIME, answer).await.expect("it is not slowed");
            assert_eq!(answer.status, 200);
            sleep(Duration::from_millis(50)).await;
        }
    };
    let (slow, ()) = tokio::join!(slow, others);
    assert!(matches!(slow.status, 502 | 504), "{slow:?}");
    assert!(started.elapsed() < ROUTE_TIME + USUAL_TIME, "{:?}", started.elapsed());
    drop(listener);
}

/// Guards against a shutdown that cuts answers which their callers still read, though their requests have ended.
#[tokio::test(flavor = "multi_thread")]
async fn read_through_shutdown() {
    let site = Site::start(0, 1).await;
    let gateway = site.gateway("vm-1", &[]).await;
    gateway.wait_ready().await;
    let headers = [("coltsfoothook-request-id", "slow"), (ENDLESS, "flood-large@p-0")];
    let mut slow = send_raw(&gateway, "/once/x", &headers).await;
    sleep(Duration::from_millis(300)).await;
    let started = Instant::now();
    let reader = tokio::spawn(async move {
        let (mut piece, mut read) = (vec![0; 16 << 10], 0);
        while let Ok(more) = slow.read(&mut piece).await
            && more > 0
        {
            read += more;
            let due = READING_TIME.mul_f64(read as f64 / LARGE as f64);
            sleep(due.saturating_sub(started.elapsed())).await;
        }
        read
    });
    gateway.process.stop().await;
    let read = reader.await.unwrap();
    assert!(read > LARGE, "{read} bytes were read, {:?} after the stop", started.elapsed());
}
