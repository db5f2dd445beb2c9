//! Reads many streams at once from one model engine stand-in and checks each, to see what the
//! stand-in and the client can carry by themselves.
//!
//! ```sh
//! cargo run --release -p coltsfoothook-standin --example many_streams -- 500 200
//! ```

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfoothook_decision::id::{OwnerEpoch, SlotName};
use coltsfoothook_engine::{EngineClient, EngineSettings, HttpEngine, LoadOrder, RunCall};
use coltsfoothook_standin::{EngineServerSettings, prompt_hash, read_answer, start_engine};
use coltsfoothook_telemetry::process_usage;
use futures::StreamExt;
use futures::future::join_all;
use serde_json::{Value, json};

const SLOT: &str = "alarms@v3#1.1";

struct StreamFigures {
    first_token: Duration,
    /// Between two pieces of the answer.
    gaps: Vec<Duration>,
    whole: bool,
}

#[tokio::main]
async fn main() {
    let mut numbers = std::env::args().skip(1).map(|text| text.parse().expect("a number"));
    let (streams, tokens) = (numbers.next().unwrap_or(500), numbers.next().unwrap_or(200));
    let settings = EngineServerSettings {
        batch_slots: streams,
        request_us: 0,
        adapter_us: 0,
        prefill_tokens: 1_000_000,
        ..Default::default()
    };
    let step = Duration::from_micros(settings.step_us);
    let engine = start_engine(settings).await.expect("a free port");
    let client = Arc::new(HttpEngine::new(EngineSettings::default()));
    let order = LoadOrder {
        slot: SlotName::from(SLOT),
        weights: "store://alarms/v3".to_owned(),
        fencing: OwnerEpoch(1),
    };
    client.load(engine.address(), &order).await.expect("a load");
    let (begun, before) = (Instant::now(), process_usage());
    let runs = (0..streams).map(|number| {
        let (client, address) = (client.clone(), engine.address());
        tokio::spawn(async move { read_stream(&client, address, number, tokens).await })
    });
    let figures: Vec<_> = join_all(runs).await.into_iter().map(Result::unwrap).collect();
    let (took, after) = (begun.elapsed(), process_usage());
    let counters = engine.counters();
    let whole = figures.iter().filter(|stream| stream.whole).count();
    let firsts = figures.iter().map(|stream| stream.first_token).collect();
    let gaps = figures.into_iter().flat_map(|stream| stream.gaps).collect();
    println!(
        "streams={streams} tokens_each={tokens} whole={whole} step={step:?} took={took:?} \
         steps={} batch_mean={:.1} {} {} cpu_s={:.2} resident_mb={:.1}",
        counters.steps,
        counters.batch_mean(),
        quantiles("first_token", firsts),
        quantiles("gap", gaps),
        after.cpu_seconds - before.cpu_seconds,
        after.resident_bytes as f64 / 1e6,
    );
    engine.shutdown().await;
}

async fn read_stream(
    client: &HttpEngine,
    address: std::net::SocketAddr,
    number: u32,
    tokens: u32,
) -> StreamFigures {
    let prompt = format!("chiller {number}");
    let body = json!({ "model": SLOT, "prompt": prompt, "max_tokens": tokens, "stream": true })
        .to_string();
    let call =
        RunCall { body: body.into(), id: format!("r-{number}").into(), ..Default::default() };
    let begun = Instant::now();
    let mut answer = client.run(address, call).await.expect("an answer");
    let (mut bytes, mut times) = (Vec::new(), Vec::new());
    while let Some(piece) = answer.body.next().await {
        bytes.extend_from_slice(&piece.expect("a whole answer"));
        times.push(Instant::now());
    }
    let proof = read_answer(&text_of(&bytes)).expect("a whole answer");
    StreamFigures {
        first_token: times[0] - begun,
        gaps: times.windows(2).map(|pair| pair[1] - pair[0]).collect(),
        whole: (proof.prompt, proof.first, proof.tokens) == (prompt_hash(&prompt), 0, tokens),
    }
}

fn text_of(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let events = text.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let parsed = events.filter_map(|json| serde_json::from_str::<Value>(json).ok());
    parsed.filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned)).collect()
}

fn quantiles(name: &str, mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let at = |share: f64| times[(share * (times.len() - 1) as f64) as usize];
    format!("{name}_p50={:?} {name}_p95={:?} {name}_max={:?}", at(0.5), at(0.95), at(1.0))
}
