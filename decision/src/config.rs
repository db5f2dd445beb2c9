//! Fold over the configuration stream: the configuration in force.
//!
//! A publication is accepted if its base is the version in force at its offset, so of two racing
//! operators the first in offset order wins and the other gets [`ConfigVerdict::Stale`]. A reader
//! that starts after retention dropped the beginning of the stream waits for a snapshot from which
//! it can fold all later records. See docs/AGREEMENT.md, "Configuration".
//!
//! ```
//! use coltsfoothook_decision::config::{ConfigFold, ConfigVerdict};
//! use coltsfoothook_decision::id::ConfigVersion;
//! use coltsfoothook_decision::manifest::ServingManifest;
//! use coltsfoothook_decision::record::{ConfigChange, ConfigRecord};
//!
//! let mut fold = ConfigFold::default();
//! let publish = ConfigRecord::Publish {
//!     base: ConfigVersion(0),
//!     publish_id: "build-7".to_owned(),
//!     change: ConfigChange::Whole(ServingManifest::default()),
//! };
//! let verdicts = fold.fold(0, publish);
//! assert_eq!(verdicts[0].verdict, ConfigVerdict::Accepted(ConfigVersion(1)));
//! ```

use std::sync::Arc;

use crate::check::{ManifestFault, check_manifest, normalize};
use crate::delta::apply_delta;
use crate::follow::StreamCursor;
use crate::id::ConfigVersion;
use crate::invariant::{InvariantLog, InvariantName};
use crate::manifest::{ServingManifest, VersionedManifest};
use crate::record::{ConfigChange, ConfigRecord, RecentPublish};

/// Accepted publications that are remembered to recognise repeats. At 5,000 changes a day this
/// covers an hour, far longer than any tool repeats a publication.
pub const RECENT_PUBLISHES: usize = 256;

/// Result of folding one record.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigVerdict {
    /// The publication is in force as this version.
    Accepted(ConfigVersion),
    /// The publication was accepted before, as this version; nothing changes.
    Repeated(ConfigVersion),
    /// Another publication came first: the base is not the version in force.
    Stale {
        /// The version that the publication was made against.
        base: ConfigVersion,
        /// The version in force at its offset.
        in_force: ConfigVersion,
    },
    /// The manifest, or the one that results from the delta, has faults and never comes into force.
    Rejected(Vec<ManifestFault>),
    /// A reader that had missed records took this version from a snapshot.
    Adopted(ConfigVersion),
    /// The record has no effect: a snapshot of known state, or a record folded before.
    Nothing,
}

/// A folded record's verdict, with the id needed to answer the publisher.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigResolution {
    /// The record's offset.
    pub offset: u64,
    /// The publisher's id; `None` unless the record is a publication.
    pub publish_id: Option<String>,
    /// Result of folding it.
    pub verdict: ConfigVerdict,
}

/// The configuration in force up to the last record read.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    cursor: StreamCursor<ConfigRecord>,
    version: ConfigVersion,
    manifest: Arc<ServingManifest>,
    recent: Vec<RecentPublish>,
    invariants: InvariantLog,
}

impl ConfigFold {
    /// The version in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The manifest in force, shared so that requests in progress keep the one they started with.
    #[must_use]
    pub fn manifest(&self) -> &Arc<ServingManifest> {
        &self.manifest
    }

    /// The version in force with a copy of its manifest.
    #[must_use]
    pub fn in_force(&self) -> VersionedManifest {
        VersionedManifest { version: self.version, manifest: (*self.manifest).clone() }
    }

    /// The next log offset to read.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.cursor.next()
    }

    /// Whether the state includes every record before [`Self::next`]. A VM that missed records
    /// because of retention is not complete until it has a snapshot, and must not accept requests
    /// based on this fold.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.cursor.is_complete()
    }

    /// Results of the invariant checks.
    #[must_use]
    pub fn invariants(&self) -> &InvariantLog {
        &self.invariants
    }

    /// Folds the record at `offset`. Usually returns one verdict; a snapshot that completes the
    /// state also returns those of the records that were buffered for it.
    pub fn fold(&mut self, offset: u64, record: ConfigRecord) -> Vec<ConfigResolution> {
        if !self.cursor.advance(offset) {
            return vec![ConfigResolution::of(offset, &record, ConfigVerdict::Nothing)];
        }
        if self.cursor.is_complete() {
            return vec![self.apply(offset, record)];
        }
        let usable = matches!(&record, ConfigRecord::Snapshot { through, .. } if self.cursor.can_continue_from(*through));
        if !usable {
            self.cursor.buffer(offset, record);
            return Vec::new();
        }
        let verdict = self.take_snapshot(record);
        let mut resolutions = vec![ConfigResolution { offset, publish_id: None, verdict }];
        for (offset, record) in self.cursor.take_buffered() {
            resolutions.push(self.apply(offset, record));
        }
        resolutions
    }

    /// Sets the first offset that the log still holds. A reader that has not read that far will
    /// never see the records before it, and a stream emptied by retention would look like a new
    /// one.
    pub fn retained_from(&mut self, first: u64) {
        self.cursor.retained_from(first);
    }

    /// Goes back to `offset`, from which on the log has other records than those that were read. What
    /// was folded stays.
    pub fn rewind(&mut self, offset: u64) {
        self.cursor.rewind(offset);
    }

    /// Skips a record that cannot be decoded because of its format. All readers of one release skip
    /// the same records.
    pub fn skip(&mut self, offset: u64) {
        let _ = self.cursor.advance(offset);
    }

    /// Takes over a peer's snapshot if it includes more of the log than this fold, which continues
    /// reading after it. Returns the version in force afterwards, or `None` if the snapshot was not
    /// used.
    pub fn adopt(&mut self, record: ConfigRecord) -> Option<ConfigVersion> {
        let ConfigRecord::Snapshot { through, version, .. } = record else { return None };
        if !self.cursor.is_behind(through) || version < self.version {
            return None;
        }
        self.take_snapshot(record);
        self.cursor.advance_to(through);
        for (offset, record) in self.cursor.take_buffered() {
            self.apply(offset, record);
        }
        Some(self.version)
    }

    /// The record that holds the whole state, for the log and for peers; `None` while records are
    /// missing.
    #[must_use]
    pub fn snapshot(&self) -> Option<ConfigRecord> {
        self.is_complete().then(|| ConfigRecord::Snapshot {
            version: self.version,
            through: self.cursor.next(),
            recent: self.recent.clone(),
            manifest: (*self.manifest).clone(),
        })
    }

    fn apply(&mut self, offset: u64, record: ConfigRecord) -> ConfigResolution {
        match record {
            ConfigRecord::Snapshot { .. } => {
                ConfigResolution { offset, publish_id: None, verdict: ConfigVerdict::Nothing }
            }
            ConfigRecord::Publish { base, publish_id, change } => {
                let verdict = self.resolve(base, &publish_id, change);
                ConfigResolution { offset, publish_id: Some(publish_id), verdict }
            }
        }
    }

    fn resolve(&mut self, base: ConfigVersion, id: &str, change: ConfigChange) -> ConfigVerdict {
        if let Some(known) = self.recent.iter().find(|known| known.publish_id == id) {
            return ConfigVerdict::Repeated(known.version);
        }
        // Prevents two operators who publish against the same base from undoing each other's
        // change.
        if base != self.version {
            return ConfigVerdict::Stale { base, in_force: self.version };
        }
        match self.build(change) {
            Ok(manifest) => ConfigVerdict::Accepted(self.accept(id, manifest)),
            Err(faults) => ConfigVerdict::Rejected(faults),
        }
    }

    fn build(&self, change: ConfigChange) -> Result<ServingManifest, Vec<ManifestFault>> {
        let mut manifest = match change {
            ConfigChange::Delta(delta) => return apply_delta(&self.manifest, &delta),
            ConfigChange::Whole(manifest) => manifest,
        };
        let faults = check_manifest(&manifest);
        if !faults.is_empty() {
            return Err(faults);
        }
        normalize(&mut manifest);
        Ok(manifest)
    }

    fn accept(&mut self, id: &str, manifest: ServingManifest) -> ConfigVersion {
        let version = ConfigVersion(self.version.0 + 1);
        if self.recent.len() == RECENT_PUBLISHES {
            self.recent.remove(0);
        }
        self.recent.push(RecentPublish { publish_id: id.to_owned(), version });
        self.set(version, manifest);
        version
    }

    fn take_snapshot(&mut self, record: ConfigRecord) -> ConfigVerdict {
        let ConfigRecord::Snapshot { version, through, recent, manifest } = record else {
            return ConfigVerdict::Nothing;
        };
        self.cursor.complete_with(through);
        self.recent = recent;
        self.recent.truncate(RECENT_PUBLISHES);
        self.set(version, manifest);
        ConfigVerdict::Adopted(version)
    }

    fn set(&mut self, version: ConfigVersion, manifest: ServingManifest) {
        let before = self.version;
        self.invariants.check(InvariantName::ConfigNeverReverts, version >= before, || {
            format!("version {before} was in force, then {version}")
        });
        self.version = version;
        self.manifest = Arc::new(manifest);
    }
}

impl ConfigResolution {
    fn of(offset: u64, record: &ConfigRecord, verdict: ConfigVerdict) -> Self {
        let publish_id = match record {
            ConfigRecord::Publish { publish_id, .. } => Some(publish_id.clone()),
            ConfigRecord::Snapshot { .. } => None,
        };
        Self { offset, publish_id, verdict }
    }
}
