//! Faulty manifests and deltas: all faults are reported with their paths, and the base is
//! unchanged.

use coltsfoothook_decision::check::{FaultKind, check_manifest, normalize};
use coltsfoothook_decision::delta::apply_delta;
use coltsfoothook_decision::manifest::{ManifestDelta, ServingManifest};
use expect_test::expect;
use serde_json::json;

fn small_manifest() -> ServingManifest {
    let hash = "ab".repeat(32);
    let mut manifest = serde_json::from_value(json!({
        "models": [{"name": "base-8b"}],
        "adapters": [
            {"name": "handover", "model": "base-8b", "tenants": ["wanjiru"],
             "versions": [{"version": "2", "weights": "s3://w/2"}, {"version": "1", "weights": "s3://w/1"}]},
            {"name": "alarm", "model": "base-8b", "tenants": ["wanjiru"],
             "versions": [{"version": "1", "weights": "s3://a/1"}], "default_version": "1"}],
        "tenants": [{"name": "wanjiru", "credentials": [hash]}],
        "servers": [{"name": "e1", "address": "10.0.0.1:8000", "domain": "westlands", "region": "nbo",
            "serves": {"engine": {"model": "base-8b", "adapter_slots": 4, "batch_slots": 16}}}],
        "schedules": [{"name": "morning", "adapter": "handover", "version": "2", "due_s": 14400}],
        "stores": [{"region": "nbo", "loads_per_s": 5.0, "full_speed": 2}]
    }))
    .expect("the manifest parses");
    normalize(&mut manifest);
    manifest
}

fn large_manifest(adapters: usize) -> ServingManifest {
    let mut manifest = small_manifest();
    let pattern = manifest.adapters[1].clone();
    for number in 0..adapters {
        let mut adapter = pattern.clone();
        adapter.name = format!("adapter-{number:05}").into();
        manifest.adapters.push(adapter);
    }
    normalize(&mut manifest);
    manifest
}

fn lines(faults: &[coltsfoothook_decision::check::ManifestFault]) -> String {
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn valid_manifest() {
    let manifest = small_manifest();
    assert_eq!(check_manifest(&manifest), []);
    assert!(manifest.adapter("handover").and_then(|adapter| adapter.version("1")).is_some());
}

#[test]
fn all_faults_reported() {
    let mut manifest = small_manifest();
    manifest.adapters.push(manifest.adapters[0].clone());
    manifest.adapters[1].name = "a@b".into();
    manifest.adapters[1].tenants.push("nobody".into());
    manifest.adapters[1].versions[0].weights = String::new();
    manifest.tenants[0].credentials.push("secret".to_owned());
    manifest.tenants[0].requests_per_s = Some(f64::NAN);
    manifest.schedules[0].version = "9".into();
    manifest.servers[0].address = "10.0.0.1:0".parse().expect("an address");
    manifest.servers[0].region = "uy-norte".into();
    manifest.policy.stall_weight = 1.5;
    expect![[r#"
        adapters["alarm"]: "alarm" stands more than once; allowed: once
        adapters["a@b"].name: the name "a@b" is not allowed; allowed: 1 to 128 bytes, no white space, no control characters, none of @#/\"?%, not "." or ".."
        adapters["a@b"].versions["1"].weights: the path of the weights is ""; allowed: 1 to 1024 bytes without control characters
        adapters["a@b"].tenants["nobody"]: there is no tenant "nobody"; allowed: the name of a tenant in the manifest
        tenants["wanjiru"].requests_per_s: NaN is out of range; allowed: 0.001 to 1000000
        tenants["wanjiru"].credentials[1]: it is not the SHA-256 hash of a credential; allowed: 64 hexadecimal digits
        servers["e1"].address: 10.0.0.1:0 is not a valid server address; allowed: the IP number of one host and a port from 1 to 65535
        servers["e1"].region: region "uy-norte" has no weight store; allowed: a region listed in `stores`
        schedules["morning"].adapter: there is no adapter "handover"; allowed: the name of an adapter in the manifest
        policy.stall_weight: 1.5 is out of range; allowed: 0 to 1
    "#]]
    .assert_eq(&lines(&check_manifest(&manifest)));
}

#[test]
fn shared_credential_and_address() {
    let mut manifest = small_manifest();
    let mut tenant = manifest.tenants[0].clone();
    tenant.name = "ramsa".into();
    tenant.credentials[0].make_ascii_uppercase();
    manifest.tenants.push(tenant);
    let mut server = manifest.servers[0].clone();
    server.name = "e2".into();
    manifest.servers.push(server);
    let kinds: Vec<_> = check_manifest(&manifest).into_iter().map(|fault| fault.kind).collect();
    assert_eq!(kinds, [FaultKind::Duplicate, FaultKind::Duplicate]);
}

#[test]
fn delta_faults() {
    let base = small_manifest();
    let adapter = serde_json::to_value(&base.adapters[0]).expect("an adapter is JSON");
    let delta: ManifestDelta = serde_json::from_value(json!({
        "put": {"adapters": [adapter, adapter]},
        "remove": {"adapters": ["alarm", "gone"], "tenants": ["wanjiru"]},
    }))
    .expect("the delta parses");
    expect![[r#"
        put.adapters["alarm"]: "alarm" is listed twice; allowed: each name once in a delta
        remove.adapters["alarm"]: "alarm" is listed both in put and in remove; allowed: each name once in a delta
        remove.adapters["gone"]: "gone" is to be removed but is not in the base; allowed: a name in the base manifest
    "#]]
    .assert_eq(&lines(&apply_delta(&base, &delta).expect_err("faults in the delta")));
}

#[test]
fn removed_while_referenced() {
    // Removal of a tenant and a model that adapters and engines still refer to. If accepted,
    // requests could not be placed; every remaining reference is reported.
    let base = small_manifest();
    let delta: ManifestDelta =
        serde_json::from_value(json!({"remove": {"tenants": ["wanjiru"], "models": ["base-8b"]}}))
            .expect("the delta parses");
    let faults = apply_delta(&base, &delta).expect_err("dangling references");
    assert_eq!(faults.len(), 5, "{}", lines(&faults));
    assert!(faults.iter().all(|fault| fault.kind == FaultKind::Dangling));
}

#[test]
fn delta_on_large_manifest() {
    let base = large_manifest(16_000);
    let mut changed = base.adapters[5].clone();
    changed.default_version = Some("2".into());
    let delta = ManifestDelta {
        put: coltsfoothook_decision::manifest::ServingManifestParts {
            adapters: vec![changed.clone()],
            ..Default::default()
        },
        ..Default::default()
    };
    let start = std::time::Instant::now();
    let next = apply_delta(&base, &delta).expect("a valid delta");
    println!("delta on 16,000 adapters: {} us", start.elapsed().as_micros());
    assert_eq!(next.adapters.len(), base.adapters.len());
    assert_eq!(next.adapter(changed.name.as_str()), Some(&changed));
    let mut normalized = next.clone();
    normalize(&mut normalized);
    assert_eq!(normalized, next, "the result is normalized");
}
