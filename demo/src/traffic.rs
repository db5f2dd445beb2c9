//! Mixed load on a site: completions of three classes, tickets that must not double, audit jobs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use coltsfoothook_standin::{prompt_hash, read_answer};
use hdrhistogram::Histogram;
use http::Method;
use rand::{Rng, RngExt};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::client::{CompletionAsk, SiteClient, SiteFailure};
use crate::site::{FIRST_VERSION, SERVICE, adapter_name, credential};

/// What is asked of a site.
#[derive(Clone, Debug)]
pub struct TrafficSettings {
    /// Completions a second, of all classes.
    pub completions_per_s: f64,
    /// Tickets a second.
    pub tickets_per_s: f64,
    /// Audit jobs a second.
    pub jobs_per_s: f64,
    /// Adapters of the site.
    pub adapters: usize,
    /// Tenants of the site.
    pub tenants: usize,
    /// How skewed the adapters' popularity is; 0 is even, 1 is Zipf's law.
    pub skew: f64,
    /// Tokens of a completion, at the least and at the most.
    pub tokens: (u32, u32),
    /// The seed of arrivals and choices.
    pub seed: u64,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self {
            completions_per_s: 40.0,
            tickets_per_s: 4.0,
            jobs_per_s: 1.0,
            adapters: 8,
            tenants: 2,
            skew: 1.0,
            tokens: (8, 48),
            seed: 1,
        }
    }
}

/// What became of the calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounts {
    /// Calls made, each under its own id.
    pub requests: u64,
    /// Whole and right answers.
    pub done: u64,
    /// Calls that the system said did not run, after all tries of the caller.
    pub not_run: u64,
    /// Calls that the system said failed.
    pub failed: u64,
    /// Calls of which the system said that it does not know.
    pub unknown: u64,
    /// Answers of another adapter or version, or to another prompt.
    pub wrong_adapter: u64,
    /// Answers that ended short although the system said that they were whole.
    pub cut: u64,
    /// Jobs that were accepted and have no result, or results that were lost.
    pub lost: u64,
    /// Callers' further tries after "not run".
    pub retries: u64,
}

/// Times of whole answers, in microseconds.
#[derive(Debug)]
pub struct TrafficTimes {
    /// From sending to the first token, of all streamed completions.
    pub first: Histogram<u64>,
    /// The same of urgent ones.
    pub urgent_first: Histogram<u64>,
    /// The longest time between two events of a stream.
    pub gap: Histogram<u64>,
}

/// The entry VMs as callers know them: asked for, kept for a while, asked for again.
#[derive(Debug, Default)]
pub struct KnownEntries {
    addresses: Mutex<Vec<SocketAddr>>,
}

impl KnownEntries {
    /// Replaces what is known.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// What is known.
    #[must_use]
    pub fn get(&self) -> Vec<SocketAddr> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Callers at work, and what they saw.
pub struct SiteTraffic {
    settings: TrafficSettings,
    entries: KnownEntries,
    clients: Mutex<Vec<Arc<SiteClient>>>,
    counts: Mutex<TrafficCounts>,
    times: Mutex<TrafficTimes>,
    jobs: Mutex<Vec<AcceptedJob>>,
    tickets: Mutex<Vec<String>>,
    numbers: AtomicU64,
}

#[derive(Clone, Debug)]
struct AcceptedJob {
    id: String,
    tenant: usize,
    model: String,
    prompt: String,
    tokens: u32,
}

const TRIES: usize = 8;
const LIST_PERIOD: Duration = Duration::from_millis(1_000);
const JOB_POLL: Duration = Duration::from_millis(200);
const LONGEST_RETRY: Duration = Duration::from_millis(2_000);
const MOST_MICROS: u64 = 600_000_000;
const HISTOGRAM_DIGITS: u8 = 3;
const CALL_DEADLINE_MS: u64 = 30_000;

impl SiteTraffic {
    /// Callers that know the VMs at `entries`.
    #[must_use]
    pub fn new(settings: TrafficSettings, entries: Vec<SocketAddr>) -> Arc<Self> {
        let known = KnownEntries::default();
        known.set(entries);
        Arc::new(Self {
            settings,
            entries: known,
            clients: Mutex::default(),
            counts: Mutex::default(),
            times: Mutex::new(TrafficTimes {
                first: histogram(),
                urgent_first: histogram(),
                gap: histogram(),
            }),
            jobs: Mutex::default(),
            tickets: Mutex::default(),
            numbers: AtomicU64::new(0),
        })
    }

    /// The counts so far.
    #[must_use]
    pub fn counts(&self) -> TrafficCounts {
        *lock(&self.counts)
    }

    /// The 95th centile of the time to the first token, in milliseconds, of all and of urgent ones.
    #[must_use]
    pub fn first_p95_ms(&self) -> (f64, f64) {
        let times = lock(&self.times);
        let p95 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.95) as f64 / 1_000.0;
        (p95(&times.first), p95(&times.urgent_first))
    }

    /// The 95th centile of the longest gap in a stream, in milliseconds.
    #[must_use]
    pub fn gap_p95_ms(&self) -> f64 {
        lock(&self.times).gap.value_at_quantile(0.95) as f64 / 1_000.0
    }

    /// Sends calls until `stop`, then waits until each has ended.
    pub async fn run(self: &Arc<Self>, stop: CancellationToken) {
        let mut tasks = JoinSet::new();
        let listing = tokio::spawn(Arc::clone(self).keep_entries(stop.clone()));
        let mut rng = Pcg64::seed_from_u64(self.settings.seed);
        let rates = [
            self.settings.completions_per_s,
            self.settings.tickets_per_s,
            self.settings.jobs_per_s,
        ];
        let total: f64 = rates.iter().sum();
        let mut due = Instant::now();
        while !stop.is_cancelled() {
            let even: f64 = rng.random();
            due += Duration::from_secs_f64(-(1.0 - even).ln() / total);
            sleep_until(due).await;
            let choice = rng.random::<f64>() * total;
            let call = self.draw(&mut rng);
            let this = Arc::clone(self);
            if choice < rates[0] {
                tasks.spawn(async move { this.completion(call).await });
            } else if choice < rates[0] + rates[1] {
                tasks.spawn(async move { this.ticket(call).await });
            } else {
                tasks.spawn(async move { this.job(call).await });
            }
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
        let _ = listing.await;
    }

    fn draw(&self, rng: &mut Pcg64) -> DrawnCall {
        let adapter = zipf(rng, self.settings.adapters, self.settings.skew);
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (least, most) = self.settings.tokens;
        let class = match rng.random_range(0..10) {
            0..3 => "urgent",
            3..9 => "scheduled",
            _ => "audit",
        };
        DrawnCall {
            tenant: adapter % self.settings.tenants,
            model: format!("{}@{FIRST_VERSION}", adapter_name(adapter)),
            prompt: format!("chiller {number} of hall {}", rng.random_range(0..9)),
            tokens: rng.random_range(least..=most),
            class,
            number,
            pick: rng.random_range(0..usize::from(u16::MAX)),
        }
    }

    async fn completion(self: Arc<Self>, call: DrawnCall) {
        lock(&self.counts).requests += 1;
        let ask = Arc::new(CompletionAsk {
            model: call.model.clone(),
            prompt: call.prompt.clone(),
            max_tokens: call.tokens,
            class: call.class,
            deadline_ms: Some(CALL_DEADLINE_MS),
            ..Default::default()
        });
        let asked = |client: Arc<SiteClient>| {
            let ask = Arc::clone(&ask);
            async move { client.complete(&ask).await }
        };
        let result = self.tried(&call, asked).await;
        match result {
            Ok(read) => {
                self.judge(&call, &read.text);
                let mut times = lock(&self.times);
                let _ = times.first.record(micros(read.first));
                let _ = times.gap.record(micros(read.gap));
                if call.class == "urgent" {
                    let _ = times.urgent_first.record(micros(read.first));
                }
            }
            Err(failure) => self.count_failure(&failure),
        }
    }

    /// Asks for a ticket, which must not be made twice. Each try goes out under the same key.
    async fn ticket(self: Arc<Self>, call: DrawnCall) {
        lock(&self.counts).requests += 1;
        let id = format!("ticket-{}-{}", self.settings.seed, call.number);
        let path = format!("/v1/services/{SERVICE}/tickets");
        let body = json!({ "id": id });
        let asked = |client: Arc<SiteClient>| {
            let (path, body, id) = (path.clone(), body.clone(), id.clone());
            async move {
                // Further tries follow only upon "not run", so each is a first one.
                client.service_try(Method::POST, &path, Some(body), Some(&id), true).await
            }
        };
        match self.tried(&call, asked).await {
            Ok(answer) if answer.get("id").and_then(Value::as_str) == Some(id.as_str()) => {
                lock(&self.counts).done += 1;
                lock(&self.tickets).push(id);
            }
            Ok(_) => lock(&self.counts).wrong_adapter += 1,
            Err(failure) => self.count_failure(&failure),
        }
    }

    async fn job(self: Arc<Self>, call: DrawnCall) {
        lock(&self.counts).requests += 1;
        let id = format!("audit-{}-{}", self.settings.seed, call.number);
        let body = json!({ "model": call.model, "prompt": call.prompt, "max_tokens": call.tokens });
        let asked = |client: Arc<SiteClient>| {
            let (body, id) = (body.clone(), id.clone());
            async move { client.service(Method::POST, "/v1/jobs", Some(body), Some(&id)).await }
        };
        match self.tried(&call, asked).await {
            Ok(_) => {
                let DrawnCall { tenant, model, prompt, tokens, .. } = call;
                lock(&self.jobs).push(AcceptedJob { id, tenant, model, prompt, tokens });
            }
            Err(failure) => self.count_failure(&failure),
        }
    }

    /// Fetches the result of each accepted job. One that has none within `within` is lost.
    pub async fn collect_jobs(self: &Arc<Self>, within: Duration) {
        let until = Instant::now() + within;
        let jobs = std::mem::take(&mut *lock(&self.jobs));
        for job in jobs {
            self.collect_job(&job, until).await;
        }
    }

    async fn collect_job(&self, job: &AcceptedJob, until: Instant) {
        let path = format!("/v1/jobs/{}/result", job.id);
        loop {
            let Some(client) = self.client(job.tenant, job.tokens as usize) else { break };
            match client.json(Method::GET, &path, None).await {
                Ok(answer) => {
                    let text = answer.pointer("/choices/0/text").and_then(Value::as_str);
                    let call = DrawnCall {
                        tenant: job.tenant,
                        model: job.model.clone(),
                        prompt: job.prompt.clone(),
                        tokens: job.tokens,
                        ..Default::default()
                    };
                    self.judge(&call, text.unwrap_or_default());
                    return;
                }
                Err(_) if Instant::now() < until => sleep(JOB_POLL).await,
                Err(_) => break,
            }
        }
        lock(&self.counts).lost += 1;
    }

    /// Tries a call as a careful caller does: again elsewhere after "not run", else not. A call that
    /// carries a key may also be sent again after "unknown", since the key protects it.
    async fn tried<T, Run, Running>(&self, call: &DrawnCall, run: Run) -> Result<T, SiteFailure>
    where
        Run: Fn(Arc<SiteClient>) -> Running,
        Running: Future<Output = Result<T, SiteFailure>>,
    {
        let mut last = None;
        for pick in call.pick..call.pick + TRIES {
            let Some(client) = self.client(call.tenant, pick) else { break };
            let failure = match run(client).await {
                Ok(value) => return Ok(value),
                Err(failure) => failure,
            };
            let again = failure.outcome() == "not_run" && failure.may_pass();
            last = Some(failure);
            if !again {
                break;
            }
            lock(&self.counts).retries += 1;
            sleep(retry_after(last.as_ref())).await;
        }
        Err(last.unwrap_or(SiteFailure::Unreadable { detail: "no entry VM is known".to_owned() }))
    }

    fn judge(&self, call: &DrawnCall, text: &str) {
        let mut counts = lock(&self.counts);
        let Ok(proof) = read_answer(text) else {
            counts.cut += 1;
            return;
        };
        let right = proof.adapter == call.model && proof.prompt == prompt_hash(&call.prompt);
        let whole = proof.first == 0 && proof.tokens == call.tokens;
        match (right, whole) {
            (false, _) => counts.wrong_adapter += 1,
            (true, false) => counts.cut += 1,
            (true, true) => counts.done += 1,
        }
    }

    fn count_failure(&self, failure: &SiteFailure) {
        let mut counts = lock(&self.counts);
        match failure.outcome() {
            "not_run" => counts.not_run += 1,
            "failed" => counts.failed += 1,
            _ => counts.unknown += 1,
        }
    }

    fn client(&self, tenant: usize, pick: usize) -> Option<Arc<SiteClient>> {
        let entries = self.entries.get();
        let address = *entries.get(pick % entries.len().max(1))?;
        let credential = credential(tenant);
        let mut clients = lock(&self.clients);
        let known = clients.iter().find(|client| client.is_for(address, &credential));
        if let Some(client) = known {
            return Some(Arc::clone(client));
        }
        let client = Arc::new(SiteClient::new(address, &credential));
        clients.push(Arc::clone(&client));
        Some(client)
    }

    /// Asks for the list of entry VMs now and then, as callers do.
    async fn keep_entries(self: Arc<Self>, stop: CancellationToken) {
        let mut pick = 0;
        while !stop.is_cancelled() {
            sleep(LIST_PERIOD).await;
            pick += 1;
            let Some(client) = self.client(0, pick) else { continue };
            let Ok(answer) = client.json(Method::GET, "/v1/entries", None).await else { continue };
            let entries = answer.get("entries").and_then(Value::as_array);
            let addresses: Vec<SocketAddr> = entries
                .into_iter()
                .flatten()
                .filter_map(|entry| entry.get("address")?.as_str()?.parse().ok())
                .collect();
            if !addresses.is_empty() {
                self.entries.set(addresses);
            }
        }
    }
}

#[derive(Clone, Debug, Default)]
struct DrawnCall {
    tenant: usize,
    model: String,
    prompt: String,
    tokens: u32,
    class: &'static str,
    number: u64,
    pick: usize,
}

fn retry_after(failure: Option<&SiteFailure>) -> Duration {
    let stated = match failure {
        Some(SiteFailure::Problem { problem, .. }) => {
            problem.get("retry_after_ms").and_then(Value::as_u64).unwrap_or(0)
        }
        _ => 0,
    };
    Duration::from_millis(stated.max(20)).min(LONGEST_RETRY)
}

/// Draws a number below `count` by Zipf's law with exponent `skew`.
fn zipf(rng: &mut impl Rng, count: usize, skew: f64) -> usize {
    let weight = |at: usize| 1.0 / ((at + 1) as f64).powf(skew);
    let total: f64 = (0..count).map(weight).sum();
    let mut left = rng.random::<f64>() * total;
    for at in 0..count {
        left -= weight(at);
        if left <= 0.0 {
            return at;
        }
    }
    count - 1
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).clamp(1, MOST_MICROS)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MOST_MICROS, HISTOGRAM_DIGITS).expect("the bounds are good")
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
