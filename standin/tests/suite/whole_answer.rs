//! Many concurrent streams on one engine.

use std::sync::Arc;

use coltsfoothook_engine::EngineClient;
use coltsfoothook_standin::{EngineServerSettings, prompt_hash, read_answer};
use futures::future::join_all;

use crate::common::{loaded_engine, prompt_call, read_text};

/// Each caller receives its own complete answer while hundreds of runs share a batch. The tokens
/// contain adapter, prompt hash and number, so tokens of another answer would be detected.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn five_hundred_streams() {
    let settings = EngineServerSettings { batch_slots: 500, request_us: 0, ..Default::default() };
    let (engine, client) = loaded_engine(settings).await;
    let (client, address) = (Arc::new(client), engine.address());
    // Each caller is a separate task, as in the system.
    let callers = (0..500).map(|number| {
        let client = client.clone();
        tokio::spawn(async move {
            let prompt = format!("chiller {number}");
            let call = prompt_call(&format!("r-{number}"), &prompt, 40, true);
            let (text, end) = read_text(client.run(address, call).await.unwrap()).await;
            assert_eq!(end, Ok(()));
            let parsed = read_answer(&text).unwrap();
            assert_eq!(parsed.adapter, "alarms@v3");
            assert_eq!((parsed.prompt, parsed.first, parsed.tokens), (prompt_hash(&prompt), 0, 40));
        })
    });
    for result in join_all(callers).await {
        result.unwrap();
    }
    assert_eq!(engine.counters().done, 500);
    assert_eq!(engine.counters().tokens, 500 * 40);
    engine.shutdown().await;
}
