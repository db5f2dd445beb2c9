//! Many groups with loaded engines, for measurements of decisions.

use coltsfoothook_decision::id::{
    AdapterVersion, OwnerEpoch, ServerIncarnation, ServerName, TimePoint,
};
use coltsfoothook_decision::manifest::{
    AdapterEntry, EngineEntry, ServerEntry, ServerKind, ServingManifest, VersionEntry,
};
use coltsfoothook_decision::owner::{GroupOwner, OwnerEvent, OwnerSettings};
use coltsfoothook_decision::report::{EngineReport, SlotReport};
use coltsfoothook_decision::route::GroupMap;
use coltsfoothook_decision::slot::slot_name;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;

/// The region of the callers; only its groups have loaded engines.
pub(crate) const REGION: &str = "region-0";
/// Numbers of regions and base models at the target size.
const REGIONS: u32 = 2;
const MODELS: u32 = 4;
/// Adapter slots of each engine.
const SLOTS: usize = 32;

/// The map of all groups, with their owners. Engines report loaded slots for the groups of
/// [`REGION`].
pub(crate) struct RouteFleet {
    pub(crate) map: GroupMap,
    /// Owners, in the order of the groups of the map.
    pub(crate) owners: Vec<GroupOwner>,
    /// The reported slots of the engines.
    loaded: Vec<LoadedEngine>,
}

/// The reported slots of one engine.
struct LoadedEngine {
    /// Index of its group.
    group: usize,
    server: ServerName,
    slots: Vec<SlotReport>,
}

impl RouteFleet {
    /// Creates the groups of [`manifest`] and loads their engines.
    pub(crate) fn new(servers: u32, adapters: u32) -> Self {
        let manifest = manifest(servers, adapters);
        let map = GroupMap::new(&manifest);
        let owners = map.groups().iter().map(|group| {
            let topology = map.topology(group, &manifest);
            GroupOwner::new(OwnerSettings::default(), topology, OwnerEpoch(1), TimePoint(0))
        });
        let owners = owners.collect();
        let mut fleet = Self { map, owners, loaded: Vec::new() };
        fleet.load_engines(&manifest);
        fleet
    }

    /// Fills the slots of each group's engines with the first adapters routed to the group, and
    /// reports them to the owner.
    fn load_engines(&mut self, manifest: &ServingManifest) {
        let mut routed: Vec<Vec<AdapterVersion>> = vec![Vec::new(); self.owners.len()];
        for (number, entry) in manifest.adapters.iter().enumerate() {
            let Ok(groups) = self.map.route(entry.name.as_str(), REGION) else { continue };
            routed[groups[0].index()].push(Self::adapter(number as u32));
        }
        let mut rng = Pcg64::seed_from_u64(1);
        for (at, adapters) in routed.iter().enumerate() {
            let servers = self.map.groups()[at].servers.clone();
            for (engine, server) in servers.into_iter().enumerate() {
                let loaded = adapters.iter().skip(engine * SLOTS).take(SLOTS).enumerate();
                let slots = loaded.map(|(number, adapter)| SlotReport {
                    slot: slot_name(adapter, OwnerEpoch(1), (engine * SLOTS + number) as u64),
                    running: 0,
                });
                let slots: Vec<SlotReport> = slots.collect();
                let (group, name) = (at, server.clone());
                self.loaded.push(LoadedEngine { group, server: name, slots: slots.clone() });
                let report = EngineReport {
                    leaving: false,
                    incarnation: ServerIncarnation(1),
                    sequence: 1,
                    running: 0,
                    waiting: 0,
                    slots,
                };
                let event = OwnerEvent::Report { server, report };
                self.owners[at].handle(TimePoint(1), event, &mut rng, &mut Vec::new());
            }
        }
    }

    /// Returns the slots that `server` of the group with the index `group` reports; empty if there
    /// is no such engine.
    pub(crate) fn reported(&self, group: usize, server: &ServerName) -> Vec<SlotReport> {
        let engine = self.loaded.iter().find(|it| it.group == group && it.server == *server);
        engine.map(|engine| engine.slots.clone()).unwrap_or_default()
    }

    /// Returns version `v1` of the adapter with the given number.
    pub(crate) fn adapter(number: u32) -> AdapterVersion {
        AdapterVersion {
            adapter: format!("adapter-{number:06}").as_str().into(),
            version: "v1".into(),
        }
    }
}

/// Returns a manifest of `servers` engines and `adapters` adapters, assigned round-robin to
/// regions, domains and models.
pub(crate) fn manifest(servers: u32, adapters: u32) -> ServingManifest {
    ServingManifest {
        servers: (0..servers).map(server).collect(),
        adapters: (0..adapters)
            .map(|number| AdapterEntry {
                name: RouteFleet::adapter(number).adapter,
                model: model(number),
                versions: vec![VersionEntry { version: "v1".into(), weights: String::new() }],
                default_version: None,
                tenants: Vec::new(),
            })
            .collect(),
        ..Default::default()
    }
}

fn server(number: u32) -> ServerEntry {
    ServerEntry {
        name: ServerName(format!("server-{number:06}")),
        address: ([127, 0, 0, 1], 1).into(),
        domain: format!("domain-{}", number % 5).as_str().into(),
        region: format!("region-{}", number % REGIONS).as_str().into(),
        serves: ServerKind::Engine(EngineEntry {
            model: model(number / REGIONS),
            adapter_slots: SLOTS as u32,
            batch_slots: 32,
            checks_fencing: true,
        }),
    }
}

fn model(number: u32) -> coltsfoothook_decision::id::ModelName {
    format!("model-{}", number % MODELS).as_str().into()
}
