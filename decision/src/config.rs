//! Which configuration is in force: a pure fold over the log that every reader computes alike.
//!
//! A publication is accepted if its base is the version in force at its place in the log, so of two
//! racing operators the first in offset order wins and the other is told. A reader that starts
//! after retention took the beginning waits for a snapshot behind which it can fold every record.
//! See docs/AGREEMENT.md, "Configuration".
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

/// How many accepted publications are remembered, so that a repeat is known as one. At the target's
/// 5,000 changes a day this is an hour, far longer than any tool repeats a publication.
pub const RECENT_PUBLISHES: usize = 256;

/// What the fold made of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigVerdict {
    /// The publication is in force as this version.
    Accepted(ConfigVersion),
    /// The publication was accepted before, as this version; nothing changes.
    Repeated(ConfigVersion),
    /// Another publication came first: the base is not the version in force.
    Stale {
        /// The version that the publication builds on.
        base: ConfigVersion,
        /// The version in force at its place.
        in_force: ConfigVersion,
    },
    /// The manifest, or the one that the delta gives, has faults; it is never in force.
    Rejected(Vec<ManifestFault>),
    /// A snapshot gave a reader that had missed records this version.
    Adopted(ConfigVersion),
    /// The record changes nothing: a snapshot of what is known, or a record folded before.
    Nothing,
}

/// A record's verdict, with what is needed to tell the publisher.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigRuling {
    /// The record's offset.
    pub offset: u64,
    /// The publisher's id, for a publication.
    pub publish_id: Option<String>,
    /// What was made of it.
    pub verdict: ConfigVerdict,
}

/// The configuration in force, as far as the log was read.
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

    /// The version and manifest in force.
    #[must_use]
    pub fn in_force(&self) -> VersionedManifest {
        VersionedManifest { version: self.version, manifest: (*self.manifest).clone() }
    }

    /// The offset from which the log is to be read on.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.cursor.next()
    }

    /// Whether every record up to [`Self::next`] is reflected. A VM that started after retention,
    /// or that retention overtook, is not whole until it has a snapshot, and must not take work on
    /// the strength of this fold.
    #[must_use]
    pub fn whole(&self) -> bool {
        self.cursor.whole()
    }

    /// The checks made here.
    #[must_use]
    pub fn invariants(&self) -> &InvariantLog {
        &self.invariants
    }

    /// Folds the record at `offset`. Usually one ruling comes back; a snapshot that makes the fold
    /// whole brings those of the records that waited for it.
    pub fn fold(&mut self, offset: u64, record: ConfigRecord) -> Vec<ConfigRuling> {
        if !self.cursor.reaches(offset) {
            return vec![ConfigRuling::of(offset, &record, ConfigVerdict::Nothing)];
        }
        if self.cursor.whole() {
            return vec![self.apply(offset, record)];
        }
        let usable = matches!(&record, ConfigRecord::Snapshot { through, .. } if self.cursor.usable(*through));
        if !usable {
            self.cursor.hold(offset, record);
            return Vec::new();
        }
        let verdict = self.take_snapshot(record);
        let mut rulings = vec![ConfigRuling { offset, publish_id: None, verdict }];
        for (offset, record) in self.cursor.release() {
            rulings.push(self.apply(offset, record));
        }
        rulings
    }

    /// Tells the fold which offset the log still holds. A reader that has not read so far will
    /// never see the records before it, and a stream that retention emptied looks like a new one.
    pub fn retained_from(&mut self, first: u64) {
        self.cursor.retained_from(first);
    }

    /// Passes over a record that cannot be read: of an unknown format, or none of ours. Every
    /// reader of a release passes over the same ones.
    pub fn skip(&mut self, offset: u64) {
        let _ = self.cursor.reaches(offset);
    }

    /// Takes a peer's snapshot if it holds more of the log than this fold, which then reads on
    /// behind it. Returns the version that came into force, if any did.
    pub fn adopt(&mut self, record: ConfigRecord) -> Option<ConfigVersion> {
        let ConfigRecord::Snapshot { through, version, .. } = record else { return None };
        if !self.cursor.gains(through) || version < self.version {
            return None;
        }
        self.take_snapshot(record);
        self.cursor.jump(through);
        for (offset, record) in self.cursor.release() {
            self.apply(offset, record);
        }
        Some(self.version)
    }

    /// The record that holds the whole state, for the log and for peers; none while not whole.
    #[must_use]
    pub fn snapshot(&self) -> Option<ConfigRecord> {
        self.whole().then(|| ConfigRecord::Snapshot {
            version: self.version,
            through: self.cursor.next(),
            recent: self.recent.clone(),
            manifest: (*self.manifest).clone(),
        })
    }

    fn apply(&mut self, offset: u64, record: ConfigRecord) -> ConfigRuling {
        match record {
            ConfigRecord::Snapshot { .. } => {
                ConfigRuling { offset, publish_id: None, verdict: ConfigVerdict::Nothing }
            }
            ConfigRecord::Publish { base, publish_id, change } => {
                let verdict = self.judge(base, &publish_id, change);
                ConfigRuling { offset, publish_id: Some(publish_id), verdict }
            }
        }
    }

    fn judge(&mut self, base: ConfigVersion, id: &str, change: ConfigChange) -> ConfigVerdict {
        if let Some(known) = self.recent.iter().find(|known| known.publish_id == id) {
            return ConfigVerdict::Repeated(known.version);
        }
        // Two operators who publish on the same base would otherwise undo each other's change.
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
        self.cursor.begin_at(through);
        self.recent = recent;
        self.recent.truncate(RECENT_PUBLISHES);
        self.set(version, manifest);
        ConfigVerdict::Adopted(version)
    }

    fn set(&mut self, version: ConfigVersion, manifest: ServingManifest) {
        let was = self.version;
        self.invariants.check(InvariantName::ConfigNeverReverts, version >= was, || {
            format!("version {was} was in force, then {version}")
        });
        self.version = version;
        self.manifest = Arc::new(manifest);
    }
}

impl ConfigRuling {
    fn of(offset: u64, record: &ConfigRecord, verdict: ConfigVerdict) -> Self {
        let publish_id = match record {
            ConfigRecord::Publish { publish_id, .. } => Some(publish_id.clone()),
            ConfigRecord::Snapshot { .. } => None,
        };
        Self { offset, publish_id, verdict }
    }
}
