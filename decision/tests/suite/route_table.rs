//! Mapping of requests to routes and services.

use std::time::Duration;

use coltsfoothook_decision::id::ConfigVersion;
use coltsfoothook_decision::routing::{
    CallerLimits, RetryRule, RouteShare, RouteTable, ServingRoute,
};

/// Returns a route to the service `plain`.
pub(crate) fn route(name: &str, host: &str, prefix: &str) -> ServingRoute {
    ServingRoute {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        shares: vec![RouteShare { service: "plain".into(), weight: 1 }],
        repeat: RetryRule::Once,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        target_gap: None,
        priority: 0,
        max_servers: 1,
        public: false,
    }
}

/// Returns a configuration of `routes` without services and customers.
pub(crate) fn table(routes: Vec<ServingRoute>) -> RouteTable {
    let limits = CallerLimits {
        head_bytes: 8_192,
        body_bytes: 1 << 20,
        head_time: Duration::from_secs(1),
        idle_time: Duration::from_secs(15),
    };
    RouteTable::new(ConfigVersion(1), limits, routes, Vec::new())
}

#[test]
fn longest_prefix() {
    let table = table(vec![
        route("all", "a.example", "/"),
        route("deep", "a.example", "/x/y/"),
        route("mid", "a.example", "/x/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let found = |host: &str, path: &str| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found("a.example", "/x/y/z/1"), Some("deep"));
    assert_eq!(found("a.example", "/x/y"), Some("mid"));
    assert_eq!(found("a.example", "/xy/1"), Some("all"));
    assert_eq!(found("b.example", "/x/y/1"), None);
    assert_eq!(found("c.example", "/x/y/1"), None);
    assert_eq!(found("a.example", ""), None);
}

/// Requests are split by weight, and the same request id always goes to the same service.
#[test]
fn split_shares() {
    let mut split = route("split", "a.example", "/");
    split.shares = vec![
        RouteShare { service: "most".into(), weight: 90 },
        RouteShare { service: "few".into(), weight: 10 },
    ];
    let service = |id: &str| split.service_for(id).map(|service| service.as_str().to_owned());
    let few = (0..10_000).filter(|id| service(&format!("r{id}")).as_deref() == Some("few"));
    let few = few.count();
    assert!((800..1_200).contains(&few), "{few} of 10000 went to the service with weight 10");
    assert_eq!(service("r1"), service("r1"));
}

/// A split whose weights are all zero has no service, and must not divide by zero.
#[test]
fn no_weights() {
    let mut split = route("split", "a.example", "/");
    split.shares = vec![RouteShare { service: "none".into(), weight: 0 }];
    assert_eq!(split.service_for("r1"), None);
}

/// The idle timeout of a stream is the longest of two seconds, four targets and eight allowed
/// pauses.
#[test]
fn stream_idle_timeout() {
    let mut stream = route("stream", "a.example", "/");
    stream.repeat = RetryRule::StreamOnce;
    assert_eq!(stream.idle_timeout(), Duration::from_secs(2));
    stream.target = Duration::from_millis(800);
    assert_eq!(stream.idle_timeout(), Duration::from_millis(3_200));
    stream.target_gap = Some(Duration::from_millis(500));
    assert_eq!(stream.idle_timeout(), Duration::from_secs(4));
}
