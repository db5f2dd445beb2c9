//! Groups and routes are the same on every VM, and change little when servers come and go.

use coltsfoothook_decision::id::VmIdentity;
use coltsfoothook_decision::manifest::{
    AdapterEntry, EngineEntry, ServerEntry, ServerKind, ServingManifest, VersionEntry,
};
use coltsfoothook_decision::outcome::RefusalReason;
use coltsfoothook_decision::route::{GroupMap, preferred_owner};

use crate::owner_world::vm;

fn manifest(servers: u32, adapters: u32) -> ServingManifest {
    let engine = |number: u32| ServerEntry {
        name: format!("s{number:04}").as_str().into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".into(),
        region: "r".into(),
        serves: ServerKind::Engine(EngineEntry {
            model: "base".into(),
            adapter_slots: 4,
            batch_slots: 4,
            checks_fencing: true,
        }),
    };
    let adapter = |number: u32| AdapterEntry {
        name: format!("a{number:05}").as_str().into(),
        model: "base".into(),
        versions: vec![VersionEntry { version: "v1".into(), weights: String::new() }],
        default_version: None,
        tenants: Vec::new(),
    };
    ServingManifest {
        servers: (0..servers).map(engine).collect(),
        adapters: (0..adapters).map(adapter).collect(),
        ..Default::default()
    }
}

// An added server must not move many others between groups, since each of them would have to load
// other adapters.
#[test]
fn server_added() {
    let before = GroupMap::new(&manifest(100, 0));
    let after = GroupMap::new(&manifest(101, 0));
    assert!(before.groups().iter().all(|group| group.servers.len() <= 16));
    let moved = before.groups().iter().flat_map(|group| &group.servers).filter(|server| {
        let group = |map: &GroupMap| map.group_of_server(server).map(|group| group.name.clone());
        group(&before) != group(&after)
    });
    assert!(moved.count() <= 15, "too many servers changed their group");
}

#[test]
fn adapters_spread() {
    let map = GroupMap::new(&manifest(100, 9_000));
    let mut counts = vec![0u32; map.groups().len()];
    for number in 0..9_000 {
        let ranked = map.route(&format!("a{number:05}"), "r").expect("a known adapter");
        counts[ranked[0].index()] += 1;
        assert_eq!(ranked.len(), 4);
    }
    assert!(counts.iter().all(|&count| (850..1_150).contains(&count)), "{counts:?}");
}

#[test]
fn unknown_names() {
    let map = GroupMap::new(&manifest(3, 1));
    let reason = |adapter, region| map.route(adapter, region).expect_err("no route").reason;
    assert_eq!(reason("nobody", "r"), RefusalReason::UnknownAdapter);
    assert_eq!(reason("a00000", "elsewhere"), RefusalReason::NoServer);
}

// When a VM dies, only its own groups get a new owner.
#[test]
fn owner_dies() {
    let vms: Vec<VmIdentity> = (0..6).map(vm).collect();
    for number in 0..50 {
        let group = format!("g{number}").as_str().into();
        let owner = preferred_owner(&group, &vms).expect("an owner").clone();
        let rest: Vec<VmIdentity> = vms.iter().filter(|vm| vm.vm != vms[0].vm).cloned().collect();
        let next = preferred_owner(&group, &rest).expect("an owner");
        assert!(owner == vms[0] || owner == *next);
    }
}
