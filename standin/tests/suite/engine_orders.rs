//! Load and unload orders and their failures.

use std::time::Duration;

use coltsfoothook_decision::id::{OwnerEpoch, SlotName};
use coltsfoothook_engine::{
    EngineClient, EngineSettings, HttpEngine, OrderError, RunError, UnloadOrder,
};
use coltsfoothook_standin::{
    EngineFaults, EngineServerSettings, LoadFault, StoreFaults, StoreServerSettings, start_store,
};

use crate::common::{SLOT, load_order, loaded_engine, quick_engine, read_text, run_call};

fn unload_order(fencing: u64) -> UnloadOrder {
    UnloadOrder { slot: SlotName::from(SLOT), fencing: OwnerEpoch(fencing) }
}

/// A deposed owner sends an order with its stale fencing number. An engine that checks numbers
/// refuses it; one that does not carries it out and counts it.
#[tokio::test]
async fn stale_fencing() {
    for checks_fencing in [true, false] {
        let settings = EngineServerSettings { checks_fencing, ..Default::default() };
        let (engine, client) = quick_engine(settings).await;
        client.load(engine.address(), &load_order(SLOT, 2)).await.unwrap();
        let stale = client.unload(engine.address(), &unload_order(1)).await;
        let counters = engine.counters();
        let seen = (counters.stale_refused, counters.stale_obeyed, counters.unloads);
        if checks_fencing {
            assert_eq!((stale, seen), (Err(OrderError::StaleFencing), (1, 0, 0)));
        } else {
            assert_eq!((stale, seen), (Ok(()), (0, 1, 1)));
        }
        engine.shutdown().await;
    }
}

/// An unload order for a slot in use is carried out: the request on it is cut and counted, so that
/// tests detect a system that sends such an order.
#[tokio::test]
async fn evicted_in_use() {
    let (engine, client) = loaded_engine(EngineServerSettings::default()).await;
    let answer = client.run(engine.address(), run_call("r", 10_000, true)).await.unwrap();
    client.unload(engine.address(), &unload_order(1)).await.unwrap();
    let (_, end) = read_text(answer).await;
    assert!(matches!(end, Err(RunError::Broken { .. })), "{end:?}");
    assert_eq!(engine.counters().evicted_in_use, 1);
    // Repeating the order, as after a lost answer, succeeds since the slot is already unloaded.
    client.unload(engine.address(), &unload_order(1)).await.unwrap();
    engine.shutdown().await;
}

/// When all slots are taken, a load is refused and nothing is evicted. A repeated load, as after a
/// lost answer, does not take a second slot.
#[tokio::test]
async fn slots_full() {
    let settings = EngineServerSettings { adapter_slots: 1, ..Default::default() };
    let (engine, client) = loaded_engine(settings).await;
    client.load(engine.address(), &load_order(SLOT, 1)).await.unwrap();
    let full = client.load(engine.address(), &load_order("other@v1#1.2", 1)).await;
    assert_eq!(full, Err(OrderError::SlotsFull));
    assert_eq!((engine.report().slots.len(), engine.counters().loads), (1, 1));
    engine.shutdown().await;
}

/// A load fails, hangs past the client's timeout, or succeeds with a late answer. The first leaves
/// no slot; after the others the effect is unknown, and the late one did load.
#[tokio::test]
async fn load_faults() {
    let (engine, client) = quick_engine(EngineServerSettings::default()).await;
    let short_timeout_client =
        HttpEngine::new(EngineSettings { load_ms: 100, ..Default::default() });
    let set = |load| engine.set_faults(EngineFaults { load, ..Default::default() });
    set(LoadFault::Fail);
    let failed = client.load(engine.address(), &load_order(SLOT, 1)).await;
    assert!(matches!(failed, Err(OrderError::LoadFailed { .. })), "{failed:?}");
    assert_eq!(engine.report().slots.len(), 0);
    set(LoadFault::Hang);
    let hung = short_timeout_client.load(engine.address(), &load_order("hung@v1#1.2", 1)).await;
    assert!(matches!(hung, Err(OrderError::EffectUnknown { .. })), "{hung:?}");
    set(LoadFault::Late { by_ms: 60_000 });
    let late = short_timeout_client.load(engine.address(), &load_order("late@v1#1.3", 1)).await;
    assert!(matches!(late, Err(OrderError::EffectUnknown { .. })), "{late:?}");
    while engine.report().slots.is_empty() {
        tokio::task::yield_now().await;
    }
    let slots = engine.report().slots;
    assert_eq!(slots.iter().map(|slot| slot.slot.as_str()).collect::<Vec<_>>(), ["late@v1#1.3"]);
    engine.shutdown().await;
}

/// A load fails if the weight store is down or does not have the weights, and succeeds once the
/// store is available.
#[tokio::test]
async fn store_down() {
    let store =
        start_store(StoreServerSettings { load_ms: 5, ..Default::default() }).await.unwrap();
    let settings = EngineServerSettings { store: Some(store.address()), ..Default::default() };
    let (engine, client) = quick_engine(settings).await;
    let missing = Some("alarms".to_owned());
    for faults in [
        StoreFaults { down: true, ..Default::default() },
        StoreFaults { missing, ..Default::default() },
    ] {
        store.set_faults(faults);
        let failed = client.load(engine.address(), &load_order(SLOT, 1)).await;
        assert!(matches!(failed, Err(OrderError::LoadFailed { .. })), "{failed:?}");
    }
    store.set_faults(StoreFaults::default());
    client.load(engine.address(), &load_order(SLOT, 1)).await.unwrap();
    assert_eq!(store.counters().loads, 1);
    engine.shutdown().await;
    store.shutdown().await;
}

/// When the store's queue is full, a second load is refused immediately instead of hanging, and no
/// weights are fetched for it.
#[tokio::test]
async fn store_queue_full() {
    let settings =
        StoreServerSettings { loads_per_s: 0.01, load_ms: 1, max_wait_ms: 1, ..Default::default() };
    let store = start_store(settings).await.unwrap();
    let settings = EngineServerSettings { store: Some(store.address()), ..Default::default() };
    let (engine, client) = quick_engine(settings).await;
    client.load(engine.address(), &load_order(SLOT, 1)).await.unwrap();
    let refused = client.load(engine.address(), &load_order("other@v1#1.2", 1)).await;
    assert!(matches!(refused, Err(OrderError::LoadFailed { .. })), "{refused:?}");
    assert_eq!((store.counters().loads, store.counters().refused), (1, 1));
    engine.shutdown().await;
    store.shutdown().await;
}

/// A restart drops the slots, the highest fencing number and the streams. A lagging report still
/// shows the previous incarnation and is recognised by it.
#[tokio::test]
async fn restart_empty() {
    let settings = EngineServerSettings { report_lag_ms: 60_000, ..Default::default() };
    let (engine, client) = loaded_engine(settings).await;
    let answer = client.run(engine.address(), run_call("r", 10_000, true)).await.unwrap();
    let before = engine.report().incarnation;
    engine.restart(Duration::ZERO);
    let (_, end) = read_text(answer).await;
    assert!(matches!(end, Err(RunError::Broken { .. })), "{end:?}");
    let now = engine.report();
    assert_eq!((now.incarnation.0, now.slots.len()), (before.0 + 1, 0));
    let lagging = client.report(engine.address()).await.unwrap();
    assert_eq!(lagging.incarnation, before);
    client.load(engine.address(), &load_order(SLOT, 1)).await.unwrap();
    engine.shutdown().await;
}

/// A request with the crash mark crashes the engine when it runs, which also cuts the other request
/// in the batch.
#[tokio::test]
async fn marked_crash() {
    let (engine, client) = loaded_engine(EngineServerSettings::default()).await;
    let neighbour = client.run(engine.address(), run_call("n", 10_000, true)).await.unwrap();
    let crash_mark = Some("tripped at 03:12 \\u0001".to_owned());
    engine.set_faults(EngineFaults { crash_mark, ..Default::default() });
    let marked = crate::common::prompt_call("p", "tripped at 03:12 \u{1}", 4, false);
    let error = client.run(engine.address(), marked).await.unwrap_err();
    assert!(matches!(error, RunError::Sent { .. }), "{error:?}");
    let (_, end) = read_text(neighbour).await;
    assert!(matches!(end, Err(RunError::Broken { .. })), "{end:?}");
    assert_eq!((engine.counters().crashes, engine.runs_of("p")), (1, 1));
    engine.shutdown().await;
}
