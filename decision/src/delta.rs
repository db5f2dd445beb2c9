//! Application of a delta to a manifest.
//!
//! A publication that changes a few of tens of thousands of adapters is sent as a delta. Applying
//! it is part of the fold over the configuration stream, so the rules are frozen with the record
//! format, as are those of [`crate::check`].

use crate::check::{FaultKind, ManifestFault, check_manifest, normalize};
use crate::manifest::{ManifestDelta, ServingManifest};

/// Applies `delta` to `base` and checks the result.
///
/// `base` must be normalized, as every accepted manifest is; the result is normalized too. Entries
/// under `put` replace entries of the same name completely.
///
/// # Errors
///
/// All faults of the delta itself (a name in `remove` that `base` does not have, a name listed
/// twice, or one listed in both `put` and `remove`); if there are none, all faults of the resulting
/// manifest.
pub fn apply_delta(
    base: &ServingManifest,
    delta: &ManifestDelta,
) -> Result<ServingManifest, Vec<ManifestFault>> {
    let mut merger = ListMerger::default();
    let put = &delta.put;
    let remove = &delta.remove;
    let mut merged = ServingManifest {
        models: merger.merge("models", &base.models, &put.models, &remove.models, |x| &x.name),
        adapters: merger
            .merge("adapters", &base.adapters, &put.adapters, &remove.adapters, |x| &x.name),
        tenants: merger.merge("tenants", &base.tenants, &put.tenants, &remove.tenants, |x| &x.name),
        servers: merger.merge("servers", &base.servers, &put.servers, &remove.servers, |x| &x.name),
        services: merger
            .merge("services", &base.services, &put.services, &remove.services, |x| &x.name),
        classes: merger.merge("classes", &base.classes, &put.classes, &[], |x| &x.class),
        schedules: merger.merge(
            "schedules",
            &base.schedules,
            &put.schedules,
            &remove.schedules,
            |x| &x.name,
        ),
        stores: merger.merge("stores", &base.stores, &put.stores, &[], |x| &x.region),
        policy: put.policy.clone().unwrap_or_else(|| base.policy.clone()),
    };
    if !merger.faults.is_empty() {
        return Err(merger.faults);
    }
    normalize(&mut merged);
    let faults = check_manifest(&merged);
    if faults.is_empty() { Ok(merged) } else { Err(faults) }
}

/// Merges lists and collects the faults of a delta.
#[derive(Default)]
struct ListMerger {
    faults: Vec<ManifestFault>,
}

impl ListMerger {
    /// Merges sorted `base` with `put` and leaves out the names in `remove`, in one pass over
    /// `base`.
    fn merge<T, K>(
        &mut self,
        list: &str,
        base: &[T],
        put: &[T],
        remove: &[K],
        key: impl Fn(&T) -> &K,
    ) -> Vec<T>
    where
        T: Clone,
        K: Ord + AsRef<str>,
    {
        let mut added: Vec<&T> = put.iter().collect();
        added.sort_by(|a, b| key(a).cmp(key(b)));
        let mut removed: Vec<&K> = remove.iter().collect();
        removed.sort();
        for pair in added.windows(2) {
            if key(pair[0]) == key(pair[1]) {
                let path = format!("put.{list}");
                self.add(&path, key(pair[0]), FaultKind::Duplicate, "is listed twice");
            }
        }
        let path = format!("remove.{list}");
        for pair in removed.windows(2) {
            if pair[0] == pair[1] {
                self.add(&path, pair[0], FaultKind::Duplicate, "is listed twice");
            }
        }
        for name in &removed {
            if added.binary_search_by(|entry| key(entry).cmp(name)).is_ok() {
                self.add(&path, *name, FaultKind::Conflict, "is listed both in put and in remove");
            } else if base.binary_search_by(|entry| key(entry).cmp(name)).is_err() {
                self.add(
                    &path,
                    *name,
                    FaultKind::Dangling,
                    "is to be removed but is not in the base",
                );
            }
        }
        let mut merged = Vec::with_capacity(base.len() + added.len());
        for entry in base {
            let name = key(entry);
            let replaced = added.binary_search_by(|entry| key(entry).cmp(name)).is_ok();
            if !replaced && removed.binary_search(&name).is_err() {
                merged.push(entry.clone());
            }
        }
        merged.extend(added.into_iter().cloned());
        merged
    }

    fn add(&mut self, list: &str, name: &impl AsRef<str>, kind: FaultKind, detail: &str) {
        let name = name.as_ref();
        let allowed = match kind {
            FaultKind::Dangling => "a name in the base manifest",
            _ => "each name once in a delta",
        };
        self.faults.push(ManifestFault {
            path: format!("{list}[{name:?}]"),
            kind,
            detail: format!("{name:?} {detail}"),
            allowed: allowed.to_owned(),
        });
    }
}
