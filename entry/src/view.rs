//! The configuration in force, with what is derived from it.

use std::sync::Arc;

use coltsfoothook_decision::id::{AdapterVersion, ConfigVersion, TenantName};
use coltsfoothook_decision::manifest::{
    AdapterEntry, ClassEntry, EngineEntry, ServerEntry, ServerKind, ServingManifest,
};
use coltsfoothook_decision::outcome::RequestClass;
use coltsfoothook_decision::owner::class_defaults;
use coltsfoothook_decision::route::GroupMap;
use coltsfoothook_decision::takeover::TakeoverGroup;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const HASH_BYTES: usize = 32;

/// A credential's hash and whose it is.
#[derive(Debug)]
struct CredentialEntry {
    hash: [u8; HASH_BYTES],
    tenant: TenantName,
}

/// A version of the configuration. Requests in progress keep the one that they began with.
#[derive(Debug, Default)]
pub(crate) struct ConfigView {
    pub(crate) version: ConfigVersion,
    pub(crate) manifest: Arc<ServingManifest>,
    pub(crate) groups: GroupMap,
    /// Sorted by name.
    pub(crate) takeover_groups: Vec<TakeoverGroup>,
    /// Sorted by hash.
    credentials: Vec<CredentialEntry>,
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

    /// The tenant of a bearer credential.
    ///
    /// The search runs over hashes, so its time tells nothing of a credential; the last comparison
    /// takes the same time wherever the hashes differ.
    pub(crate) fn tenant_of(&self, bearer: &str) -> Option<&TenantName> {
        let hash: [u8; HASH_BYTES] = Sha256::digest(bearer.as_bytes()).into();
        let prefix = &hash[..8];
        let start = self.credentials.partition_point(|entry| &entry.hash[..8] < prefix);
        let rest = self.credentials[start..].iter();
        let near = rest.take_while(|entry| &entry.hash[..8] == prefix);
        let mut found = None;
        for entry in near {
            if bool::from(entry.hash.ct_eq(&hash)) {
                found = Some(&entry.tenant);
            }
        }
        found
    }

    /// The adapter and the version that a request means; none if there is no such version.
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

    /// Where the weights of an adapter version are.
    pub(crate) fn weights(&self, adapter: &AdapterVersion) -> Option<&str> {
        let entry = self.manifest.adapter(adapter.adapter.as_str())?;
        entry.version(adapter.version.as_str()).map(|version| version.weights.as_str())
    }

    /// A class's limits.
    pub(crate) fn class(&self, class: RequestClass) -> ClassEntry {
        let found = self.manifest.classes.iter().find(|entry| entry.class == class);
        found.cloned().unwrap_or_else(|| class_defaults(class))
    }

    /// The backend servers of a plain service.
    pub(crate) fn service_servers<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ServerEntry> {
        self.manifest.servers.iter().filter(move |server| {
            matches!(&server.serves, ServerKind::Service { service: name } if name.as_str() == service)
        })
    }

    /// The shape of an engine.
    pub(crate) fn engine(&self, server: &str) -> Option<(&ServerEntry, &EngineEntry)> {
        let entry = self.manifest.server(server)?;
        match &entry.serves {
            ServerKind::Engine(engine) => Some((entry, engine)),
            ServerKind::Service { .. } => None,
        }
    }
}

fn read_credentials(manifest: &ServingManifest) -> Vec<CredentialEntry> {
    let mut entries = Vec::new();
    for tenant in &manifest.tenants {
        for text in &tenant.credentials {
            let Some(hash) = read_hash(text) else { continue };
            entries.push(CredentialEntry { hash, tenant: tenant.name.clone() });
        }
    }
    entries.sort_by_key(|entry| entry.hash);
    entries
}

fn read_hash(text: &str) -> Option<[u8; HASH_BYTES]> {
    if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
        return None;
    }
    let mut hash = [0; HASH_BYTES];
    for (at, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(hash)
}

/// The hexadecimal SHA-256 hash of a credential, as it stands in a manifest.
#[must_use]
pub fn credential_hash(credential: &str) -> String {
    let hash = Sha256::digest(credential.as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}
