//! Manifests and deltas in files.

use std::path::{Path, PathBuf};

use coltsfoothook_decision::check::{ManifestFault, check_manifest, normalize};
use coltsfoothook_decision::delta::apply_delta;
use coltsfoothook_decision::manifest::{ManifestDelta, ServingManifest};
use coltsfoothook_settings::{LocatedFault, SettingsDocument, parse_document, read_text};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{CtlError, UnreadableSnafu};

/// The most bytes in a manifest's file.
const MOST_FILE_BYTES: u64 = 256 << 20;

/// A file's text, kept so that faults which are found later can still be placed in it.
pub(crate) struct ManifestFile {
    path: PathBuf,
    text: String,
}

impl ManifestFile {
    pub(crate) fn read(path: &Path) -> Result<Self, CtlError> {
        let text = read_text(path, MOST_FILE_BYTES).context(UnreadableSnafu { file: path })?;
        Ok(Self { path: path.to_owned(), text })
    }

    /// The whole manifest that stands in the file, checked and in normal form.
    pub(crate) fn manifest(&self) -> Result<ServingManifest, CtlError> {
        let mut manifest: ServingManifest = self.parse()?;
        let faults = check_manifest(&manifest);
        if !faults.is_empty() {
            return Err(self.faulty(&faults));
        }
        normalize(&mut manifest);
        Ok(manifest)
    }

    /// The delta that stands in the file; whether it fits its base is not checked.
    pub(crate) fn delta(&self) -> Result<ManifestDelta, CtlError> {
        self.parse()
    }

    /// The manifest that the delta in the file makes of `base`.
    pub(crate) fn applied_to(&self, base: &ServingManifest) -> Result<ServingManifest, CtlError> {
        apply_delta(base, &self.delta()?).map_err(|faults| self.faulty(&faults))
    }

    /// The faults with their places in the file.
    pub(crate) fn faulty(&self, faults: &[ManifestFault]) -> CtlError {
        // The text was parsed before, so it parses again.
        let document = SettingsDocument::parse(&self.text).ok();
        let located = faults.iter().map(|fault| {
            let place = document.as_ref().map(|document| {
                // A fault of what a delta makes stands where the delta puts the entry in.
                let inside = document.locate(&format!("put.{}", fault.path));
                document.locate(&fault.path).max(inside)
            });
            LocatedFault {
                place: place.unwrap_or_default(),
                path: fault.path.clone(),
                problem: fault.detail.clone(),
                allowed: fault.allowed.clone(),
            }
        });
        let mut located: Vec<_> = located.collect();
        located.sort_by_key(|fault| fault.place);
        CtlError::Faulty { file: self.path.clone(), faults: located }
    }

    fn parse<T: DeserializeOwned>(&self) -> Result<T, CtlError> {
        let parsed = SettingsDocument::parse(&self.text).and_then(|it| parse_document(&it));
        parsed.map_err(|faults| CtlError::Faulty { file: self.path.clone(), faults })
    }
}
