//! Generated traffic: completions of three classes, tickets that must not be created twice, and
//! audit jobs.

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

use crate::client::{CompletionRequest, SiteClient, SiteFailure};
use crate::site::{FIRST_VERSION, SERVICE, adapter_name, credential};

/// Rates and contents of the generated traffic.
#[derive(Clone, Debug)]
pub struct TrafficSettings {
    /// Completions per second, all classes together.
    pub completions_per_s: f64,
    /// Tickets per second.
    pub tickets_per_s: f64,
    /// Audit jobs per second.
    pub jobs_per_s: f64,
    /// Number of adapters of the site; requests name adapters with lower numbers.
    pub adapters: usize,
    /// Number of tenants of the site.
    pub tenants: usize,
    /// Zipf exponent of the adapters' popularity; 0 is uniform.
    pub skew: f64,
    /// Minimum and maximum number of tokens of a completion, both included.
    pub tokens: (u32, u32),
    /// Seed of arrival times and contents; ticket and job ids contain it.
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

/// Requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounts {
    /// Requests made, without retries.
    pub requests: u64,
    /// Complete and correct responses.
    pub done: u64,
    /// Requests with the outcome "not_run" at the last attempt.
    pub not_run: u64,
    /// Requests with the outcome "failed".
    pub failed: u64,
    /// Requests whose outcome the system reported as unknown or did not report.
    pub unknown: u64,
    /// Responses of another adapter or version, or to another prompt or ticket.
    pub wrong_adapter: u64,
    /// Successful responses whose text was incomplete or unreadable.
    pub cut: u64,
    /// Accepted jobs whose result could not be fetched in time.
    pub lost: u64,
    /// Retries after the outcome "not_run".
    pub retries: u64,
}

/// Latencies of successful completions, in microseconds.
#[derive(Debug)]
pub struct TrafficTimes {
    /// Time from sending to the first token.
    pub first: Histogram<u64>,
    /// Time from sending to the first token, of urgent completions.
    pub urgent_first: Histogram<u64>,
    /// Longest time between two events of each stream.
    pub gap: Histogram<u64>,
}

/// Caller addresses of the entry VMs, as given at the start or last fetched from a VM.
#[derive(Debug, Default)]
pub struct KnownEntries {
    addresses: Mutex<Vec<SocketAddr>>,
}

impl KnownEntries {
    /// Replaces all addresses.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Returns a copy of the addresses.
    #[must_use]
    pub fn get(&self) -> Vec<SocketAddr> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Generates traffic on a site and counts the outcomes of the requests.
pub struct SiteTraffic {
    settings: TrafficSettings,
    entries: KnownEntries,
    clients: Mutex<Vec<Arc<SiteClient>>>,
    counts: Mutex<TrafficCounts>,
    times: Mutex<TrafficTimes>,
    jobs: Mutex<Vec<AcceptedJob>>,
    tickets: Mutex<Vec<String>>,
    next_number: AtomicU64,
}

#[derive(Clone, Debug)]
struct AcceptedJob {
    id: String,
    tenant: usize,
    model: String,
    prompt: String,
    tokens: u32,
}

const MAX_ATTEMPTS: usize = 8;
const ENTRIES_INTERVAL: Duration = Duration::from_millis(1_000);
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(2_000);
const MAX_MICROS: u64 = 600_000_000;
const HISTOGRAM_DIGITS: u8 = 3;
const CALL_DEADLINE_MS: u64 = 30_000;

impl SiteTraffic {
    /// Creates the traffic generator; `entries` are the caller addresses of the VMs that it calls
    /// at first.
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
            next_number: AtomicU64::new(0),
        })
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> TrafficCounts {
        *lock(&self.counts)
    }

    /// Returns the 95th percentile of the time to the first token, in milliseconds, of all
    /// completions and of urgent ones.
    #[must_use]
    pub fn first_p95_ms(&self) -> (f64, f64) {
        let times = lock(&self.times);
        let p95 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.95) as f64 / 1_000.0;
        (p95(&times.first), p95(&times.urgent_first))
    }

    /// Returns the 95th percentile over streams of the longest gap between two events, in
    /// milliseconds.
    #[must_use]
    pub fn gap_p95_ms(&self) -> f64 {
        lock(&self.times).gap.value_at_quantile(0.95) as f64 / 1_000.0
    }

    /// Sends requests as a Poisson process until `stop`, then waits until all have ended.
    pub async fn run(self: &Arc<Self>, stop: CancellationToken) {
        let mut tasks = JoinSet::new();
        let refresh = tokio::spawn(Arc::clone(self).refresh_entries(stop.clone()));
        let mut rng = Pcg64::seed_from_u64(self.settings.seed);
        let rates = [
            self.settings.completions_per_s,
            self.settings.tickets_per_s,
            self.settings.jobs_per_s,
        ];
        let total: f64 = rates.iter().sum();
        let mut due = Instant::now();
        while !stop.is_cancelled() {
            let uniform: f64 = rng.random();
            due += Duration::from_secs_f64(-(1.0 - uniform).ln() / total);
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
        let _ = refresh.await;
    }

    fn draw(&self, rng: &mut Pcg64) -> DrawnCall {
        let adapter = zipf(rng, self.settings.adapters, self.settings.skew);
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (min, max) = self.settings.tokens;
        let class = match rng.random_range(0..10) {
            0..3 => "urgent",
            3..9 => "scheduled",
            _ => "audit",
        };
        DrawnCall {
            tenant: adapter % self.settings.tenants,
            model: format!("{}@{FIRST_VERSION}", adapter_name(adapter)),
            prompt: format!("chiller {number} of hall {}", rng.random_range(0..9)),
            tokens: rng.random_range(min..=max),
            class,
            number,
            entry_index: rng.random_range(0..usize::from(u16::MAX)),
        }
    }

    async fn completion(self: Arc<Self>, call: DrawnCall) {
        lock(&self.counts).requests += 1;
        let request = Arc::new(CompletionRequest {
            model: call.model.clone(),
            prompt: call.prompt.clone(),
            max_tokens: call.tokens,
            class: call.class,
            deadline_ms: Some(CALL_DEADLINE_MS),
            ..Default::default()
        });
        let attempt = |client: Arc<SiteClient>| {
            let request = Arc::clone(&request);
            async move { client.complete(&request).await }
        };
        let result = self.with_retries(&call, attempt).await;
        match result {
            Ok(read) => {
                self.check_answer(&call, &read.text);
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

    /// Requests a ticket, which must not be created twice. All attempts have the same idempotency
    /// key.
    async fn ticket(self: Arc<Self>, call: DrawnCall) {
        lock(&self.counts).requests += 1;
        let id = format!("ticket-{}-{}", self.settings.seed, call.number);
        let path = format!("/v1/services/{SERVICE}/tickets");
        let body = json!({ "id": id });
        let attempt = |client: Arc<SiteClient>| {
            let (path, body, id) = (path.clone(), body.clone(), id.clone());
            async move {
                // Retries follow only after "not_run", so no earlier attempt has run.
                client.service_try(Method::POST, &path, Some(body), Some(&id), true).await
            }
        };
        match self.with_retries(&call, attempt).await {
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
        let attempt = |client: Arc<SiteClient>| {
            let (body, id) = (body.clone(), id.clone());
            async move { client.service(Method::POST, "/v1/jobs", Some(body), Some(&id)).await }
        };
        match self.with_retries(&call, attempt).await {
            Ok(_) => {
                let DrawnCall { tenant, model, prompt, tokens, .. } = call;
                lock(&self.jobs).push(AcceptedJob { id, tenant, model, prompt, tokens });
            }
            Err(failure) => self.count_failure(&failure),
        }
    }

    /// Fetches the result of each accepted job. A job without a result after `within` counts as
    /// lost.
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
                    self.check_answer(&call, text.unwrap_or_default());
                    return;
                }
                Err(_) if Instant::now() < until => sleep(JOB_POLL_INTERVAL).await,
                Err(_) => break,
            }
        }
        lock(&self.counts).lost += 1;
    }

    /// Runs `run` at successive entry VMs, at most [`MAX_ATTEMPTS`] times. Only a transient
    /// failure with the outcome "not_run" is retried.
    async fn with_retries<T, Run, Running>(
        &self,
        call: &DrawnCall,
        run: Run,
    ) -> Result<T, SiteFailure>
    where
        Run: Fn(Arc<SiteClient>) -> Running,
        Running: Future<Output = Result<T, SiteFailure>>,
    {
        let mut last_failure = None;
        for entry_index in call.entry_index..call.entry_index + MAX_ATTEMPTS {
            let Some(client) = self.client(call.tenant, entry_index) else { break };
            let failure = match run(client).await {
                Ok(value) => return Ok(value),
                Err(failure) => failure,
            };
            let retry = failure.outcome() == "not_run" && failure.is_transient();
            last_failure = Some(failure);
            if !retry {
                break;
            }
            lock(&self.counts).retries += 1;
            sleep(retry_delay(last_failure.as_ref())).await;
        }
        Err(last_failure
            .unwrap_or(SiteFailure::Unreadable { detail: "no entry VM is known".to_owned() }))
    }

    fn check_answer(&self, call: &DrawnCall, text: &str) {
        let mut counts = lock(&self.counts);
        let Ok(answer) = read_answer(text) else {
            counts.cut += 1;
            return;
        };
        let correct = answer.adapter == call.model && answer.prompt == prompt_hash(&call.prompt);
        let complete = answer.first == 0 && answer.tokens == call.tokens;
        match (correct, complete) {
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

    fn client(&self, tenant: usize, entry_index: usize) -> Option<Arc<SiteClient>> {
        let entries = self.entries.get();
        let address = *entries.get(entry_index % entries.len().max(1))?;
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

    /// Fetches the list of entry VMs periodically until `stop`. An empty or failed response keeps
    /// the addresses known so far.
    async fn refresh_entries(self: Arc<Self>, stop: CancellationToken) {
        let mut entry_index = 0;
        while !stop.is_cancelled() {
            sleep(ENTRIES_INTERVAL).await;
            entry_index += 1;
            let Some(client) = self.client(0, entry_index) else { continue };
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
    entry_index: usize,
}

/// Returns the delay that the problem document states, at least 20 ms and at most
/// [`MAX_RETRY_DELAY`].
fn retry_delay(failure: Option<&SiteFailure>) -> Duration {
    let stated = match failure {
        Some(SiteFailure::Problem { problem, .. }) => {
            problem.get("retry_after_ms").and_then(Value::as_u64).unwrap_or(0)
        }
        _ => 0,
    };
    Duration::from_millis(stated.max(20)).min(MAX_RETRY_DELAY)
}

/// Draws a number below `count` from the Zipf distribution with exponent `skew`.
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
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).clamp(1, MAX_MICROS)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, HISTOGRAM_DIGITS)
        .expect("the bounds are constant and valid")
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
