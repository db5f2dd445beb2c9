//! Priorities, graceful stop, cancellation, continuation and KV caches.

use coltsfoothook_engine::{CacheEventKind, EngineClient, RunCall};
use coltsfoothook_standin::{EngineServerSettings, answer_text, prompt_hash, read_answer};

use crate::common::{PROMPT, SLOT, WEIGHTS, loaded_engine, prompt_call, read_text, run_call};

fn priority_call(id: &str, priority: i32) -> RunCall {
    let body = serde_json::json!({
        "model": SLOT, "prompt": id, "max_tokens": 3, "priority": priority,
    });
    RunCall { body: body.to_string().into(), id: id.into(), ..Default::default() }
}

/// Waiting requests are admitted in order of their priority numbers, the lowest first.
#[tokio::test]
async fn urgent_first() {
    let settings = EngineServerSettings { batch_slots: 1, ..Default::default() };
    let (engine, client) = loaded_engine(settings).await;
    let address = engine.address();
    let first = client.run(address, run_call("first", 10_000, true)).await.unwrap();
    let order = std::sync::Mutex::new(Vec::new());
    let run = async |id: &str, priority: i32| {
        let answer = client.run(address, priority_call(id, priority)).await.unwrap();
        read_text(answer).await.1.unwrap();
        order.lock().unwrap().push(id.to_owned());
    };
    let free_batch_slot = async {
        while engine.report().waiting < 3 {
            tokio::task::yield_now().await;
        }
        client.cancel(address, &"first".into()).await.unwrap();
    };
    let others = async { tokio::join!(run("audit", 9), run("handover", 5), run("alarm", 0)) };
    let ((_, end), ..) = tokio::join!(read_text(first), free_batch_slot, others);
    assert_eq!(end, Ok(()));
    assert_eq!(*order.lock().unwrap(), ["alarm", "handover", "audit"]);
    engine.shutdown().await;
}

/// When the engine stops, a running stream and a waiting request both get complete answers, and new
/// requests are refused.
#[tokio::test]
async fn graceful_stop() {
    let settings = EngineServerSettings { batch_slots: 1, ..Default::default() };
    let (engine, client) = loaded_engine(settings).await;
    let address = engine.address();
    let first = client.run(address, run_call("first", 100, true)).await.unwrap();
    let second = client.run(address, run_call("second", 100, true)).await.unwrap();
    let (first, second, ()) = tokio::join!(read_text(first), read_text(second), engine.shutdown());
    for (text, end) in [first, second] {
        assert_eq!((end, read_answer(&text).unwrap().tokens), (Ok(()), 100));
    }
    let error = client.run(address, run_call("third", 1, true)).await.unwrap_err();
    assert!(error.certainly_not_run(), "{error:?}");
}

/// A cancelled run ends and releases its slot; cancelling it again succeeds.
#[tokio::test]
async fn cancelled() {
    let (engine, client) = loaded_engine(EngineServerSettings::default()).await;
    let answer = client.run(engine.address(), run_call("r", 10_000, true)).await.unwrap();
    client.cancel(engine.address(), &"r".into()).await.unwrap();
    client.cancel(engine.address(), &"r".into()).await.unwrap();
    read_text(answer).await.1.unwrap();
    assert_eq!(engine.counters().cancelled, 1);
    assert_eq!(engine.report().slots[0].running, 0);
    engine.shutdown().await;
}

/// The engine cancels a run whose caller has disconnected and that nobody resumes.
#[tokio::test]
async fn unread_run() {
    let settings = EngineServerSettings { unread_ms: 20, ..Default::default() };
    let (engine, client) = loaded_engine(settings).await;
    drop(client.run(engine.address(), run_call("r", 10_000, true)).await.unwrap());
    while engine.counters().cancelled == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(engine.counters().done, 0);
    engine.shutdown().await;
}

/// Another engine continues a broken stream from the prompt and the part of the answer that was
/// already sent, so that the caller receives one complete answer.
#[tokio::test]
async fn continued_elsewhere() {
    let (engine, client) = loaded_engine(EngineServerSettings::default()).await;
    let sent = answer_text("alarms@v3", prompt_hash(PROMPT), 0, 4);
    let call = prompt_call("r", &(PROMPT.to_owned() + &sent), 6, true);
    let (rest, end) = read_text(client.run(engine.address(), call).await.unwrap()).await;
    assert_eq!(end, Ok(()));
    let whole = read_answer(&(sent + &rest)).unwrap();
    assert_eq!((whole.prompt, whole.tokens), (prompt_hash(PROMPT), 10));
    engine.shutdown().await;
}

/// An engine that imports a KV cache continues the request with that id at the next token.
#[tokio::test]
async fn moved_cache() {
    let (from, client) = loaded_engine(EngineServerSettings::default()).await;
    let (to, _) = loaded_engine(EngineServerSettings::default()).await;
    read_text(client.run(from.address(), run_call("r", 3, true)).await.unwrap()).await.1.unwrap();
    let kv = client.export_kv(from.address(), &"r".into()).await.unwrap();
    assert_eq!((kv.weights.as_str(), kv.tokens), (WEIGHTS, 3));
    client.import_kv(to.address(), &"r".into(), &kv).await.unwrap();
    let (text, end) =
        read_text(client.run(to.address(), run_call("r", 2, true)).await.unwrap()).await;
    assert_eq!((end, read_answer(&text).unwrap().first), (Ok(()), 3));
    from.shutdown().await;
    to.shutdown().await;
}

/// Lost events of the prefix cache leave gaps in the numbers, and a page's `next` follows its last
/// event. A cache beyond its capacity evicts blocks.
#[tokio::test]
async fn gapped_events() {
    let settings = EngineServerSettings {
        cache_tokens: 160,
        event_gap_every: 3,
        event_lag_ms: 0,
        ..Default::default()
    };
    let (engine, client) = loaded_engine(settings).await;
    for number in 0..4 {
        let prompt = format!("site {number} ").repeat(40);
        let call = prompt_call(&format!("r-{number}"), &prompt, 1, false);
        read_text(client.run(engine.address(), call).await.unwrap()).await.1.unwrap();
    }
    let page = client.cache_events(engine.address(), 0).await.unwrap();
    let numbers: Vec<u64> = page.events.iter().map(|event| event.number).collect();
    assert!(numbers.starts_with(&[0, 1, 3, 4]), "{numbers:?}");
    assert!(page.events.iter().any(|event| event.kind == CacheEventKind::Evicted));
    assert_eq!(client.cache_events(engine.address(), page.next).await.unwrap().events, []);
    engine.shutdown().await;
}
