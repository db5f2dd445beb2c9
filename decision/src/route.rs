//! Which group serves an adapter, and which VM should own a group.
//!
//! Everything here follows from the manifest and a list of live VMs alone, so that all VMs come to
//! the same answer without talking. See docs/PLACEMENT.md, "Groups".

use crate::grant::GrantRefusal;
use crate::id::{
    AdapterName, GroupName, ModelName, RegionName, ServerName, VmIdentity, stable_hash,
};
use crate::manifest::{EngineEntry, ServerKind, ServingManifest};
use crate::outcome::RefusalReason;
use crate::topology::{EngineInfo, GroupTopology, StoreShare, TenantShare};

/// How many groups are kept ranked for each adapter and region. A hot adapter rarely needs more.
const RANKED_GROUPS: usize = 4;

/// Groups are planned this full, in percent, so that an added server rarely moves others.
const PLANNED_FILL_PERCENT: usize = 75;

/// A group of engines of one region and one base model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineGroup {
    /// Its name: region, model and number.
    pub name: GroupName,
    /// The region.
    pub region: RegionName,
    /// The base model.
    pub model: ModelName,
    /// Its engines, sorted.
    pub servers: Vec<ServerName>,
    hash: u64,
}

/// An adapter's place in a [`GroupMap`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdapterRoute(u32);

/// A group's place in a [`GroupMap`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupRoute(u32);

impl GroupRoute {
    /// The group's place in [`GroupMap::groups`].
    #[must_use]
    pub fn place(self) -> usize {
        self.0 as usize
    }
}

/// Maps adapters to groups. Built once for each accepted configuration; look-ups allocate nothing.
#[derive(Clone, Debug, Default)]
pub struct GroupMap {
    regions: Vec<RegionName>,
    groups: Vec<EngineGroup>,
    adapters: Vec<AdapterName>,
    /// Hashes of the adapters' names with their places, sorted: comparing numbers that lie side by
    /// side touches far less memory than comparing names.
    hashes: Vec<(u64, u32)>,
    ranks: Vec<GroupRoute>,
    rank_ends: Vec<u32>,
}

impl GroupMap {
    /// Builds the map of `manifest`, whose lists are sorted by name.
    #[must_use]
    pub fn new(manifest: &ServingManifest) -> Self {
        let groups = plan_groups(manifest);
        let mut regions: Vec<RegionName> =
            groups.iter().map(|group| group.region.clone()).collect();
        regions.dedup();
        let mut map = Self { regions, groups, ..Self::default() };
        for adapter in &manifest.adapters {
            let place = map.adapters.len() as u32;
            map.hashes.push((stable_hash(&[adapter.name.as_str()]), place));
            map.adapters.push(adapter.name.clone());
            map.rank_adapter(adapter.name.as_str(), &adapter.model);
        }
        map.hashes.sort_unstable();
        map
    }

    fn rank_adapter(&mut self, adapter: &str, model: &ModelName) {
        let hash = stable_hash(&[adapter]);
        for region in 0..self.regions.len() {
            let mut ranked: Vec<(u64, GroupRoute)> = Vec::new();
            for (at, group) in self.groups.iter().enumerate() {
                if group.region == self.regions[region] && group.model == *model {
                    ranked.push((mix(hash, group.hash), GroupRoute(at as u32)));
                }
            }
            ranked.sort_unstable_by(|left, right| right.cmp(left));
            self.ranks.extend(ranked.iter().take(RANKED_GROUPS).map(|entry| entry.1));
            self.rank_ends.push(self.ranks.len() as u32);
        }
    }

    /// All groups, sorted by region, model and number.
    #[must_use]
    pub fn groups(&self) -> &[EngineGroup] {
        &self.groups
    }

    /// A group by its place.
    #[must_use]
    pub fn group(&self, group: GroupRoute) -> &EngineGroup {
        &self.groups[group.0 as usize]
    }

    /// Finds a group by name.
    #[must_use]
    pub fn find_group(&self, name: &str) -> Option<&EngineGroup> {
        self.groups.iter().find(|group| group.name.as_str() == name)
    }

    /// The group that `server` belongs to, if it is an engine.
    #[must_use]
    pub fn group_of_server(&self, server: &ServerName) -> Option<&EngineGroup> {
        self.groups.iter().find(|group| group.servers.binary_search(server).is_ok())
    }

    /// Finds an adapter by binary search.
    #[must_use]
    pub fn adapter(&self, name: &str) -> Option<AdapterRoute> {
        let hash = stable_hash(&[name]);
        let start = self.hashes.partition_point(|entry| entry.0 < hash);
        let mut same = self.hashes[start..].iter().take_while(|entry| entry.0 == hash);
        let found = same.find(|entry| self.adapters[entry.1 as usize].as_str() == name);
        found.map(|entry| AdapterRoute(entry.1))
    }

    /// The groups of `region` that may serve `adapter`, the usual one first.
    #[must_use]
    pub fn ranked(&self, adapter: AdapterRoute, region: &str) -> &[GroupRoute] {
        let Some(region) = self.regions.iter().position(|name| name.as_str() == region) else {
            return &[];
        };
        let at = adapter.0 as usize * self.regions.len() + region;
        let start = if at == 0 { 0 } else { self.rank_ends[at - 1] as usize };
        &self.ranks[start..self.rank_ends[at] as usize]
    }

    /// The groups of `region` for the adapter called `name`, or why there is none.
    ///
    /// # Errors
    /// The adapter is unknown, or no engine of the region runs its base model.
    pub fn route(&self, name: &str, region: &str) -> Result<&[GroupRoute], GrantRefusal> {
        let refusal = |reason| GrantRefusal { reason, retry_after_ms: UNROUTED_RETRY_MS };
        let adapter = self.adapter(name).ok_or(refusal(RefusalReason::UnknownAdapter))?;
        let ranked = self.ranked(adapter, region);
        if ranked.is_empty() {
            return Err(refusal(RefusalReason::NoServer));
        }
        Ok(ranked)
    }

    /// What the owner of `group` needs to know of `manifest`.
    #[must_use]
    pub fn topology(&self, group: &EngineGroup, manifest: &ServingManifest) -> GroupTopology {
        let engines = group.servers.iter().filter_map(|name| engine_info(manifest, name)).collect();
        let sharers = self.groups.iter().filter(|other| other.region == group.region).count();
        let store = manifest.stores.iter().find(|store| store.region == group.region);
        let tenants = manifest
            .tenants
            .iter()
            .map(|tenant| TenantShare { tenant: tenant.name.clone(), weight: tenant.weight });
        GroupTopology {
            group: group.name.clone(),
            engines,
            store: store.map_or_else(StoreShare::default, |store| StoreShare {
                loads_per_s: store.loads_per_s / sharers.max(1) as f64,
                full_speed: (store.full_speed / sharers.max(1) as u32).max(1),
            }),
            classes: manifest.classes.clone(),
            tenants: tenants.collect(),
            policy: manifest.policy.clone(),
        }
    }
}

/// When a caller whose adapter is not known here may try again.
const UNROUTED_RETRY_MS: u64 = 5_000;

/// The VM among `vms` that should own `group`, by rendezvous hashing over the VMs' names.
///
/// Only a group whose owner is gone moves, and a VM that joins takes an equal share over time.
#[must_use]
pub fn preferred_owner<'vms>(
    group: &GroupName,
    vms: impl IntoIterator<Item = &'vms VmIdentity>,
) -> Option<&'vms VmIdentity> {
    vms.into_iter().max_by_key(|vm| (stable_hash(&[group.as_str(), vm.vm.as_str()]), &vm.vm))
}

fn engine_info(manifest: &ServingManifest, name: &ServerName) -> Option<EngineInfo> {
    let server = manifest.server(name.as_str())?;
    let ServerKind::Engine(engine) = &server.serves else { return None };
    Some(EngineInfo {
        server: name.clone(),
        adapter_slots: engine.adapter_slots,
        batch_slots: engine.batch_slots,
        checks_fencing: engine.checks_fencing,
    })
}

fn plan_groups(manifest: &ServingManifest) -> Vec<EngineGroup> {
    let mut pools: Vec<(&RegionName, &ModelName, &ServerName)> = Vec::new();
    for server in &manifest.servers {
        if let ServerKind::Engine(EngineEntry { model, .. }) = &server.serves {
            pools.push((&server.region, model, &server.name));
        }
    }
    pools.sort_unstable();
    let most = (manifest.policy.group_servers as usize).max(1);
    let mut groups = Vec::new();
    for pool in pools.chunk_by(|left, right| (left.0, left.1) == (right.0, right.1)) {
        groups.extend(split_pool(pool, most));
    }
    groups
}

/// Splits a pool by rendezvous hashing with bounded groups, so that adding a server moves few.
fn split_pool(pool: &[(&RegionName, &ModelName, &ServerName)], most: usize) -> Vec<EngineGroup> {
    let planned = (most * PLANNED_FILL_PERCENT / 100).max(1);
    let count = if pool.len() <= most { 1 } else { pool.len().div_ceil(planned) };
    let mut groups: Vec<EngineGroup> =
        (0..count).map(|number| new_group(pool[0], number)).collect();
    let mut servers: Vec<(u64, &ServerName)> =
        pool.iter().map(|entry| (stable_hash(&[entry.2.as_str()]), entry.2)).collect();
    servers.sort_unstable();
    for (hash, server) in servers {
        let open = groups.iter_mut().filter(|group| group.servers.len() < most);
        if let Some(group) = open.max_by_key(|group| mix(hash, group.hash)) {
            group.servers.push(server.clone());
        }
    }
    for group in &mut groups {
        group.servers.sort_unstable();
    }
    groups.retain(|group| !group.servers.is_empty());
    groups
}

fn new_group(pool: (&RegionName, &ModelName, &ServerName), number: usize) -> EngineGroup {
    let name = format!("{}/{}/{number:03}", pool.0, pool.1);
    EngineGroup {
        hash: stable_hash(&[&name]),
        name: GroupName(name),
        region: pool.0.clone(),
        model: pool.1.clone(),
        servers: Vec::new(),
    }
}

/// Mixes two hashes into one whose order is that of a rendezvous.
fn mix(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.rotate_left(32);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
