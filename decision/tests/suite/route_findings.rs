//! Mistakes in a configuration that VMs would accept, and differences from the one in force. Each
//! test is named after the mistake that it guards against.

use std::time::Duration;

use coltsfoothook_decision::credential::CredentialHash;
use coltsfoothook_decision::customer::{CustomerPlan, CustomerTable, FleetLimit, LimitMeasure};
use coltsfoothook_decision::id::{ConfigVersion, ServiceName};
use coltsfoothook_decision::route_check::{RouteFinding, check_change, check_routes};
use coltsfoothook_decision::routing::{RouteTable, ServicePlan, ServingRoute};

use crate::route_table::{route, table};

fn customer(name: &str, key: &str) -> CustomerPlan {
    let measure = LimitMeasure::Tokens { plain: 500.0 };
    CustomerPlan {
        name: name.into(),
        keys: vec![CredentialHash::of(key)],
        priority: None,
        limit: Some(FleetLimit { per_second: 100.0, burst: 500.0, measure }),
    }
}

/// Parts of a configuration without mistakes, for a test to put one in.
struct ConfigParts {
    version: u64,
    routes: Vec<ServingRoute>,
    services: Vec<&'static str>,
    customers: Vec<CustomerPlan>,
}

fn sound() -> ConfigParts {
    ConfigParts {
        version: 7,
        routes: vec![
            route("all", "a.example", "/"),
            route("deep", "a.example", "/x/"),
            route("other", "b.example", "/x/"),
        ],
        services: vec!["plain", "spare"],
        customers: vec![customer("lilac", "key 1"), customer("sorrel", "key 2")],
    }
}

fn build(parts: ConfigParts) -> RouteTable {
    let plan = |name: &str| ServicePlan { service: name.into(), max_connections: 50, engine: None };
    let services = parts.services.into_iter().map(plan).collect();
    let limits = table(Vec::new()).limits;
    RouteTable::new(ConfigVersion(parts.version), limits, parts.routes, services)
        .with_customers(CustomerTable::new(parts.customers))
}

fn lines(findings: &[RouteFinding]) -> Vec<String> {
    findings.iter().map(|it| format!("{} {}", it.code.as_str(), it.path)).collect()
}

/// Returns the codes and places of the findings after `mistake`; two servers of `plain` are known.
fn found(mistake: impl FnOnce(&mut ConfigParts)) -> Vec<String> {
    let mut parts = sound();
    mistake(&mut parts);
    let servers: Vec<ServiceName> = vec!["plain".into(), "spare".into(), "plain".into()];
    lines(&check_routes(&build(parts), Some(&servers)))
}

/// Returns the codes and places of the differences after `change`.
fn changed(change: impl FnOnce(&mut ConfigParts)) -> Vec<String> {
    let mut parts = sound();
    parts.version += 1;
    change(&mut parts);
    lines(&check_change(&build(sound()), &build(parts)))
}

#[test]
fn sound_configuration() {
    assert_eq!(found(|_| {}), [""; 0]);
    assert_eq!(changed(|_| {}), [""; 0]);
    // At their bounds, the limits do not contradict each other.
    assert_eq!(
        found(|parts| {
            parts.routes[0].target = parts.routes[0].timeout;
            parts.routes[0].target_gap = Some(parts.routes[0].timeout);
            parts.routes[0].max_servers = 2;
            parts.routes[0].shares[0].weight = 0;
            let share = parts.routes[1].shares[0].clone();
            parts.routes[0].shares.push(share);
        }),
        [""; 0]
    );
}

#[test]
fn same_prefix() {
    let found = found(|parts| parts.routes.push(route("late", "a.example", "/x/")));
    assert_eq!(found, [r#"same_prefix routes["late"].path_prefix"#]);
}

#[test]
fn prefix_without_slash() {
    let found = found(|parts| {
        parts.routes[1].prefix = "/x".to_owned();
        parts.routes[2].prefix = "x/".to_owned();
    });
    let expected = ["deep", "other"];
    assert_eq!(
        found,
        expected.map(|name| format!("unmatchable_prefix routes[{name:?}].path_prefix"))
    );
}

#[test]
fn duplicate_names() {
    let found = found(|parts| {
        parts.routes[2].name = "all".to_owned();
        parts.services.push("plain");
        parts.customers[1].name = "lilac".into();
    });
    let lists = [r#"routes["all"]"#, r#"services["plain"]"#, r#"tenants["lilac"]"#];
    assert_eq!(found, lists.map(|list| format!("duplicate_name {list}")));
}

#[test]
fn unknown_service() {
    let found = found(|parts| parts.services = vec!["spare"]);
    let names = ["all", "deep", "other"];
    assert_eq!(found, names.map(|name| format!("unknown_service routes[{name:?}]")));
}

#[test]
fn weights_sum_to_zero() {
    let found = found(|parts| parts.routes[0].shares[0].weight = 0);
    assert_eq!(found, [r#"no_weight routes["all"].traffic_split"#]);
}

#[test]
fn target_above_timeout() {
    let found = found(|parts| parts.routes[0].target = Duration::from_millis(1_001));
    assert_eq!(found, [r#"target_above_timeout routes["all"].target_latency_ms"#]);
}

#[test]
fn gap_above_timeout() {
    let found = found(|parts| parts.routes[0].target_gap = Some(Duration::from_millis(1_001)));
    assert_eq!(found, [r#"gap_above_timeout routes["all"].target_gap_ms"#]);
}

#[test]
fn attempts_above_servers() {
    let found = found(|parts| parts.routes[0].max_servers = 3);
    assert_eq!(found, [r#"attempts_above_servers routes["all"].max_attempts"#]);
    let mut parts = sound();
    parts.routes[0].max_servers = 3;
    assert_eq!(check_routes(&build(parts), None), [], "no servers are known");
}

#[test]
fn burst_below_request() {
    let found = found(|parts| {
        let limit = |burst, measure| Some(FleetLimit { per_second: 9.0, burst, measure });
        parts.customers[0].limit = limit(499.0, LimitMeasure::Tokens { plain: 500.0 });
        parts.customers[1].limit = limit(0.5, LimitMeasure::Requests);
        parts.customers.push(customer("teasel", "key 3"));
        parts.customers[2].limit = limit(0.0, LimitMeasure::Tokens { plain: 0.0 });
    });
    let names = ["lilac", "sorrel", "teasel"];
    assert_eq!(found, names.map(|name| format!("burst_below_request tenants[{name:?}].burst")));
}

#[test]
fn customer_without_key() {
    let found = found(|parts| parts.customers[0].keys.clear());
    assert_eq!(found, [r#"customer_without_key tenants["lilac"].api_keys"#]);
}

/// The same key twice at one customer does no harm; two common keys are one finding.
#[test]
fn key_of_two_customers() {
    let mut parts = sound();
    parts.customers[0].keys = ["key 1", "key 1", "key 2"].map(CredentialHash::of).to_vec();
    parts.customers[1].keys = ["key 1", "key 2"].map(CredentialHash::of).to_vec();
    let findings = check_routes(&build(parts), None);
    assert_eq!(lines(&findings), [r#"shared_key tenants["sorrel"].api_keys"#]);
    assert!(findings[0].detail.contains(r#"customer "lilac""#), "{}", findings[0].detail);
}

#[test]
fn unintended_changes() {
    let changed = changed(|parts| {
        parts.routes.remove(0);
        parts.routes[0].timeout *= 2;
        parts.services[1] = "spares";
        parts.customers[0].keys = vec![CredentialHash::of("key 3")];
    });
    let expected = [
        r#"removed routes["all"]"#,
        r#"changed routes["deep"]"#,
        r#"removed services["spare"]"#,
        r#"added services["spares"]"#,
        r#"changed tenants["lilac"]"#,
    ];
    assert_eq!(changed, expected);
}

/// Limits on callers are named as the configuration does.
#[test]
fn changed_limits() {
    let (old, mut new) = (build(sound()), build(sound()));
    new.version.0 += 1;
    new.limits.head_bytes += 1;
    assert_eq!(lines(&check_change(&old, &new)), ["changed limits.max_header_bytes"]);
}

/// A changed configuration without a higher version would be ignored by the VMs that have the
/// other.
#[test]
fn stale_version() {
    let changed = changed(|parts| {
        parts.version -= 1;
        parts.routes.truncate(2);
    });
    assert_eq!(changed, [r#"removed routes["other"]"#, "stale_version version"]);
}
