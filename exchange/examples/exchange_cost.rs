//! What one small exchange costs on a kept connection and on one of its own, one after the other
//! over loopback.
//!
//! ```sh
//! cargo run --release -p coltsfoothook-exchange --example exchange_cost -- 20000
//! ```

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfoothook_exchange::{ExchangeClient, ExchangeRequest, ExchangeSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[tokio::main]
async fn main() {
    let count = std::env::args().nth(1).map_or(20_000, |text| text.parse().expect("a number"));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_all(stream));
        }
    });
    for fresh in [false, true] {
        let mut times = exchange_all(address, fresh, count).await;
        times.sort_unstable();
        let at = |share: f64| times[(share * (times.len() - 1) as f64) as usize];
        println!(
            "fresh={fresh} count={count} p50={:?} p95={:?} p99={:?}",
            at(0.5),
            at(0.95),
            at(0.99)
        );
    }
}

async fn exchange_all(address: SocketAddr, fresh: bool, count: usize) -> Vec<Duration> {
    let client = ExchangeClient::new(ExchangeSettings::default());
    let mut times = Vec::with_capacity(count);
    for _ in 0..count {
        let request = ExchangeRequest { fresh, ..ExchangeRequest::post_json("/x", "{}") };
        let begun = Instant::now();
        let answer = client.send(address, request).await.expect("an answer");
        answer.body.collect(16).await.expect("a body");
        times.push(begun.elapsed());
    }
    times
}

async fn answer_all(mut stream: TcpStream) {
    let mut buffer = [0; 4_096];
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}
