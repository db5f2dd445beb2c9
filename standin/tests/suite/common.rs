//! Helpers shared by the tests.

use bytes::Bytes;
use coltsfoothook_decision::id::{OwnerEpoch, SlotName};
use coltsfoothook_engine::{
    EngineClient, EngineSettings, HttpEngine, LoadOrder, RunAnswer, RunCall, RunError,
};
use coltsfoothook_standin::{EngineHandle, EngineServerSettings, start_engine};
use futures::StreamExt;

pub const SLOT: &str = "alarms@v3#1.1";
pub const WEIGHTS: &str = "store://alarms/v3";
pub const PROMPT: &str = "chiller 4 tripped at 03:12";

/// Starts an engine with short steps and loads, and a client.
pub async fn quick_engine(settings: EngineServerSettings) -> (EngineHandle, HttpEngine) {
    let settings = EngineServerSettings { step_us: 1_000, load_ms: 1, ..settings };
    let engine = start_engine(settings).await.unwrap();
    (engine, HttpEngine::new(EngineSettings::default()))
}

/// Starts an engine with [`SLOT`] loaded, and a client.
pub async fn loaded_engine(settings: EngineServerSettings) -> (EngineHandle, HttpEngine) {
    let (engine, client) = quick_engine(settings).await;
    client.load(engine.address(), &load_order(SLOT, 1)).await.unwrap();
    (engine, client)
}

pub fn load_order(slot: &str, fencing: u64) -> LoadOrder {
    let weights = WEIGHTS.to_owned();
    LoadOrder { slot: SlotName::from(slot), weights, fencing: OwnerEpoch(fencing) }
}

pub fn run_call(id: &str, tokens: u32, stream: bool) -> RunCall {
    prompt_call(id, PROMPT, tokens, stream)
}

pub fn prompt_call(id: &str, prompt: &str, tokens: u32, stream: bool) -> RunCall {
    let body = serde_json::json!({
        "model": SLOT, "prompt": prompt, "max_tokens": tokens, "stream": stream,
    });
    RunCall { body: body.to_string().into(), id: id.into(), ..Default::default() }
}

/// Reads the text of an answer, streamed or not, up to its end or cut.
pub async fn read_text(answer: RunAnswer) -> (String, Result<(), RunError>) {
    let mut bytes = Vec::new();
    let mut body = answer.body;
    let mut result = Ok(());
    while let Some(piece) = body.next().await {
        match piece {
            Ok(piece) => bytes.extend_from_slice(&piece),
            Err(error) => result = Err(error.into()),
        }
    }
    (text_of(&Bytes::from(bytes)), result)
}

/// Extracts the text from a JSON answer or from server-sent events.
fn text_of(bytes: &Bytes) -> String {
    let text = String::from_utf8_lossy(bytes);
    let events = text.split("\n\n").map(|event| event.strip_prefix("data: ").unwrap_or(event));
    let parsed = events.filter_map(|json| serde_json::from_str::<serde_json::Value>(json).ok());
    parsed.filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned)).collect()
}
