//! A complete site in one process: entry VMs, stand-in servers and the manifest that configures
//! them.
//!
//! The entry VMs run the code of the entry binary, each on its own loopback ports. The
//! demonstration, the tests of the entry process and the experiments of the load tool use such a
//! site.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use coltsfoothook_decision::credential::CredentialHash;
use coltsfoothook_decision::id::{ConfigVersion, VmName};
use coltsfoothook_decision::manifest::{
    AdapterEntry, EngineEntry, ModelEntry, PlacementPolicy, ServerEntry, ServerKind, ServiceEntry,
    ServingManifest, StoreEntry, TenantEntry, VersionEntry,
};
use coltsfoothook_decision::member::{ListedState, ListedVm, MemberPlace};
use coltsfoothook_entry::{
    CallerInterfaceSettings, EntryProcess, EntrySettings, KeySettings, PeerInterfaceSettings,
};
use coltsfoothook_settings::SecretFile;
use coltsfoothook_standin::{
    EngineHandle, EngineServerSettings, PlatformHandle, PlatformServerSettings, ServiceHandle,
    ServiceServerSettings, StoreHandle, StoreServerSettings, VmChange, start_engine,
    start_platform, start_service, start_store,
};
use snafu::{ResultExt, Snafu};
use tokio::time::{Instant, sleep};

use crate::client::{SiteClient, SiteFailure};

/// The operator token that a local site accepts at its start.
pub const OPERATOR_TOKEN: &str = "local-operator-token";
/// The only region of a local site.
pub const REGION: &str = "nbo";
/// The base model that all engines of a local site run.
pub const MODEL: &str = "log-7b";
/// The name of the plain service of a local site.
pub const SERVICE: &str = "field";
/// The version of every adapter in the initial manifest.
pub const FIRST_VERSION: &str = "1";
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const DOMAINS: [&str; 3] = ["embakasi", "westlands", "ruaraka"];
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Size and settings of a local site.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Number of entry VMs.
    pub vms: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of servers of the plain service.
    pub services: usize,
    /// Number of adapters; each has one version at the start.
    pub adapters: usize,
    /// Number of tenants; adapters are assigned to them round-robin.
    pub tenants: usize,
    /// Settings of every engine; [`LocalSite::start`] sets the weight store and the incarnation.
    pub engine: EngineServerSettings,
    /// Settings of the weight store.
    pub store: StoreServerSettings,
    /// Settings of the log and the VM directory.
    pub platform: PlatformServerSettings,
    /// The placement policy of the manifest.
    pub policy: PlacementPolicy,
    /// Settings that all entry VMs share; [`LocalSite::start_vm`] sets names, addresses and the
    /// operator token.
    pub entry: EntrySettings,
}

impl Default for SiteSettings {
    fn default() -> Self {
        Self {
            vms: 3,
            engines: 2,
            services: 1,
            adapters: 8,
            tenants: 2,
            engine: EngineServerSettings::default(),
            store: StoreServerSettings { load_ms: 50, loads_per_s: 50.0, ..Default::default() },
            platform: PlatformServerSettings { list_lag_ms: 200, ..Default::default() },
            policy: PlacementPolicy { stall_weight: 0.8, ..Default::default() },
            entry: EntrySettings::default(),
        }
    }
}

/// Failure of an operation on a local site.
#[derive(Debug, Snafu)]
pub enum SiteError {
    /// A stand-in server cannot listen, or the token file cannot be written.
    #[snafu(display("cannot start a stand-in server: {source}"))]
    Standin {
        /// The cause.
        source: std::io::Error,
    },
    /// An entry VM cannot start.
    #[snafu(display("cannot start an entry VM: {source}"))]
    Entry {
        /// The cause.
        source: coltsfoothook_entry::EntryError,
    },
    /// A VM refused the manifest, or could not be reached.
    #[snafu(display("cannot publish the manifest: {source}"))]
    Publish {
        /// The cause.
        source: SiteFailure,
    },
    /// A condition did not hold in time.
    #[snafu(display("timed out after {within:?} waiting for {what}"))]
    Timeout {
        /// The awaited condition.
        what: String,
        /// The time limit.
        within: Duration,
    },
}

/// A running local site. Call [`LocalSite::stop`] to shut it down gracefully.
pub struct LocalSite {
    /// The settings that the site was started with.
    pub settings: SiteSettings,
    /// The log and the VM directory.
    pub platform: PlatformHandle,
    /// The weight store that all engines load from.
    pub store: StoreHandle,
    /// The model engines, by number.
    pub engines: Vec<EngineHandle>,
    /// The servers of the plain service, by number.
    pub services: Vec<ServiceHandle>,
    /// The entry VMs by number; `None` where a VM was stopped or killed.
    pub vms: Vec<Option<EntryProcess>>,
    /// The manifest that was accepted last, or the initial one.
    pub manifest: ServingManifest,
    token: PathBuf,
}

impl LocalSite {
    /// Starts all servers and VMs and publishes the initial manifest. Returns when it is in force
    /// at every VM, every VM is ready and every group has an owner.
    ///
    /// # Errors
    ///
    /// See [`SiteError`].
    pub async fn start(settings: SiteSettings) -> Result<Self, SiteError> {
        let platform = start_platform(settings.platform.clone()).await.context(StandinSnafu)?;
        let store = start_store(settings.store.clone()).await.context(StandinSnafu)?;
        let mut engines = Vec::new();
        for number in 0..settings.engines {
            let engine = EngineServerSettings {
                store: Some(store.address()),
                incarnation: 1_000 * (number as u64 + 1),
                ..settings.engine.clone()
            };
            engines.push(start_engine(engine).await.context(StandinSnafu)?);
        }
        let mut services = Vec::new();
        for _ in 0..settings.services {
            let service = ServiceServerSettings::default();
            services.push(start_service(service).await.context(StandinSnafu)?);
        }
        let token = write_token().context(StandinSnafu)?;
        let engine_addresses: Vec<SocketAddr> = engines.iter().map(EngineHandle::address).collect();
        let service_addresses: Vec<SocketAddr> =
            services.iter().map(ServiceHandle::address).collect();
        let manifest = site_manifest(&settings, &engine_addresses, &service_addresses);
        let mut site = Self {
            vms: Vec::new(),
            settings,
            platform,
            store,
            engines,
            services,
            manifest: manifest.clone(),
            token,
        };
        for index in 0..site.settings.vms {
            site.vms.push(None);
            site.start_vm(index).await?;
        }
        site.publish(manifest).await?;
        let all = "every VM to be ready and every group to be owned";
        site.wait_for(all, Duration::from_secs(20), |site| site.settled()).await?;
        Ok(site)
    }

    /// Starts the VM with the number `index` and lists it in the directory. A VM that ran before
    /// starts as a new incarnation.
    ///
    /// # Errors
    ///
    /// The process cannot start.
    pub async fn start_vm(&mut self, index: usize) -> Result<(), SiteError> {
        let settings = EntrySettings {
            vm: vm_name(index),
            domain: DOMAINS[index % DOMAINS.len()].into(),
            region: REGION.into(),
            log: self.platform.address(),
            directory: self.platform.address(),
            caller: CallerInterfaceSettings {
                listen: ANY_PORT,
                ..self.settings.entry.caller.clone()
            },
            operator: coltsfoothook_entry::operator_settings(ANY_PORT),
            peer: PeerInterfaceSettings { listen: ANY_PORT, ..self.settings.entry.peer.clone() },
            keys: KeySettings {
                loopback_without_tls: true,
                operator_tokens: vec![SecretFile::new(&self.token)],
                ..self.settings.entry.keys.clone()
            },
            ..self.settings.entry.clone()
        };
        let process = EntryProcess::start(settings).await.context(EntrySnafu)?;
        let addresses = process.addresses();
        self.platform.change_vms(VmChange::Put(ListedVm {
            name: vm_name(index),
            place: MemberPlace {
                caller: addresses.caller,
                peer: addresses.peer,
                domain: DOMAINS[index % DOMAINS.len()].into(),
                region: REGION.into(),
            },
            state: ListedState::Live,
        }));
        self.vms[index] = Some(process);
        Ok(())
    }

    /// Shuts a VM down gracefully and removes it from the directory. Returns its count of invariant
    /// violations; 0 if it is not running.
    pub async fn stop_vm(&mut self, index: usize) -> u64 {
        let Some(process) = self.vms[index].take() else { return 0 };
        let violated = process.shut_down().await.violated();
        self.platform.change_vms(VmChange::Remove { name: vm_name(index).0 });
        violated
    }

    /// Aborts a VM without a shutdown. Its entry in the directory is not removed here.
    pub async fn kill_vm(&mut self, index: usize) {
        if let Some(process) = self.vms[index].take() {
            process.abort().await;
        }
    }

    /// Publishes a manifest based on the newest version in force and waits until it is in force at
    /// every running VM. Returns the new version and the time from sending the accepted
    /// publication until then.
    ///
    /// # Errors
    ///
    /// No VM is running, the manifest was refused, or it was not in force in time.
    pub async fn publish(
        &mut self,
        manifest: ServingManifest,
    ) -> Result<(ConfigVersion, Duration), SiteError> {
        let within = Duration::from_secs(20);
        self.wait_for("a running VM", within, |site| !site.operators().is_empty()).await?;
        let base = self.newest_version();
        let client = SiteClient::new(self.operators()[0], OPERATOR_TOKEN);
        let until = Instant::now() + within;
        let (version, sent) = loop {
            let sent = Instant::now();
            let failure = match client.publish(base, &manifest).await {
                Ok(version) => break (version, sent),
                Err(failure) => failure,
            };
            if Instant::now() > until || !failure.is_transient() {
                return Err(failure).context(PublishSnafu);
            }
            sleep(POLL_INTERVAL).await;
        };
        self.manifest = manifest;
        let everywhere = move |site: &Self| site.running().all(|vm| vm.config_version() >= version);
        self.wait_for("the configuration to be in force at every VM", within, everywhere).await?;
        Ok((version, sent.elapsed()))
    }

    /// Replaces the operator token in the file that all VMs read. A write error is ignored.
    pub fn replace_token(&self, token: &str) {
        let _ = std::fs::write(&self.token, token);
    }

    /// Returns the newest configuration version in force at any running VM.
    #[must_use]
    pub fn newest_version(&self) -> ConfigVersion {
        self.running().map(EntryProcess::config_version).max().unwrap_or_default()
    }

    /// Returns the running VMs, in order of their numbers.
    pub fn running(&self) -> impl Iterator<Item = &EntryProcess> {
        self.vms.iter().flatten()
    }

    /// Returns the caller addresses of the running VMs.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.running().map(|vm| vm.addresses().caller).collect()
    }

    /// Returns the operator addresses of the running VMs.
    #[must_use]
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.running().map(|vm| vm.addresses().operator).collect()
    }

    /// Returns whether every running VM is ready and the VMs together own as many groups as there
    /// are.
    #[must_use]
    pub fn settled(&self) -> bool {
        let groups = self.settings.engines.div_ceil(self.settings.policy.group_servers as usize);
        let owned: usize = self.running().map(EntryProcess::owned_groups).sum();
        self.running().all(EntryProcess::ready) && owned == groups
    }

    /// Polls until `holds` returns true. `what` names the condition in the error.
    ///
    /// # Errors
    ///
    /// [`SiteError::Timeout`] if it did not hold within `within`.
    pub async fn wait_for(
        &self,
        what: &str,
        within: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<(), SiteError> {
        let until = Instant::now() + within;
        while !holds(self) {
            if Instant::now() > until {
                return TimeoutSnafu { what, within }.fail();
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the number of invariant violations that the running VMs counted.
    #[must_use]
    pub fn violated(&self) -> u64 {
        self.running().map(|vm| vm.invariants().violated()).sum()
    }

    /// Returns the number of requests that an engine lost because their adapter was evicted while
    /// they ran.
    #[must_use]
    pub fn evicted_in_use(&self) -> u64 {
        self.engines.iter().map(|engine| engine.counters().evicted_in_use).sum()
    }

    /// Returns the number of duplicate tickets: for each ticket id the creations after the first,
    /// summed over all servers of the plain service.
    #[must_use]
    pub fn doubled(&self) -> u64 {
        let mut created: Vec<_> =
            self.services.iter().flat_map(|service| service.tickets_by_id()).collect();
        created.sort_by(|left, right| left.text.cmp(&right.text));
        let by_id = created.chunk_by(|left, right| left.text == right.text);
        let times = by_id.map(|same| same.iter().map(|entry| u64::from(entry.count)).sum::<u64>());
        times.map(|times| times.saturating_sub(1)).sum()
    }

    /// Shuts all VMs down gracefully, then stops all servers. Returns the number of invariant
    /// violations that the VMs counted.
    pub async fn stop(mut self) -> u64 {
        let mut violated = 0;
        let running: Vec<EntryProcess> = self.vms.iter_mut().filter_map(Option::take).collect();
        for counts in
            futures::future::join_all(running.into_iter().map(EntryProcess::shut_down)).await
        {
            violated += counts.violated();
        }
        for engine in self.engines {
            engine.shutdown().await;
        }
        for service in self.services {
            service.shutdown().await;
        }
        self.store.shutdown().await;
        self.platform.shutdown().await;
        let _ = std::fs::remove_file(&self.token);
        violated
    }
}

/// Returns the name of the VM with the number `index`.
#[must_use]
pub fn vm_name(index: usize) -> VmName {
    format!("vm-{index}").into()
}

/// Returns the name of the adapter with the number `index`.
#[must_use]
pub fn adapter_name(index: usize) -> String {
    format!("adapter-{index:05}")
}

/// Returns the name of the tenant with the number `index`.
#[must_use]
pub fn tenant_name(index: usize) -> String {
    format!("tenant-{index:03}")
}

/// Returns the bearer credential of the tenant with the number `index`.
#[must_use]
pub fn credential(index: usize) -> String {
    format!("credential-of-{}", tenant_name(index))
}

fn write_token() -> std::io::Result<PathBuf> {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("coltsfoothook-token-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, OPERATOR_TOKEN)?;
    Ok(path)
}

/// Returns, in normal form, the manifest of a site whose engines and servers of the plain service
/// have these addresses.
#[must_use]
pub fn site_manifest(
    settings: &SiteSettings,
    engines: &[SocketAddr],
    services: &[SocketAddr],
) -> ServingManifest {
    let tenants: Vec<TenantEntry> = (0..settings.tenants).map(tenant_entry).collect();
    let names = tenants.iter().map(|tenant| tenant.name.clone()).collect();
    let service = ServiceEntry {
        name: SERVICE.into(),
        tenants: names,
        repeatable_methods: vec!["GET".into()],
    };
    let store = StoreEntry {
        region: REGION.into(),
        loads_per_s: settings.store.loads_per_s,
        full_speed: settings.store.full_speed,
    };
    let mut manifest = ServingManifest {
        models: vec![ModelEntry { name: MODEL.into() }],
        adapters: (0..settings.adapters)
            .map(|index| adapter_entry(index, settings.tenants))
            .collect(),
        tenants,
        servers: server_entries(settings, engines, services),
        services: vec![service],
        stores: vec![store],
        policy: settings.policy.clone(),
        ..Default::default()
    };
    coltsfoothook_decision::check::normalize(&mut manifest);
    manifest
}

fn tenant_entry(index: usize) -> TenantEntry {
    TenantEntry {
        name: tenant_name(index).into(),
        credentials: vec![CredentialHash::of(&credential(index)).to_hex()],
        requests_per_s: None,
        burst: 100,
        weight: 1.0,
    }
}

fn adapter_entry(index: usize, tenants: usize) -> AdapterEntry {
    AdapterEntry {
        name: adapter_name(index).into(),
        model: MODEL.into(),
        versions: vec![version_entry(index, FIRST_VERSION)],
        default_version: Some(FIRST_VERSION.into()),
        tenants: vec![tenant_name(index % tenants).into()],
    }
}

/// Returns the manifest entry of a version of the adapter with the number `index`.
#[must_use]
pub fn version_entry(index: usize, version: &str) -> VersionEntry {
    let weights = format!("store://{}/{version}", adapter_name(index));
    VersionEntry { version: version.into(), weights }
}

fn server_entries(
    settings: &SiteSettings,
    engines: &[SocketAddr],
    services: &[SocketAddr],
) -> Vec<ServerEntry> {
    let engine = |(index, address): (usize, &SocketAddr)| ServerEntry {
        name: format!("engine-{index:02}").into(),
        address: *address,
        domain: DOMAINS[index % DOMAINS.len()].into(),
        region: REGION.into(),
        serves: ServerKind::Engine(EngineEntry {
            model: MODEL.into(),
            adapter_slots: settings.engine.adapter_slots,
            batch_slots: settings.engine.batch_slots,
            checks_fencing: settings.engine.checks_fencing,
        }),
    };
    let service = |(index, address): (usize, &SocketAddr)| ServerEntry {
        name: format!("{SERVICE}-{index:02}").into(),
        address: *address,
        domain: DOMAINS[index % DOMAINS.len()].into(),
        region: REGION.into(),
        serves: ServerKind::Service { service: SERVICE.into() },
    };
    let engines = engines.iter().enumerate().map(engine);
    engines.chain(services.iter().enumerate().map(service)).collect()
}
