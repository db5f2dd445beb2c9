//! Maps adapters to the groups that serve them, and groups to the VMs that should own them.
//!
//! Both depend only on the manifest and the list of live VMs, so that all VMs come to the same
//! result without communication. See docs/PLACEMENT.md, "Groups".

use crate::grant::GrantRefusal;
use crate::id::{
    AdapterName, GroupName, ModelName, RegionName, ServerName, VmIdentity, stable_hash,
};
use crate::manifest::{EngineEntry, ServerKind, ServingManifest};
use crate::outcome::RefusalReason;
use crate::topology::{EngineInfo, GroupTopology, StoreShare, TenantShare};

/// Number of groups kept ranked for each adapter and region. Even a frequently used adapter rarely
/// needs more.
const RANKED_GROUPS: usize = 4;

/// Planned fill of a group, in percent. The reserve lets a server be added without moving others.
const PLANNED_FILL_PERCENT: usize = 75;

/// Group of engines of one region and one base model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineGroup {
    /// Unique name: region, model and number.
    pub name: GroupName,
    /// Region of its engines.
    pub region: RegionName,
    /// Base model that its engines run.
    pub model: ModelName,
    /// Names of its engines, sorted.
    pub servers: Vec<ServerName>,
    hash: u64,
}

/// Index of an adapter in a [`GroupMap`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdapterRoute(u32);

/// Index of a group in a [`GroupMap`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupRoute(u32);

impl GroupRoute {
    /// Returns the index in [`GroupMap::groups`].
    #[must_use]
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Maps adapters to groups. Built once for each accepted configuration; lookups don't allocate.
#[derive(Clone, Debug, Default)]
pub struct GroupMap {
    regions: Vec<RegionName>,
    groups: Vec<EngineGroup>,
    adapters: Vec<AdapterName>,
    /// Hashes of the adapters' names with their indices, sorted. Comparing contiguous numbers
    /// touches far less memory than comparing names.
    hashes: Vec<(u64, u32)>,
    ranks: Vec<GroupRoute>,
    rank_ends: Vec<u32>,
}

impl GroupMap {
    /// Builds the map of `manifest`, whose lists must be sorted by name.
    #[must_use]
    pub fn new(manifest: &ServingManifest) -> Self {
        let groups = plan_groups(manifest);
        let mut regions: Vec<RegionName> =
            groups.iter().map(|group| group.region.clone()).collect();
        regions.dedup();
        let mut map = Self { regions, groups, ..Self::default() };
        for adapter in &manifest.adapters {
            let index = map.adapters.len() as u32;
            map.hashes.push((stable_hash(&[adapter.name.as_str()]), index));
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

    /// Returns all groups, sorted by region, model and number.
    #[must_use]
    pub fn groups(&self) -> &[EngineGroup] {
        &self.groups
    }

    /// Returns the group at an index of this map.
    #[must_use]
    pub fn group(&self, group: GroupRoute) -> &EngineGroup {
        &self.groups[group.0 as usize]
    }

    /// Returns the group with this name, by linear search.
    #[must_use]
    pub fn find_group(&self, name: &str) -> Option<&EngineGroup> {
        self.groups.iter().find(|group| group.name.as_str() == name)
    }

    /// Returns the group that `server` belongs to; `None` unless it is an engine.
    #[must_use]
    pub fn group_of_server(&self, server: &ServerName) -> Option<&EngineGroup> {
        self.groups.iter().find(|group| group.servers.binary_search(server).is_ok())
    }

    /// Finds an adapter by binary search over the hashes of names.
    #[must_use]
    pub fn adapter(&self, name: &str) -> Option<AdapterRoute> {
        let hash = stable_hash(&[name]);
        let start = self.hashes.partition_point(|entry| entry.0 < hash);
        let mut same = self.hashes[start..].iter().take_while(|entry| entry.0 == hash);
        let found = same.find(|entry| self.adapters[entry.1 as usize].as_str() == name);
        found.map(|entry| AdapterRoute(entry.1))
    }

    /// Returns the groups of `region` that may serve `adapter`, the preferred one first.
    #[must_use]
    pub fn ranked(&self, adapter: AdapterRoute, region: &str) -> &[GroupRoute] {
        let Some(region) = self.regions.iter().position(|name| name.as_str() == region) else {
            return &[];
        };
        let at = adapter.0 as usize * self.regions.len() + region;
        let start = if at == 0 { 0 } else { self.rank_ends[at - 1] as usize };
        &self.ranks[start..self.rank_ends[at] as usize]
    }

    /// Returns the groups of `region` for the adapter called `name`, the preferred one first.
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

    /// Returns the part of `manifest` that the owner of `group` needs. The store's capacity is
    /// divided equally among the groups of the region.
    #[must_use]
    pub fn topology(&self, group: &EngineGroup, manifest: &ServingManifest) -> GroupTopology {
        let engines = group.servers.iter().filter_map(|name| engine_info(manifest, name)).collect();
        let region_groups = self.groups.iter().filter(|other| other.region == group.region).count();
        let store = manifest.stores.iter().find(|store| store.region == group.region);
        let tenants = manifest
            .tenants
            .iter()
            .map(|tenant| TenantShare { tenant: tenant.name.clone(), weight: tenant.weight });
        GroupTopology {
            group: group.name.clone(),
            engines,
            store: store.map_or_else(StoreShare::default, |store| StoreShare {
                loads_per_s: store.loads_per_s / region_groups.max(1) as f64,
                full_speed: (store.full_speed / region_groups.max(1) as u32).max(1),
            }),
            classes: manifest.classes.clone(),
            tenants: tenants.collect(),
            policy: manifest.policy.clone(),
        }
    }
}

/// Delay after which a caller may retry a request for an unknown or unserved adapter.
const UNROUTED_RETRY_MS: u64 = 5_000;

/// Returns the VM among `vms` that should own `group`, by rendezvous hashing of the VMs' names.
///
/// When a VM leaves, only its groups move; a VM that joins takes over an equal share of the groups.
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
    let max_servers = (manifest.policy.group_servers as usize).max(1);
    let mut groups = Vec::new();
    for pool in pools.chunk_by(|left, right| (left.0, left.1) == (right.0, right.1)) {
        groups.extend(split_pool(pool, max_servers));
    }
    groups
}

/// Splits a pool by rendezvous hashing with bounded group sizes, so that adding a server moves few
/// others.
fn split_pool(
    pool: &[(&RegionName, &ModelName, &ServerName)],
    max_servers: usize,
) -> Vec<EngineGroup> {
    let planned = (max_servers * PLANNED_FILL_PERCENT / 100).max(1);
    let count = if pool.len() <= max_servers { 1 } else { pool.len().div_ceil(planned) };
    let mut groups: Vec<EngineGroup> =
        (0..count).map(|number| new_group(pool[0], number)).collect();
    let mut servers: Vec<(u64, &ServerName)> =
        pool.iter().map(|entry| (stable_hash(&[entry.2.as_str()]), entry.2)).collect();
    servers.sort_unstable();
    for (hash, server) in servers {
        let open = groups.iter_mut().filter(|group| group.servers.len() < max_servers);
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

/// Mixes two hashes into a rank for rendezvous hashing.
fn mix(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.rotate_left(32);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
