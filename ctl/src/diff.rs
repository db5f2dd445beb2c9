//! Differences between two manifests.

use coltsfoothook_decision::difference::{EntryChange, changed_fields, entry_changes};
use coltsfoothook_decision::manifest::{ManifestDelta, ServingManifest};
use serde::Serialize;

/// Difference between two manifests in normal form.
#[derive(Debug, Default, Serialize)]
pub(crate) struct ManifestDiff {
    /// One line per differing entry: `+` added, `-` removed, `~` changed, with the fields that
    /// differ.
    pub(crate) lines: Vec<String>,
    /// The delta that turns the old manifest into the new one, except for `only_whole`.
    pub(crate) delta: ManifestDelta,
    /// Entries that a delta cannot remove; publishing the whole manifest removes them.
    pub(crate) only_whole: Vec<String>,
}

impl ManifestDiff {
    pub(crate) fn between(old: &ServingManifest, new: &ServingManifest) -> Self {
        let mut diff = Self::default();
        let mut delta = ManifestDelta::default();
        let remove = &mut delta.remove;
        let put = &mut delta.put;
        (put.models, remove.models) =
            diff.compare_list("models", &old.models, &new.models, |x| &x.name);
        (put.adapters, remove.adapters) =
            diff.compare_list("adapters", &old.adapters, &new.adapters, |x| &x.name);
        (put.tenants, remove.tenants) =
            diff.compare_list("tenants", &old.tenants, &new.tenants, |x| &x.name);
        (put.servers, remove.servers) =
            diff.compare_list("servers", &old.servers, &new.servers, |x| &x.name);
        (put.services, remove.services) =
            diff.compare_list("services", &old.services, &new.services, |x| &x.name);
        (put.schedules, remove.schedules) =
            diff.compare_list("schedules", &old.schedules, &new.schedules, |x| &x.name);
        let (classes, removed_classes) =
            diff.compare_list("classes", &old.classes, &new.classes, |x| &x.class);
        let (stores, removed_stores) =
            diff.compare_list("stores", &old.stores, &new.stores, |x| &x.region);
        put.classes = classes;
        put.stores = stores;
        for class in removed_classes {
            diff.only_whole.push(format!("classes[{:?}]", class.as_str()));
        }
        for region in removed_stores {
            diff.only_whole.push(format!("stores[{:?}]", region.as_str()));
        }
        if old.policy != new.policy {
            let fields = changed_fields(&old.policy, &new.policy);
            diff.lines.push(format!("~ policy: {}", fields.join(", ")));
            put.policy = Some(new.policy.clone());
        }
        diff.delta = delta;
        diff
    }

    /// Compares two lists sorted by `key` and records a line per difference. Returns the entries to
    /// put and the names to remove.
    fn compare_list<T, K>(
        &mut self,
        list: &str,
        old: &[T],
        new: &[T],
        key: impl Fn(&T) -> &K,
    ) -> (Vec<T>, Vec<K>)
    where
        T: Clone + PartialEq + Serialize,
        K: Clone + Ord + AsRef<str>,
    {
        let mut put = Vec::new();
        let mut removed = Vec::new();
        for change in entry_changes(old, new, &key) {
            let path = |entry: &T| format!("{list}[{:?}]", key(entry).as_ref());
            match change {
                EntryChange::Removed(entry) => {
                    self.lines.push(format!("- {}", path(entry)));
                    removed.push(key(entry).clone());
                }
                EntryChange::Added(entry) => {
                    self.lines.push(format!("+ {}", path(entry)));
                    put.push(entry.clone());
                }
                EntryChange::Changed(entry, fields) => {
                    self.lines.push(format!("~ {}: {}", path(entry), fields.join(", ")));
                    put.push(entry.clone());
                }
            }
        }
        (put, removed)
    }
}

#[cfg(test)]
mod tests {
    use coltsfoothook_decision::delta::apply_delta;
    use coltsfoothook_decision::manifest::{AdapterEntry, ModelEntry, TenantEntry, VersionEntry};
    use proptest::prelude::*;

    use super::*;

    /// Makes a manifest from the kinds of six adapters and six tenants: kind 0 is absent, and the
    /// other kinds differ in their fields.
    fn manifest(adapters: &[u8], tenants: &[u8]) -> ServingManifest {
        let present = |kinds: &[u8]| -> Vec<(usize, u8)> {
            kinds.iter().copied().enumerate().filter(|(_, kind)| *kind > 0).collect()
        };
        let adapter = |(number, kind): (usize, u8)| AdapterEntry {
            name: format!("adapter-{number}").into(),
            model: "base".into(),
            versions: vec![VersionEntry { version: "1".into(), weights: format!("w{kind}") }],
            default_version: (kind == 2).then(|| "1".into()),
            tenants: Vec::new(),
        };
        let tenant = |(number, kind): (usize, u8)| TenantEntry {
            name: format!("tenant-{number}").into(),
            credentials: Vec::new(),
            requests_per_s: None,
            burst: u32::from(kind),
            weight: 1.0,
        };
        let mut manifest = ServingManifest {
            models: vec![ModelEntry { name: "base".into() }],
            adapters: present(adapters).into_iter().map(adapter).collect(),
            tenants: present(tenants).into_iter().map(tenant).collect(),
            ..Default::default()
        };
        manifest.policy.group_servers += u32::from(adapters[0]);
        manifest
    }

    proptest! {
        #[test]
        fn delta_yields_new_manifest(kinds in prop::collection::vec(0..3_u8, 24)) {
            let old = manifest(&kinds[..6], &kinds[6..12]);
            let new = manifest(&kinds[12..18], &kinds[18..]);
            let diff = ManifestDiff::between(&old, &new);
            prop_assert_eq!(diff.lines.is_empty(), old == new);
            prop_assert_eq!(apply_delta(&old, &diff.delta), Ok(new));
        }
    }
}
