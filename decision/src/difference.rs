//! Differences between two lists of named entries, for manifests and configurations.

use serde::Serialize;

/// Difference of one entry between an old and a new list.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryChange<'a, T> {
    /// Entry that only the old list has.
    Removed(&'a T),
    /// Entry that only the new list has.
    Added(&'a T),
    /// Entry of the new list that differs from the one of that name in the old list.
    Changed(&'a T, Vec<String>),
}

/// Compares two lists that are sorted by `key`. Removed entries go first.
#[must_use]
pub fn entry_changes<'a, T, K>(
    old: &'a [T],
    new: &'a [T],
    key: impl Fn(&T) -> &K,
) -> Vec<EntryChange<'a, T>>
where
    T: PartialEq + Serialize,
    K: Ord,
{
    let position = |list: &[T], name: &K| list.binary_search_by(|other| key(other).cmp(name));
    let removed = old.iter().filter(|entry| position(new, key(entry)).is_err());
    let mut changes: Vec<_> = removed.map(EntryChange::Removed).collect();
    for entry in new {
        match position(old, key(entry)) {
            Ok(at) if old[at] == *entry => {}
            Ok(at) => changes.push(EntryChange::Changed(entry, changed_fields(&old[at], entry))),
            Err(_) => changes.push(EntryChange::Added(entry)),
        }
    }
    changes
}

/// Returns the names of the top-level fields in which two values differ, sorted. Values are left
/// out, since they may be secret.
#[must_use]
pub fn changed_fields<T: Serialize>(old: &T, new: &T) -> Vec<String> {
    let fields = |value: &T| serde_json::to_value(value).unwrap_or_default();
    let (old, new) = (fields(old), fields(new));
    let (Some(old), Some(new)) = (old.as_object(), new.as_object()) else { return Vec::new() };
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort_unstable();
    names.dedup();
    names.retain(|&name| old.get(name) != new.get(name));
    names.into_iter().cloned().collect()
}
