//! Endpoints of the model engine stand-in other than completions: orders, reports and KV caches.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfoothook_decision::report::EngineReport;
use coltsfoothook_engine::{EngineRole, FENCING_HEADER, KvExport};
use coltsfoothook_exchange::ExchangeRequest;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::batch::{AdapterSlot, EngineState};
use crate::engine::{EngineServer, LoadFault, MAX_SMALL_BODY};
use crate::reply::{self, Refusal, Reply};

/// Maximum number of imported KV caches kept.
const IMPORT_LIMIT: usize = 256;
/// Maximum size in bytes of the weight store's answer.
const MAX_STORE_ANSWER: usize = 64 * 1024;

/// Result of a load; `None` while it is in progress.
type LoadResult = Option<Result<(), String>>;

#[derive(Serialize, Deserialize)]
struct LoadBody {
    lora_name: String,
    lora_path: String,
}

#[derive(Serialize, Deserialize)]
struct UnloadBody {
    lora_name: String,
}

#[derive(Serialize, Deserialize)]
struct RoleBody {
    role: EngineRole,
}

#[derive(Serialize)]
struct FetchBody<'a> {
    path: &'a str,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

#[derive(Serialize)]
struct ModelItem {
    id: String,
    object: &'static str,
    root: String,
}

impl EngineServer {
    pub(crate) async fn handle_load(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Reply, Refusal> {
        let fencing = fencing(&request);
        let body: LoadBody = reply::read_json(request, MAX_SMALL_BODY).await?;
        let mut loaded = self.begin_load(&body, fencing)?;
        let result = match loaded.wait_for(Option::is_some).await {
            Ok(result) => result.clone().unwrap_or(Ok(())),
            Err(_) => Err("engine restarted".to_owned()),
        };
        let fault = self.endpoint_state().faults.load;
        if let LoadFault::Late { by_ms } = fault {
            tokio::time::sleep(Duration::from_millis(by_ms)).await;
        }
        match result {
            Ok(()) => Ok(reply::ok(&"loaded")),
            Err(reason) => Err(reply::refusal(StatusCode::BAD_GATEWAY, "load_failed", &reason)),
        }
    }

    /// Takes a slot and starts the load, or joins a load of the same weights. The load continues if
    /// the caller disconnects.
    fn begin_load(
        self: &Arc<Self>,
        body: &LoadBody,
        fencing: Option<u64>,
    ) -> Result<watch::Receiver<LoadResult>, Refusal> {
        let mut state = self.lock();
        state.check_fencing(fencing)?;
        let at = match state.slot(&body.lora_name) {
            Ok(at) if state.slots[at].weights == body.lora_path => {
                return Ok(state.slots[at].loaded.subscribe());
            }
            Ok(_) => {
                let message = "the name is already used for other weights";
                return Err(reply::refusal(StatusCode::BAD_REQUEST, "name_taken", message));
            }
            Err(at) => at,
        };
        if state.slots.len() >= self.settings.adapter_slots as usize {
            state.counters.loads_full += 1;
            return Err(reply::refusal(StatusCode::CONFLICT, "slots_full", "all slots are taken"));
        }
        let slot = AdapterSlot {
            name: body.lora_name.clone(),
            weights: body.lora_path.clone(),
            running: 0,
            loaded: watch::Sender::new(None),
        };
        let loaded = slot.loaded.subscribe();
        state.slots.insert(at, slot);
        let (engine, incarnation) = (self.clone(), state.incarnation);
        let (name, path) = (body.lora_name.clone(), body.lora_path.clone());
        self.control.spawn(async move {
            let result = engine.fetch(&path).await;
            let mut state = engine.lock();
            if state.incarnation == incarnation {
                state.end_load(&name, result);
            }
        });
        Ok(loaded)
    }

    /// Loads weights: requests them from the weight store, if one is set, and waits for `load_ms`.
    async fn fetch(&self, path: &str) -> Result<(), String> {
        let released = self.control.hang_token();
        let fault = self.endpoint_state().faults.load;
        match fault {
            LoadFault::Fail => return Err("load fault".to_owned()),
            LoadFault::Hang => {
                released.cancelled().await;
                return Err("load hung".to_owned());
            }
            LoadFault::None | LoadFault::Late { .. } => {}
        }
        if let Some(store) = self.settings.store {
            let body = serde_json::to_vec(&FetchBody { path }).unwrap_or_default();
            let request = ExchangeRequest::post_json("/v1/weights", body);
            let answer =
                self.store.send(store, request).await.map_err(|error| error.to_string())?;
            let status = answer.status;
            answer.body.collect(MAX_STORE_ANSWER).await.map_err(|error| error.to_string())?;
            if status != StatusCode::OK {
                return Err(format!("weight store answered {status}"));
            }
        }
        tokio::time::sleep(Duration::from_millis(self.settings.load_ms)).await;
        Ok(())
    }

    pub(crate) async fn handle_unload(&self, request: Request<Incoming>) -> Result<Reply, Refusal> {
        let fencing = fencing(&request);
        let body: UnloadBody = reply::read_json(request, MAX_SMALL_BODY).await?;
        let mut state = self.lock();
        state.check_fencing(fencing)?;
        let Ok(at) = state.slot(&body.lora_name) else {
            return Err(reply::refusal(StatusCode::NOT_FOUND, "not_loaded", "no such slot"));
        };
        state.remove_slot(at);
        state.counters.unloads += 1;
        Ok(reply::ok(&"unloaded"))
    }

    pub(crate) async fn handle_role(&self, request: Request<Incoming>) -> Result<Reply, Refusal> {
        let fencing = fencing(&request);
        let body: RoleBody = reply::read_json(request, MAX_SMALL_BODY).await?;
        self.lock().check_fencing(fencing)?;
        self.endpoint_state().role = body.role;
        Ok(reply::ok(&body))
    }

    pub(crate) fn handle_models(&self) -> Reply {
        let state = self.lock();
        let item = |slot: &AdapterSlot| ModelItem {
            id: slot.name.clone(),
            object: "model",
            root: slot.weights.clone(),
        };
        let loaded = state.slots.iter().filter(|slot| slot.is_loaded());
        reply::ok(&ModelList { object: "list", data: loaded.map(item).collect() })
    }

    /// Answers with the newest report that is at least as old as the lag, or the oldest kept one;
    /// without a lag with the present state.
    pub(crate) fn handle_report(&self) -> Reply {
        let lagging = self.lagging_report();
        let report = lagging.unwrap_or_else(|| self.lock().report());
        let leaving = self.endpoint_state().faults.states.leaving;
        reply::ok(&EngineReport { leaving, ..report })
    }

    fn lagging_report(&self) -> Option<EngineReport> {
        let lag = self.report_lag();
        if lag.is_zero() {
            return None;
        }
        let now = Instant::now();
        let endpoint_state = self.endpoint_state();
        let lagging =
            endpoint_state.reports.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
        lagging.or(endpoint_state.reports.front()).map(|(_, report)| report.clone())
    }

    pub(crate) fn handle_events(&self, request: &Request<Incoming>) -> Result<Reply, Refusal> {
        let from = reply::query_number(request, "from", 0)?;
        let lag = Duration::from_millis(self.settings.event_lag_ms);
        Ok(reply::ok(&self.lock().prefixes.events(from, Instant::now(), lag)))
    }

    pub(crate) fn handle_export(&self, id: &str) -> Result<Reply, Refusal> {
        let found = self.lock().stream(id);
        let stream = found.ok_or_else(no_stream)?;
        let tokens = stream.progress.borrow().next;
        let weights = stream.weights.clone();
        Ok(reply::ok(&KvExport { weights, prompt_hash: stream.prompt, tokens }))
    }

    pub(crate) async fn handle_import(
        &self,
        request: Request<Incoming>,
        id: &str,
    ) -> Result<Reply, Refusal> {
        let kv: KvExport = reply::read_json(request, MAX_SMALL_BODY).await?;
        let mut endpoint_state = self.endpoint_state();
        if endpoint_state.imports.len() >= IMPORT_LIMIT {
            endpoint_state.imports.pop_front();
        }
        endpoint_state.imports.push_back((id.to_owned(), kv.clone()));
        Ok(reply::ok(&kv))
    }
}

/// Makes the refusal for an unknown stream.
pub(crate) fn no_stream() -> Refusal {
    reply::refusal(StatusCode::NOT_FOUND, "no_stream", "no such stream")
}

/// Returns the fencing number of an order, or `None` if it has none or it is not a number.
fn fencing(request: &Request<Incoming>) -> Option<u64> {
    reply::header_text(request, FENCING_HEADER.as_str()).parse().ok()
}

impl AdapterSlot {
    /// Returns whether the adapter is loaded, so that requests can run on the slot.
    pub(crate) fn is_loaded(&self) -> bool {
        *self.loaded.borrow() == Some(Ok(()))
    }
}

impl EngineState {
    /// Refuses an order with a stale fencing number or without one, if the engine checks them.
    fn check_fencing(&mut self, number: Option<u64>) -> Result<(), Refusal> {
        let checks = self.settings.checks_fencing;
        let Some(number) = number else {
            if checks {
                let status = StatusCode::PRECONDITION_REQUIRED;
                return Err(reply::refusal(status, "no_fencing", "fencing number missing"));
            }
            return Ok(());
        };
        if number >= self.highest_fencing {
            self.highest_fencing = number;
            return Ok(());
        }
        if checks {
            self.counters.stale_refused += 1;
            let message = format!("fencing number {number} is below {}", self.highest_fencing);
            return Err(reply::refusal(StatusCode::CONFLICT, "stale_fencing", &message));
        }
        self.counters.stale_obeyed += 1;
        Ok(())
    }

    /// Returns the weights in a loaded slot; refuses if the slot is not loaded or the queue is
    /// full.
    pub(crate) fn weights_to_run(&mut self, name: &str) -> Result<String, Refusal> {
        let slot = self.slot(name).ok().map(|at| &self.slots[at]);
        let Some(slot) = slot.filter(|slot| slot.is_loaded()) else {
            self.counters.slot_missing += 1;
            let message = format!("The model `{name}` does not exist.");
            return Err(reply::refusal(StatusCode::NOT_FOUND, "model_not_found", &message));
        };
        if self.waiting.len() >= self.settings.max_waiting {
            let status = StatusCode::TOO_MANY_REQUESTS;
            return Err(reply::refusal(status, "queue_full", "too many waiting requests"));
        }
        Ok(slot.weights.clone())
    }

    /// Records the result of a load; a failed load frees its slot.
    fn end_load(&mut self, name: &str, result: Result<(), String>) {
        let Ok(at) = self.slot(name) else {
            return;
        };
        match result {
            Ok(()) => {
                self.counters.loads += 1;
                self.slots[at].loaded.send_replace(Some(Ok(())));
            }
            Err(reason) => {
                self.counters.loads_failed += 1;
                let slot = self.slots.remove(at);
                slot.loaded.send_replace(Some(Err(reason)));
            }
        }
    }
}
