//! A renamed field or variant would make another release or a stored record unreadable.

use std::time::Duration;

use coltsfoothook_decision::id::LogOffset;
use coltsfoothook_decision::record::{JOB_STREAM, JobRecord};
use coltsfoothook_demo::adapter_name;
use coltsfoothook_platform::{HttpLog, LogClient, PlatformSettings};
use http::Method;
use serde_json::{Value, json};

use crate::bench::{client, close, small_site};

#[tokio::test(flavor = "multi_thread")]
async fn stored_job_body() {
    let site = small_site(true).await;
    let body = json!({
        "model": format!("{}@1", adapter_name(0)), "prompt": "audit", "max_tokens": 20,
    });
    let client = client(&site, 0);
    client.service(Method::POST, "/v1/jobs", Some(body), Some("audit-1")).await.unwrap();
    let log = HttpLog::new(site.platform.address(), PlatformSettings::default());
    let page = log.read(JOB_STREAM, LogOffset(0), 100, Duration::from_secs(5)).await.unwrap();
    let submitted =
        page.records.iter().find_map(|record| match serde_json::from_str(&record.data).unwrap() {
            JobRecord::Submitted(entry) => Some(entry.body),
            _ => None,
        });
    let mut kept: Value = serde_json::from_str(&submitted.unwrap()).unwrap();
    assert!(kept["fingerprint"].take().is_u64());
    let body = json!({
        "model": format!("{}@1", adapter_name(0)), "prompt": "audit", "max_tokens": 20, "stream": false,
    });
    assert_eq!(kept, json!({"chat": false, "fingerprint": null, "body": body}));
    close(site).await;
}
