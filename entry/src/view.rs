//! The configuration in force and data derived from it.

use std::sync::Arc;

use coltsfoothook_decision::credential::{CredentialHash, CredentialTable};
use coltsfoothook_decision::id::{AdapterVersion, ConfigVersion, CustomerName};
use coltsfoothook_decision::manifest::{
    AdapterEntry, ClassEntry, EngineEntry, ServerEntry, ServerKind, ServingManifest,
};
use coltsfoothook_decision::outcome::RequestClass;
use coltsfoothook_decision::owner::class_defaults;
use coltsfoothook_decision::route::GroupMap;
use coltsfoothook_decision::takeover::TakeoverGroup;

/// One version of the configuration. It is immutable and shared; a reader keeps its version while
/// a newer one is put in force.
#[derive(Debug, Default)]
pub(crate) struct ConfigView {
    pub(crate) version: ConfigVersion,
    pub(crate) manifest: Arc<ServingManifest>,
    pub(crate) groups: GroupMap,
    /// Sorted by name.
    pub(crate) takeover_groups: Vec<TakeoverGroup>,
    credentials: CredentialTable<CustomerName>,
}

impl ConfigView {
    pub(crate) fn new(version: ConfigVersion, manifest: Arc<ServingManifest>) -> Self {
        let groups = GroupMap::new(&manifest);
        let mut takeover_groups: Vec<TakeoverGroup> = groups
            .groups()
            .iter()
            .map(|group| TakeoverGroup {
                name: group.name.clone(),
                region: group.region.as_str().to_owned(),
            })
            .collect();
        takeover_groups.sort_by(|left, right| left.name.cmp(&right.name));
        let credentials = read_credentials(&manifest);
        Self { version, manifest, groups, takeover_groups, credentials }
    }

    /// Returns the customer of a bearer credential.
    pub(crate) fn tenant_of(&self, bearer: &str) -> Option<&CustomerName> {
        self.credentials.find(bearer)
    }

    /// Resolves an adapter and version; without `version`, the default version. `None` if there is
    /// no such version.
    pub(crate) fn adapter_version(
        &self,
        adapter: &str,
        version: Option<&str>,
    ) -> Option<(&AdapterEntry, AdapterVersion)> {
        let entry = self.manifest.adapter(adapter)?;
        let version = match version {
            Some(name) => entry.version(name)?.version.clone(),
            None => entry.default_version.clone()?,
        };
        let version = AdapterVersion { adapter: entry.name.clone(), version };
        Some((entry, version))
    }

    /// Returns the location of the weights of an adapter version.
    pub(crate) fn weights(&self, adapter: &AdapterVersion) -> Option<&str> {
        let entry = self.manifest.adapter(adapter.adapter.as_str())?;
        entry.version(adapter.version.as_str()).map(|version| version.weights.as_str())
    }

    /// Returns the limits of a class, or its defaults if the configuration has none.
    pub(crate) fn class(&self, class: RequestClass) -> ClassEntry {
        let found = self.manifest.classes.iter().find(|entry| entry.class == class);
        found.cloned().unwrap_or_else(|| class_defaults(class))
    }

    /// Returns the backend servers of a plain service.
    pub(crate) fn service_servers<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ServerEntry> {
        self.manifest.servers.iter().filter(move |server| {
            matches!(&server.serves, ServerKind::Service { service: name } if name.as_str() == service)
        })
    }

    /// Returns the entries of an engine; `None` if `server` is not a known engine.
    pub(crate) fn engine(&self, server: &str) -> Option<(&ServerEntry, &EngineEntry)> {
        let entry = self.manifest.server(server)?;
        match &entry.serves {
            ServerKind::Engine(engine) => Some((entry, engine)),
            ServerKind::Service { .. } => None,
        }
    }
}

/// Builds the credential table. Invalid hashes are skipped; an accepted manifest has none.
fn read_credentials(manifest: &ServingManifest) -> CredentialTable<CustomerName> {
    let mut entries = Vec::new();
    for tenant in &manifest.tenants {
        let hashes = tenant.credentials.iter().filter_map(|text| CredentialHash::parse(text).ok());
        entries.extend(hashes.map(|hash| (hash, tenant.name.clone())));
    }
    CredentialTable::new(entries)
}
