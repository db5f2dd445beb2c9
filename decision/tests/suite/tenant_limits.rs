// A customer floods the fleet through several VMs. Each VM knows only the requests that it receives
// and the usage that the others spread. Together they must admit the customer's rate, whether its
// callers use one VM or all.

use std::net::SocketAddr;

use coltsfoothook_decision::id::{TimePoint, VmIdentity, VmIncarnation};
use coltsfoothook_decision::limit::FleetLimiter;
use coltsfoothook_decision::manifest::{ServingManifest, TenantEntry};
use coltsfoothook_decision::member::{
    CustomerUsage, MemberDigest, MemberEvent, MemberFacts, MemberPlace, MemberSettings,
    MemberState, MemberTable, ProbeMessage,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

const VMS: usize = 4;
const RATE: f64 = 40.0;

fn place() -> MemberPlace {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    MemberPlace { caller: address, peer: address, domain: "d".into(), region: "r".into() }
}

fn vm(at: usize) -> VmIdentity {
    VmIdentity { vm: format!("vm-{at}").into(), incarnation: VmIncarnation(1) }
}

fn manifest() -> ServingManifest {
    let tenant = TenantEntry {
        name: "flood".into(),
        credentials: Vec::new(),
        requests_per_s: Some(RATE),
        burst: 8,
        weight: 1.0,
    };
    ServingManifest { tenants: vec![tenant], ..Default::default() }
}

/// Runs for `seconds` with `load` requests per second at each VM. Returns the requests admitted per
/// second, after the shares have settled.
fn admitted(load: [u64; VMS], seconds: u64) -> f64 {
    let mut limiters = vec![FleetLimiter::default(); VMS];
    limiters.iter_mut().for_each(|limiter| limiter.configure_manifest(TimePoint(0), &manifest()));
    let mut tables: Vec<MemberTable> =
        (0..VMS).map(|at| MemberTable::new(MemberSettings::default(), vm(at), place())).collect();
    let mut rng = Pcg64::seed_from_u64(1);
    let settled_from = seconds / 2;
    let mut count = 0_u64;
    for second in 0..seconds {
        let start = TimePoint(second * 1_000_000);
        let usages: Vec<Vec<CustomerUsage>> =
            limiters.iter_mut().map(|limiter| limiter.usage(start)).collect();
        for at in 0..VMS {
            for other in (0..VMS).filter(|other| *other != at) {
                let facts = MemberFacts { usage: usages[other].clone(), ..Default::default() };
                let from = MemberDigest {
                    vm: vm(other),
                    sequence: second + 1,
                    state: MemberState::Alive,
                    place: Some(place()),
                    facts,
                };
                let message = ProbeMessage { number: 1, from, target: None, updates: Vec::new() };
                let event = MemberEvent::Probe { call: 1, message };
                tables[at].handle(start, event, &mut rng, &mut Vec::new());
            }
            limiters[at].apply_digests(start, &tables[at]);
            for n in 0..load[at] {
                let now = start.plus(n * 1_000_000 / load[at]);
                let is_admitted = limiters[at].admit(now, "flood", 1.0).is_ok();
                count += u64::from(is_admitted && second >= settled_from);
            }
        }
    }
    count as f64 / (seconds - settled_from) as f64
}

#[test]
fn rate_holds_for_the_fleet() {
    for load in [[100, 100, 100, 100], [400, 0, 0, 0], [300, 50, 50, 0]] {
        let rate = admitted(load, 40);
        assert!(
            (0.75 * RATE..=1.1 * RATE).contains(&rate),
            "{load:?}: {rate} requests admitted per second"
        );
    }
}

#[test]
fn moderate_tenant_is_served() {
    let rate = admitted([9, 9, 9, 9], 40);
    assert!(rate >= 34.0, "{rate} requests admitted per second of 36 sent, with a limit of 40");
}

#[test]
fn refusal_has_retry_delay() {
    let mut limiter = FleetLimiter::default();
    limiter.configure_manifest(TimePoint(0), &manifest());
    let refused = (0..100).find_map(|_| limiter.admit(TimePoint(0), "flood", 1.0).err());
    let wait = refused.expect("a burst of 8 is exhausted").retry_after_ms;
    assert!((1..=1_000).contains(&wait), "{wait} ms");
    assert!(limiter.admit(TimePoint(0), "unlimited", 1.0).is_ok());
}
