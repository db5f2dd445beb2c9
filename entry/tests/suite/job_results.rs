use std::time::Duration;

use coltsfoothook_demo::{LocalSite, adapter_name};
use coltsfoothook_standin::{EngineFaults, PlatformFaults, read_answer};
use http::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::bench::{TEST_TIMEOUT, client, close, small_site};

async fn submit(site: &LocalSite, vm: usize, id: &str) {
    let body = json!({
        "model": format!("{}@1", adapter_name(0)), "prompt": id, "max_tokens": 20,
    });
    let answer = client(site, vm).service(Method::POST, "/v1/jobs", Some(body), Some(id)).await;
    assert_eq!(answer.unwrap()["id"], Value::from(id));
}

async fn result(site: &LocalSite, vm: usize, id: &str) -> String {
    let until = Instant::now() + TEST_TIMEOUT;
    let path = format!("/v1/jobs/{id}/result");
    loop {
        match client(site, vm).json(Method::GET, &path, None).await {
            Ok(answer) => return answer["choices"][0]["text"].as_str().unwrap().to_owned(),
            Err(failure) => assert!(Instant::now() < until, "{failure}"),
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// A job is submitted to two VMs. It stays one job with one result, the same from every VM.
#[tokio::test(flavor = "multi_thread")]
async fn one_result() {
    let site = small_site(true).await;
    submit(&site, 0, "audit-1").await;
    submit(&site, 1, "audit-1").await;
    let text = result(&site, 2, "audit-1").await;
    assert_eq!(read_answer(&text).unwrap().tokens, 20);
    assert_eq!(result(&site, 0, "audit-1").await, text);
    close(site).await;
}

/// The log's answer to a job's submission is lost, and the VM that runs the job fails before the
/// result is in the log. Another VM runs the job.
#[tokio::test(flavor = "multi_thread")]
async fn runner_dies() {
    let mut site = small_site(true).await;
    for engine in &site.engines {
        engine.set_faults(EngineFaults { delay_ms: 1_500, ..Default::default() });
    }
    site.platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    submit(&site, 0, "audit-2").await;
    sleep(Duration::from_millis(800)).await;
    let runner = site.vms.iter().position(|vm| vm.as_ref().is_some_and(|vm| vm.in_flight() > 0));
    if let Some(runner) = runner {
        site.kill_vm(runner).await;
    }
    let survivor = site.vms.iter().position(Option::is_some).unwrap();
    let text = result(&site, survivor, "audit-2").await;
    assert_eq!(read_answer(&text).unwrap().tokens, 20);
    close(site).await;
}
