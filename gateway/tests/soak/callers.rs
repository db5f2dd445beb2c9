//! Callers, which query the gateways for addresses, cache the answer and send requests to these addresses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfoothook_decision::id::stable_hash;
use coltsfoothook_exchange::{
    ExchangeClient, ExchangeError, ExchangeRequest, ExchangeResponse, ExchangeSettings,
};
use futures::StreamExt;
use http::{HeaderName, HeaderValue, Method};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::{sleep, timeout};

use crate::server::{CRASHING, CRASHING_PARTS, MODEL};
use crate::world::{CALLER_KEY, LIMITED_KEY, SoakWorld};

/// The deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 5_000;
/// How many adapters requests name: more than the servers have slots for.
const ADAPTERS: usize = 9;
/// One in so many requests, on average, is abandoned by its caller after 5 to 120 ms.
const ABANDONED_ONE_IN: u32 = 12;

/// The kinds of requests. Each has a route of the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Safe,
    Once,
    Stream,
    Resumed,
    Moved,
}

impl CallKind {
    /// Returns the name of the route.
    pub(crate) fn route(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::Resumed => "resumed",
            Self::Moved => "moved",
        }
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumed)
    }

    /// Returns whether it may run once at most.
    pub(crate) fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Stream)
    }
}

/// One request and its result for the caller.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) id: String,
    pub(crate) kind: CallKind,
    pub(crate) at: SocketAddr,
    pub(crate) sent: Instant,
    pub(crate) took: Duration,
    pub(crate) end: CallEnd,
    /// The stream that it goes on with, if it does.
    pub(crate) goes_on: Option<BrokenStream>,
}

/// A stream that broke after some events.
#[derive(Clone, Debug)]
pub(crate) struct BrokenStream {
    /// The attempt that brought its first event.
    pub(crate) attempt: String,
    /// How many events had come.
    pub(crate) events: usize,
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub(crate) enum CallEnd {
    /// An answer was received. `seal` is empty if it has no server seal; `whole` is false if the body was cut.
    Answered { status: u16, seal: String, body: String, whole: bool },
    /// No byte was sent.
    Unsent,
    /// The connection ended without an answer.
    Cut,
    /// The caller abandoned the request.
    Abandoned,
}

impl CallRecord {
    /// Returns a description for a finding.
    pub(crate) fn describe(&self) -> String {
        let Self { id, kind, at, took, end, .. } = self;
        format!("{id}, {kind:?} to {at}, after {took:?}: {end:?}")
    }

    /// Returns the stream that its caller goes on with, if it broke after some events.
    fn broken_stream(&self) -> Option<BrokenStream> {
        let CallEnd::Answered { status: 200, body, whole: false, .. } = &self.end else {
            return None;
        };
        let before = self.goes_on.as_ref().map_or(0, |stream| stream.events);
        let events = before + body.matches("\n\n").count();
        let attempt = self.goes_on.as_ref().map_or(&self.id, |stream| &stream.attempt).clone();
        (self.kind == CallKind::Resumed && events > 0).then_some(BrokenStream { attempt, events })
    }

    /// Returns whether it was answered with 200 and a whole body.
    pub(crate) fn served(&self) -> bool {
        matches!(self.end, CallEnd::Answered { status: 200, whole: true, .. })
    }
}

/// Sends requests until the run is over.
pub(crate) async fn run_caller(
    world: Arc<SoakWorld>,
    number: usize,
    kinds: &[CallKind],
    mut random: Pcg64,
) {
    let client = ExchangeClient::new(ExchangeSettings { keep_ms: 9_000, ..Default::default() });
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut query_at = Instant::now();
    let mut count = 0;
    while !world.over() {
        if Instant::now() >= query_at || addresses.is_empty() {
            if let Some(current) = query_addresses(&world, &mut random).await {
                addresses = current;
            }
            // Some callers cache the answer for three times its lifetime.
            let cached_ms = if random.random_ratio(1, 4) { 6_000 } else { 2_000 };
            query_at = Instant::now() + Duration::from_millis(cached_ms);
        }
        let pause = random.random_range(20..180);
        sleep(Duration::from_millis(pause)).await;
        let Some(address) = addresses.choose(&mut random).copied() else { continue };
        count += 1;
        let id = format!("c{number}-{count}");
        let kind = *kinds.choose(&mut random).expect("there are kinds");
        let adapter =
            format!("a{}", random.random_range(0..ADAPTERS).min(random.random_range(0..ADAPTERS)));
        let record = if random.random_ratio(1, ABANDONED_ONE_IN) {
            let abandon_after = Duration::from_millis(random.random_range(5..120));
            let sent = Instant::now();
            let called = call(&client, address, kind, &id, &adapter);
            let abandoned = CallRecord {
                id: id.clone(),
                kind,
                at: address,
                sent,
                took: abandon_after,
                end: CallEnd::Abandoned,
                goes_on: None,
            };
            timeout(abandon_after, called).await.unwrap_or(abandoned)
        } else {
            call(&client, address, kind, &id, &adapter).await
        };
        if matches!(record.end, CallEnd::Unsent) {
            addresses.retain(|other| *other != address);
        }
        let broken = record.broken_stream();
        world.verdict.record(record);
        if let Some(stream) = broken
            && let Some(address) = addresses.choose(&mut random).copied()
        {
            let id = format!("{id}-on");
            world.verdict.record(go_on(&client, address, stream, &id, &adapter).await);
        }
    }
}

/// Goes on with a stream that broke, as a new attempt `id`.
async fn go_on(
    client: &ExchangeClient,
    address: SocketAddr,
    stream: BrokenStream,
    id: &str,
    adapter: &str,
) -> CallRecord {
    let kind = CallKind::Resumed;
    let path = format!("/{}/x", kind.route());
    let request = SoakRequest { path, id, adapter, crashing_part: None, goes_on: Some(stream) };
    call_path(client, address, kind, request).await
}

/// Sends requests to one gateway, every 90 ms or more, on the route whose service changes with each configuration.
pub(crate) async fn run_probe(world: Arc<SoakWorld>, gateway: usize) {
    let client = ExchangeClient::new(ExchangeSettings::default());
    let address = world.gateways[gateway].endpoints.requests;
    let mut count = 0;
    while !world.over() {
        sleep(Duration::from_millis(90)).await;
        count += 1;
        let id = format!("g{gateway}-{count}");
        let start = world.gateways[gateway].starts();
        let record = call(&client, address, CallKind::Moved, &id, "").await;
        // If the process restarted meanwhile, it is not known which incarnation answered.
        if world.gateways[gateway].starts() == start {
            world.verdict.moved(gateway, start, &record, &world);
        }
        world.verdict.record(record);
    }
}

/// How many requests each gateway gets in a jump of demand.
const JUMP_REQUESTS: usize = 4;

/// Sends requests to all gateways at the same moment. Their callers leave after that time, if one is given.
pub(crate) async fn jump(world: &Arc<SoakWorld>, leave_after: Option<Duration>) {
    let number = world.next_jump();
    let calls = world.gateways.iter().enumerate().flat_map(|(at, gateway)| {
        let address = gateway.endpoints.requests;
        (0..JUMP_REQUESTS).map(move |request| (address, format!("j{number}-{at}-{request}")))
    });
    let records = calls.map(async |(address, id)| {
        let client = ExchangeClient::new(ExchangeSettings::default());
        let sent = Instant::now();
        let called = call(&client, address, CallKind::Safe, &id, "");
        let Some(leave_after) = leave_after else { return called.await };
        let left = CallRecord {
            id: id.clone(),
            kind: CallKind::Safe,
            at: address,
            sent,
            took: leave_after,
            end: CallEnd::Abandoned,
            goes_on: None,
        };
        timeout(leave_after, called).await.unwrap_or(left)
    });
    for record in futures::future::join_all(records).await {
        world.verdict.record(record);
    }
}

/// How many times a request that crashes servers is sent in one series.
const CRASHING_ATTEMPTS: usize = 12;

/// Sends a request that crashes each server that runs it through random gateways, again and again.
pub(crate) async fn crash_series(world: &Arc<SoakWorld>, lasts: Duration) {
    let number = world.next_jump();
    let client = ExchangeClient::new(ExchangeSettings::default());
    let mut random = Pcg64::seed_from_u64(number);
    for attempt in 0..CRASHING_ATTEMPTS {
        let gateway = world.gateways.choose(&mut random).expect("there are gateways");
        let (address, id) = (gateway.endpoints.requests, format!("k{number}-{attempt}"));
        let path = format!("/safe/{number}{CRASHING}");
        let request =
            SoakRequest { path, id: &id, adapter: "", crashing_part: None, goes_on: None };
        let record = call_path(&client, address, CallKind::Safe, request).await;
        world.verdict.record(record);
        sleep(random.random_range(Duration::ZERO..lasts / 2)).await;
    }
}

/// Sends requests through random gateways that have a part which crashes each server, and nothing else in common.
pub(crate) async fn part_series(world: &Arc<SoakWorld>, lasts: Duration) {
    let number = world.next_jump();
    let client = ExchangeClient::new(ExchangeSettings::default());
    let mut random = Pcg64::seed_from_u64(number);
    let part = CRASHING_PARTS[number as usize % CRASHING_PARTS.len()];
    for attempt in 0..CRASHING_ATTEMPTS {
        let gateway = world.gateways.choose(&mut random).expect("there are gateways");
        let kind = *[CallKind::Stream, CallKind::Resumed].choose(&mut random).expect("two kinds");
        let request = SoakRequest {
            path: format!("/{}/{number}-{attempt}", kind.route()),
            id: &format!("{part}-{number}-{attempt}"),
            adapter: &format!("a{}", random.random_range(0..ADAPTERS)),
            crashing_part: Some(part),
            goes_on: None,
        };
        let record = call_path(&client, gateway.endpoints.requests, kind, request).await;
        world.verdict.record(record);
        sleep(random.random_range(Duration::ZERO..lasts / 2)).await;
    }
}

/// Queries one gateway after another until one gives addresses. The first is drawn at random.
async fn query_addresses(world: &SoakWorld, random: &mut Pcg64) -> Option<Vec<SocketAddr>> {
    let client = ExchangeClient::new(ExchangeSettings { connect_ms: 500, ..Default::default() });
    let first = random.next_u64() as usize;
    for step in 0..world.gateways.len() {
        let endpoints = &world.gateways[(first + step) % world.gateways.len()].endpoints;
        let mut request = ExchangeRequest::get("/v1/resolve?name=a.example&region=r&zone=d1");
        request.head_timeout = Some(Duration::from_millis(500));
        let Ok(answer) = client.send(endpoints.addresses, request).await else { continue };
        let Ok(body) = answer.body.collect(1 << 16).await else { continue };
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let addresses: Vec<SocketAddr> =
            serde_json::from_value(body["addresses"].clone()).unwrap_or_default();
        if !addresses.is_empty() {
            return Some(addresses);
        }
    }
    None
}

async fn call(
    client: &ExchangeClient,
    address: SocketAddr,
    kind: CallKind,
    id: &str,
    adapter: &str,
) -> CallRecord {
    let path = format!("/{}/x", kind.route());
    let request = SoakRequest { path, id, adapter, crashing_part: None, goes_on: None };
    call_path(client, address, kind, request).await
}

/// What a request says.
struct SoakRequest<'a> {
    path: String,
    id: &'a str,
    adapter: &'a str,
    /// A part of the prompt that crashes servers.
    crashing_part: Option<&'a str>,
    /// The stream that it goes on with.
    goes_on: Option<BrokenStream>,
}

async fn call_path(
    client: &ExchangeClient,
    address: SocketAddr,
    kind: CallKind,
    request: SoakRequest<'_>,
) -> CallRecord {
    let SoakRequest { path, id, adapter, crashing_part, goes_on } = request;
    let method = if kind == CallKind::Safe { Method::GET } else { Method::POST };
    let mut request = ExchangeRequest::new(method, path);
    let mut set = |name: &'static str, value: &str| {
        let value = HeaderValue::from_str(value).expect("it is a header's value");
        request.headers.insert(HeaderName::from_static(name), value);
    };
    set("host", "a.example");
    let key = if kind == CallKind::Moved { LIMITED_KEY } else { CALLER_KEY };
    set("authorization", &format!("Bearer {key}"));
    set("coltsfoothook-request-id", id);
    set("coltsfoothook-deadline-ms", &DEADLINE_MS.to_string());
    if kind.is_stream() {
        set("coltsfoothook-model", &format!("{MODEL}/{adapter}"));
        set("coltsfoothook-token-count", "100,8");
        let crashing = crashing_part.map(|part| format!("{part}:20,")).unwrap_or_default();
        let own = stable_hash(&[id]);
        set("coltsfoothook-prompt-prefix", &format!("a1:30,{crashing}b2:40,{own:x}:30"));
    }
    if let Some(stream) = &goes_on {
        set("last-event-id", &stream.events.to_string());
        set("resumes", &stream.attempt);
    }
    request.head_timeout = Some(Duration::from_millis(DEADLINE_MS + 1_000));
    request.chunk_timeout = Some(Duration::from_millis(DEADLINE_MS + 1_000));
    let sent = Instant::now();
    let end = match client.send(address, request).await {
        Ok(answer) => read(answer).await,
        Err(error) if error.certainly_not_sent() => CallEnd::Unsent,
        Err(ExchangeError::NotSent { .. }) => CallEnd::Unsent,
        Err(_) => CallEnd::Cut,
    };
    CallRecord { id: id.to_owned(), kind, at: address, sent, took: sent.elapsed(), end, goes_on }
}

async fn read(mut answer: ExchangeResponse) -> CallEnd {
    let seal = answer.headers.get("coltsfoothook-server-seal");
    let seal = seal.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
    let status = answer.status.as_u16();
    let (mut bytes, mut whole) = (Vec::new(), true);
    while let Some(piece) = answer.body.next().await {
        match piece {
            Ok(piece) => bytes.extend_from_slice(&piece),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    let body = String::from_utf8_lossy(&bytes).into_owned();
    CallEnd::Answered { status, seal, body, whole }
}
