//! Customers' keys and limits, as seen by callers, servers and other VMs.

use std::time::Duration;

use coltsfoothook_gateway::PromiseSettings;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::configuration::configuration;
use crate::site::{RunningGateway, Site, eventually, get};

/// The promised time in these tests after which a removed key is accepted no more.
const REMOVAL_MS: u64 = 1_500;

/// A configuration whose customer `c1` has these keys; `/safe/` needs one and `/moved/` does not.
fn with_customers(version: u64, keys: &[&str], limit: Value) -> Value {
    let mut config = configuration(version, "plain");
    for route in config["routes"].as_array_mut().unwrap() {
        route["public"] = json!(route["name"] == "moved");
    }
    let mut customer = json!({ "name": "c1", "api_keys": keys, "priority": 1 });
    customer.as_object_mut().unwrap().extend(limit.as_object().unwrap().clone());
    config["tenants"] = json!([customer, { "name": "c2", "api_keys": ["other-key"] }]);
    config
}

fn publish(site: &Site, version: u64, keys: &[&str], limit: Value) {
    site.store.write("keyed.op", "config", Some(&with_customers(version, keys, limit)));
}

/// Starts a gateway that refuses keys unless its configuration is confirmed within `REMOVAL_MS`.
async fn strict_gateway(site: &Site, vm: &str, seeds: &[&RunningGateway]) -> RunningGateway {
    let promises = PromiseSettings {
        strict_key_removal: true,
        key_removal_ms: REMOVAL_MS,
        ..PromiseSettings::default()
    };
    let gateway = site.start_gateway_with(vm, seeds, true, promises).await;
    gateway.wait_ready().await;
    gateway
}

async fn site_with(keys: &[&str]) -> (Site, RunningGateway) {
    let site = Site::start_unconfigured(0, 1).await;
    publish(&site, 1, keys, json!({}));
    let gateway = strict_gateway(&site, "vm-1", &[]).await;
    (site, gateway)
}

async fn status(gateway: &RunningGateway, id: &str, key: &str) -> u16 {
    let bearer = format!("Bearer {key}");
    gateway.call("/safe/1", id, &[("authorization", &bearer)]).await.status
}

/// Guards against servers that receive a caller's key, or a customer's name that the caller chose.
#[tokio::test]
async fn named_to_servers() {
    let (site, gateway) = site_with(&["secret-key"]).await;
    let own = [("authorization", "bEARER   secret-key "), ("Coltsfoothook-Tenant", "c2")];
    assert_eq!(gateway.call("/safe/1", "r1", &own).await.status, 200);
    let public = [("Coltsfoothook-Tenant", "c2"), ("authorization", "Bearer nobody's")];
    assert_eq!(gateway.call("/moved/1", "r2", &public).await.status, 200);
    let runs = site.plain[0].runs();
    assert_eq!(runs[0].header("coltsfoothook-tenant"), Some("c1"));
    assert_eq!(runs[1].header("coltsfoothook-tenant"), None);
    for run in &runs {
        assert_eq!(run.header("authorization"), None);
        assert!(!run.head.contains("secret-key") && !run.head.contains("nobody's"));
    }
}

/// Guards against requests that run without a customer's key, and against wrong keys that block valid ones.
#[tokio::test]
async fn wrong_keys() {
    let (site, gateway) = site_with(&["secret-key"]).await;
    let long = format!("Bearer {}", "k".repeat(8_000));
    let wrong =
        ["Bearer wrong", "Bearer", "Basic secret-key", "secret-key", "Bearer \u{e9}", &long];
    for (number, value) in wrong.iter().enumerate() {
        let headers = [("authorization", *value)];
        let answer = gateway.call("/safe/1", &format!("w{number}"), &headers).await;
        assert_eq!(answer.status, 401, "{value}");
    }
    assert_eq!(gateway.call("/safe/1", "w", &[]).await.status, 401);
    assert!(site.plain[0].runs().is_empty());
    assert_eq!(status(&gateway, "r1", "secret-key").await, 200);
}

/// Guards against a final 401 for a key that operators added in a configuration which the VM has not read yet.
#[tokio::test]
async fn added_key() {
    let (site, gateway) = site_with(&["first"]).await;
    publish(&site, 2, &["first", "second"], json!({}));
    assert_eq!(status(&gateway, "r1", "second").await, 200);
}

/// Guards against a removed key that is still accepted by a VM to which the store does not respond, and against a
/// final 401 from a VM that cannot know whether a key is valid.
#[tokio::test]
async fn removed_unheard() {
    let (site, gateway) = site_with(&["kept", "removed"]).await;
    assert_eq!(status(&gateway, "r0", "removed").await, 200);
    site.store.set_unresponsive(true);
    publish(&site, 2, &["kept"], json!({}));
    sleep(Duration::from_millis(REMOVAL_MS)).await;
    for (id, key) in [("r1", "removed"), ("r2", "kept"), ("r3", "never")] {
        let bearer = format!("Bearer {key}");
        let answer = gateway.call("/safe/1", id, &[("authorization", &bearer)]).await;
        assert_eq!(answer.status, 503, "{key}");
        assert!(answer.retry_after.is_some());
    }
    assert!(!gateway.ready().await);
    assert!(gateway.addresses().await.is_empty());
    assert_eq!(site.plain[0].runs().len(), 1);
    site.store.set_unresponsive(false);
    gateway.wait_ready().await;
    assert_eq!(status(&gateway, "r4", "removed").await, 401);
    assert_eq!(status(&gateway, "r5", "kept").await, 200);
}

/// Guards against a VM that stops serving because the store does not answer its query, although another VM can
/// confirm its configuration.
#[tokio::test]
async fn confirmed_by_others() {
    let site = Site::start_unconfigured(0, 1).await;
    publish(&site, 1, &["kept"], json!({}));
    let first = strict_gateway(&site, "vm-1", &[]).await;
    let second = strict_gateway(&site, "vm-2", &[&first]).await;
    eventually("they know each other", async || first.addresses().await.len() == 2).await;
    site.store.drop_held();
    for round in 0..6 {
        sleep(Duration::from_millis(REMOVAL_MS / 3)).await;
        assert_eq!(status(&first, &format!("a{round}"), "kept").await, 200);
        assert_eq!(status(&second, &format!("b{round}"), "kept").await, 200);
    }
}

/// Guards against keys in the state that VMs give each other.
#[tokio::test]
async fn no_key_shared() {
    let (_site, gateway) = site_with(&["secret-key"]).await;
    let shared = get(gateway.listen.peers, "/shared").await.unwrap();
    assert_eq!(shared.status, 200);
    assert!(shared.body.contains("c1"));
    assert!(!shared.body.contains("secret-key"));
}

/// Guards against requests that run beyond a customer's limit, or are refused without `Retry-After`.
#[tokio::test]
async fn beyond_limit() {
    let site = Site::start_unconfigured(0, 1).await;
    let limit = json!({ "unit": "tokens", "plain_tokens": 300, "rate_per_s": 600, "burst": 600 });
    publish(&site, 1, &["k"], limit);
    let gateway = strict_gateway(&site, "vm-1", &[]).await;
    sleep(Duration::from_millis(1_200)).await;
    let mut refused = 0;
    for number in 0..20 {
        let bearer = [("authorization", "Bearer k")];
        let answer = gateway.call("/safe/1", &format!("r{number}"), &bearer).await;
        refused += usize::from(answer.status == 429);
        assert!(answer.status == 200 || answer.retry_after.is_some());
    }
    assert_eq!(site.plain[0].runs().len(), 20 - refused);
    assert!((10..20).contains(&refused), "{refused} of 20 refused");
    // Another customer is not affected, and this one is served again after a while.
    assert_eq!(status(&gateway, "o", "other-key").await, 200);
    let again = async || status(&gateway, "again", "k").await == 200;
    eventually("the customer is served again", again).await;
}

/// Guards against a removed key that runs again since the store came back from a copy with an older configuration.
#[tokio::test]
async fn removed_before_copy() {
    let (site, first) = site_with(&["kept", "removed"]).await;
    let copy = site.store.copy();
    publish(&site, 2, &["kept"], json!({}));
    eventually("the key is removed", async || status(&first, "r0", "removed").await == 401).await;
    site.store.restore(copy);
    let promises = PromiseSettings {
        strict_key_removal: true,
        key_removal_ms: REMOVAL_MS,
        ..PromiseSettings::default()
    };
    let second = site.start_gateway_with("vm-2", &[&first], true, promises).await;
    for call in 0..40 {
        for (vm, gateway) in [(1, &first), (2, &second)] {
            let status = status(gateway, &format!("r{vm}-{call}"), "removed").await;
            assert_ne!(status, 200, "VM {vm}, call {call}");
        }
        sleep(Duration::from_millis(50)).await;
    }
    publish(&site, 2, &["kept"], json!({}));
    for gateway in [&first, &second] {
        eventually("the other key is valid", async || status(gateway, "k", "kept").await == 200)
            .await;
        assert_eq!(status(gateway, "late", "removed").await, 401);
    }
}
