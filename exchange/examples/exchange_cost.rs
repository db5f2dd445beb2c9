//! Measures the latency of small sequential exchanges over loopback, first on reused connections,
//! then with a new connection for each exchange. The argument is the number of exchanges.
//!
//! ```sh
//! cargo run --release -p coltsfoothook-exchange --example exchange_cost -- 20000
//! ```

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfoothook_exchange::{ExchangeClient, ExchangeRequest, ExchangeSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[tokio::main]
async fn main() {
    let count = std::env::args()
        .nth(1)
        .map_or(20_000, |text| text.parse().expect("the argument is a number of exchanges"));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binding a loopback port");
    let address = listener.local_addr().expect("reading the local address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream));
        }
    });
    for fresh in [false, true] {
        let mut times = measure_exchanges(address, fresh, count).await;
        times.sort_unstable();
        let percentile = |quantile: f64| times[(quantile * (times.len() - 1) as f64) as usize];
        println!(
            "fresh={fresh} count={count} p50={:?} p95={:?} p99={:?}",
            percentile(0.5),
            percentile(0.95),
            percentile(0.99)
        );
    }
}

async fn measure_exchanges(address: SocketAddr, fresh: bool, count: usize) -> Vec<Duration> {
    let client = ExchangeClient::new(ExchangeSettings::default());
    let mut times = Vec::with_capacity(count);
    for _ in 0..count {
        let request = ExchangeRequest { fresh, ..ExchangeRequest::post_json("/x", "{}") };
        let started = Instant::now();
        let answer = client
            .send(address, request)
            .await
            .expect("the exchange failed before the response head");
        answer.body.collect(16).await.expect("the exchange failed in the response body");
        times.push(started.elapsed());
    }
    times
}

async fn serve_connection(mut stream: TcpStream) {
    let mut buffer = [0; 4_096];
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
        if stream.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}
