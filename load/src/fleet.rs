//! A fleet of many groups with loaded engines, to measure decisions on.

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

/// The region whose callers ask.
pub(crate) const REGION: &str = "region-0";
/// Regions and base models of the target size.
const REGIONS: u32 = 2;
const MODELS: u32 = 4;
/// Slots of each engine, all of them taken.
const SLOTS: usize = 32;

/// The map of all groups, and the owners of those of [`REGION`] with their engines' reports read.
pub(crate) struct RouteFleet {
    pub(crate) map: GroupMap,
    /// In the order of the groups; those of other regions have no engines' reports.
    pub(crate) owners: Vec<GroupOwner>,
    /// What the engines' slots hold.
    loaded: Vec<LoadedEngine>,
}

/// The slots of one engine.
struct LoadedEngine {
    group: usize,
    server: ServerName,
    slots: Vec<SlotReport>,
}

impl RouteFleet {
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

    /// Fills each group's slots with the first adapters that belong to it.
    fn load_engines(&mut self, manifest: &ServingManifest) {
        let mut wanted: Vec<Vec<AdapterVersion>> = vec![Vec::new(); self.owners.len()];
        for (number, entry) in manifest.adapters.iter().enumerate() {
            let Ok(groups) = self.map.route(entry.name.as_str(), REGION) else { continue };
            wanted[groups[0].index()].push(Self::adapter(number as u32));
        }
        let mut rng = Pcg64::seed_from_u64(1);
        for (at, adapters) in wanted.iter().enumerate() {
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

    /// What `server` of the group at `place` reports of its slots.
    pub(crate) fn reported(&self, place: usize, server: &ServerName) -> Vec<SlotReport> {
        let engine = self.loaded.iter().find(|it| it.group == place && it.server == *server);
        engine.map(|engine| engine.slots.clone()).unwrap_or_default()
    }

    /// The adapter of a number.
    pub(crate) fn adapter(number: u32) -> AdapterVersion {
        AdapterVersion {
            adapter: format!("adapter-{number:06}").as_str().into(),
            version: "v1".into(),
        }
    }
}

/// A manifest of so many engines and adapters, dealt out to regions, domains and models in turn.
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
