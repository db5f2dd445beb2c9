//! Reads manifests, deltas and configurations from files and locates their faults.

use std::path::{Path, PathBuf};

use coltsfoothook_decision::check::{ManifestFault, check_manifest, normalize};
use coltsfoothook_decision::delta::apply_delta;
use coltsfoothook_decision::manifest::{ManifestDelta, ServingManifest};
use coltsfoothook_settings::{LocatedFault, SettingsDocument, parse_document, read_text};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{CtlError, UnreadableSnafu};

/// Maximum size of a file.
const MAX_FILE_BYTES: u64 = 256 << 20;

/// A file with a manifest, a delta or the platform's configuration. Its text is kept to locate faults that are found after parsing.
pub(crate) struct ManifestFile {
    path: PathBuf,
    text: String,
}

impl ManifestFile {
    pub(crate) fn read(path: &Path) -> Result<Self, CtlError> {
        let text = read_text(path, MAX_FILE_BYTES).context(UnreadableSnafu { file: path })?;
        Ok(Self { path: path.to_owned(), text })
    }

    /// Parses the file as a whole manifest, checks it and brings it into normal form.
    pub(crate) fn manifest(&self) -> Result<ServingManifest, CtlError> {
        let mut manifest: ServingManifest = self.parse()?;
        let faults = check_manifest(&manifest);
        if !faults.is_empty() {
            return Err(self.invalid(&faults));
        }
        normalize(&mut manifest);
        Ok(manifest)
    }

    /// Parses the file as a delta, without checking it against its base.
    pub(crate) fn delta(&self) -> Result<ManifestDelta, CtlError> {
        self.parse()
    }

    /// Parses the file as a delta and applies it to `base`.
    pub(crate) fn applied_to(&self, base: &ServingManifest) -> Result<ServingManifest, CtlError> {
        apply_delta(base, &self.delta()?).map_err(|faults| self.invalid(&faults))
    }

    /// Makes the error that lists the faults with their lines and columns in the file, in this
    /// order.
    pub(crate) fn invalid(&self, faults: &[ManifestFault]) -> CtlError {
        // The text has been parsed before, so parsing does not fail here.
        let document = SettingsDocument::parse(&self.text).ok();
        let located = faults.iter().map(|fault| {
            let place = document.as_ref().map(|document| {
                // A fault in the result of a delta is located at the delta's `put` entry.
                let in_put = document.locate(&format!("put.{}", fault.path));
                document.locate(&fault.path).max(in_put)
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
        CtlError::Invalid { file: self.path.clone(), faults: located }
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Parses the text without decoding it.
    pub(crate) fn document(&self) -> Result<SettingsDocument<'_>, CtlError> {
        let parsed = SettingsDocument::parse(&self.text);
        parsed.map_err(|faults| CtlError::Invalid { file: self.path.clone(), faults })
    }

    fn parse<T: DeserializeOwned>(&self) -> Result<T, CtlError> {
        let parsed = parse_document(&self.document()?);
        parsed.map_err(|faults| CtlError::Invalid { file: self.path.clone(), faults })
    }
}
