//! Many streams at once on one engine.

use std::sync::Arc;

use coltsfoothook_engine::EngineClient;
use coltsfoothook_standin::{EngineServerSettings, prompt_hash, read_answer};
use futures::future::join_all;

use crate::common::{loaded_engine, prompt_call, read_text};

/// Each caller sees its own answer, whole, though hundreds run through one batch and their tokens
/// come interleaved. The tokens name adapter, prompt and number, so a mixed answer would show.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn five_hundred_streams() {
    let settings = EngineServerSettings { batch_slots: 500, request_us: 0, ..Default::default() };
    let (engine, client) = loaded_engine(settings).await;
    let (client, address) = (Arc::new(client), engine.address());
    // Each caller is a task of its own, as it is in the system.
    let callers = (0..500).map(|number| {
        let client = client.clone();
        tokio::spawn(async move {
            let prompt = format!("chiller {number}");
            let call = prompt_call(&format!("r-{number}"), &prompt, 40, true);
            let (text, end) = read_text(client.run(address, call).await.unwrap()).await;
            assert_eq!(end, Ok(()));
            let proof = read_answer(&text).unwrap();
            assert_eq!(proof.adapter, "alarms@v3");
            assert_eq!((proof.prompt, proof.first, proof.tokens), (prompt_hash(&prompt), 0, 40));
        })
    });
    for result in join_all(callers).await {
        result.unwrap();
    }
    assert_eq!(engine.counters().done, 500);
    assert_eq!(engine.counters().tokens, 500 * 40);
    engine.shutdown().await;
}
