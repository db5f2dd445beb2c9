//! The error that the client returns for each stage at which a run can fail.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfoothook_engine::{EngineClient, EngineSettings, HttpEngine, RunCall, RunError};
use coltsfoothook_exchange::{ExchangeSettings, ExchangeStage};
use coltsfoothook_standin::{EngineFaults, EngineServerSettings, RunCut, read_answer};

use crate::common::{SLOT, loaded_engine, quick_engine, read_text, run_call};

/// Longer than any test takes.
const LONG: Duration = Duration::from_secs(60);

/// Returns the address of a port without a listener, which refuses connections.
async fn closed_port() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Faults that cut the next run at a stage.
fn cut(stage: RunCut) -> EngineFaults {
    EngineFaults { cut: stage, cut_next: 1, ..Default::default() }
}

/// A refused connection counts as "not run", since no byte was sent.
#[tokio::test]
async fn refused_connection() {
    let client = HttpEngine::new(EngineSettings::default());
    let error = client.run(closed_port().await, run_call("r", 4, false)).await.unwrap_err();
    assert!(matches!(error, RunError::NotSent { .. }), "{error:?}");
    assert!(error.certainly_not_run());
}

/// A request for a slot that is not loaded, as after a restart, is refused without running.
#[tokio::test]
async fn slot_missing() {
    let (engine, client) = quick_engine(EngineServerSettings::default()).await;
    let error = client.run(engine.address(), run_call("r", 4, false)).await.unwrap_err();
    assert_eq!(error, RunError::SlotMissing);
    assert_eq!(engine.counters().runs, 0);
    engine.shutdown().await;
}

/// A request is refused without running if the engine's queue is full.
#[tokio::test]
async fn queue_full() {
    let settings = EngineServerSettings { max_waiting: 0, ..Default::default() };
    let (engine, client) = loaded_engine(settings).await;
    let error = client.run(engine.address(), run_call("r", 4, false)).await.unwrap_err();
    assert!(matches!(error, RunError::Refused { .. }), "{error:?}");
    assert!(error.certainly_not_run());
    assert_eq!(engine.counters().runs, 0);
    engine.shutdown().await;
}

/// The connection breaks after the request was written. The client cannot tell whether the engine
/// ran it (second case) or not (first case), so neither counts as "not run".
#[tokio::test]
async fn cut_before_answer() {
    for (stage, runs) in [(RunCut::Before, 0), (RunCut::After, 1)] {
        let (engine, client) = loaded_engine(EngineServerSettings::default()).await;
        engine.set_faults(cut(stage));
        let error = client.run(engine.address(), run_call("r", 4, false)).await.unwrap_err();
        assert!(matches!(error, RunError::Sent { .. }), "{stage:?}: {error:?}");
        assert!(!error.certainly_not_run());
        assert_eq!(engine.runs_of("r"), runs);
        engine.shutdown().await;
    }
}

/// The answer is cut after some tokens. These tokens are valid, the cut is reported as an error and
/// not as a short answer, and the stream can be resumed at the engine from the next token.
#[tokio::test]
async fn cut_amid_answer() {
    let (engine, client) = loaded_engine(EngineServerSettings::default()).await;
    engine.set_faults(cut(RunCut::Amid));
    let answer = client.run(engine.address(), run_call("r", 10, true)).await.unwrap();
    let (text, end) = read_text(answer).await;
    assert!(matches!(end, Err(RunError::Broken { .. })), "{end:?}");
    let parsed = read_answer(&text).unwrap();
    assert!(parsed.tokens < 10);
    let rest = client.resume(engine.address(), &"r".into(), parsed.tokens).await.unwrap();
    let (rest, end) = read_text(rest).await;
    assert_eq!(end, Ok(()));
    assert_eq!(read_answer(&(text + &rest)).unwrap().tokens, 10);
    assert_eq!(engine.runs_of("r"), 1);
    engine.shutdown().await;
}

/// A frozen engine sends no response head within the timeout; the request may still run.
#[tokio::test]
async fn head_timeout() {
    let (engine, client) = loaded_engine(EngineServerSettings::default()).await;
    engine.freeze(LONG);
    let within = Some(Duration::from_millis(100));
    let call = RunCall { within, ..run_call("r", 4, false) };
    let error = client.run(engine.address(), call).await.unwrap_err();
    assert_eq!(error, RunError::Timeout { stage: ExchangeStage::Head });
    assert!(!error.certainly_not_run());
    engine.shutdown().await;
}

/// A stream that stalls after its head for longer than the body timeout ends with an error.
#[tokio::test]
async fn body_timeout() {
    let (engine, loader) = loaded_engine(EngineServerSettings::default()).await;
    drop(loader);
    let exchange = ExchangeSettings { body_ms: 100, ..Default::default() };
    let client = HttpEngine::new(EngineSettings { exchange, ..Default::default() });
    let answer = client.run(engine.address(), run_call("r", 10_000, true)).await.unwrap();
    engine.freeze(LONG);
    let (_, end) = read_text(answer).await;
    assert_eq!(end, Err(RunError::Timeout { stage: ExchangeStage::Body }));
    engine.shutdown().await;
}

/// A kept-alive connection is closed by a restart of the engine. The next request must run exactly
/// once, on a new connection.
#[tokio::test]
async fn dead_kept_connection() {
    let (engine, client) = loaded_engine(EngineServerSettings::default()).await;
    for round in 0..20 {
        let id = format!("r-{round}");
        engine.restart(Duration::ZERO);
        let load = crate::common::load_order(SLOT, 1);
        // The load may itself use the dead connection; it can be repeated, since orders are
        // idempotent.
        while client.load(engine.address(), &load).await.is_err() {}
        let call = RunCall { repeatable: true, ..run_call(&id, 2, false) };
        let (text, end) = read_text(client.run(engine.address(), call).await.unwrap()).await;
        assert_eq!((end, read_answer(&text).unwrap().tokens), (Ok(()), 2));
        assert_eq!(engine.runs_of(&id), 1);
    }
    engine.shutdown().await;
}

/// An id with a slash is rejected, since it would address another endpoint of the engine.
#[tokio::test]
async fn invalid_id() {
    let (engine, client) = loaded_engine(EngineServerSettings::default()).await;
    let error = client.resume(engine.address(), &"../kv/r".into(), 0).await.unwrap_err();
    assert!(error.certainly_not_run(), "{error:?}");
    engine.shutdown().await;
}
