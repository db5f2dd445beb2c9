//! Declaration, parsing and validation of settings files in JSON with comments.
//!
//! A faulty file is rejected with a list of all its faults, each with file, line, column, key and
//! allowed values, so that an operator can fix them in one pass. A syntax error or duplicate keys are
//! listed alone, because the values are then not decoded. The reference in docs/SETTINGS.md is
//! generated from the same declarations.
//!
//! # Declaring settings
//!
//! [`settings_struct!`] declares a struct whose fields each have a doc comment (the meaning), a type,
//! a default and, optionally, a range:
//!
//! ```
//! use coltsfoothook_settings::{FaultList, parse_settings, settings_choice, settings_struct};
//!
//! settings_choice! {
//!     /// How callers reach a process.
//!     pub enum ListenMode {
//!         /// With TLS.
//!         Tls = "tls",
//!         /// Without TLS, on the loopback interface only.
//!         Loopback = "loopback",
//!     }
//! }
//!
//! settings_struct! {
//!     /// Settings of the listener for requests.
//!     pub struct IntakeSettings {
//!         /// Maximum size of a body in bytes.
//!         pub body_bytes: usize = 1 << 20, in 1..=64 << 20;
//!         /// Adapter that is loaded at start.
//!         pub adapter: String = String::new(), required;
//!         /// How callers reach the process.
//!         pub mode: ListenMode = ListenMode::Tls;
//!     }
//! }
//!
//! settings_struct! {
//!     /// Settings of a process.
//!     pub struct ProcessSettings {
//!         /// Listener for requests.
//!         pub intake: IntakeSettings = IntakeSettings::default();
//!         /// Minimum number of threads.
//!         pub min_threads: u32 = 1, in 1..=64;
//!         /// Maximum number of threads.
//!         pub max_threads: u32 = 8, in 1..=64;
//!     }
//!     check check_threads
//! }
//!
//! // Rules that involve several fields go into the function named after `check`.
//! fn check_threads(settings: &ProcessSettings, faults: &mut FaultList) {
//!     if settings.min_threads > settings.max_threads {
//!         faults.add("min_threads", "it is above max_threads", "at most max_threads");
//!     }
//! }
//!
//! let error = parse_settings::<ProcessSettings>("a.json", r#"{
//!     // Below the minimum.
//!     "intake": { "body_bytes": 0 },
//!     "max_thread": 4
//! }"#).unwrap_err();
//! let lines = [
//!     "a.json:3:5: intake.adapter: it must be given; allowed: text",
//!     "a.json:3:17: intake.body_bytes: 0 is out of range; allowed: 1 to 67108864",
//!     "a.json:4:5: max_thread: unknown key; did you mean `max_threads`? \
//!      allowed: `intake`, `min_threads`, `max_threads`",
//! ];
//! assert_eq!(error.to_string(), lines.join("\n"));
//! ```
//!
//! * The struct implements `Clone`, `Debug`, `PartialEq`, `Default`, `Serialize`, `Deserialize` and
//!   [`CheckedSettings`]. A missing key takes its default; an unknown key is rejected.
//! * `in RANGE` takes an inclusive range. It limits the value of a number, the length of text in bytes
//!   and the number of entries of a list.
//! * `required` rejects an empty text, path, name or list and an absent option.
//! * A field may be any type with [`SettingValue`]: numbers, `bool`, `String`, `PathBuf`,
//!   `SocketAddr`, `IpAddr`, the names of VMs, domains and regions, [`SecretFile`], `Option` and
//!   `Vec` of these, choices, and other settings structs, also in a `Vec`.
//!
//! # Reference
//!
//! [`reference_rows`] returns the rows of the reference and [`reference_page`] formats them. A test
//! compares the result with the committed docs/SETTINGS.md.

mod document;
mod hint;
mod load;
mod reference;
mod secret;
mod structure;
mod value;

pub use document::{FilePosition, LocatedFault, SettingsDocument};
pub use load::{
    CheckedSettings, MAX_FILE_BYTES, SettingsError, load_settings, parse_document, parse_settings,
    read_text,
};
pub use reference::{ReferenceRow, reference_page, reference_rows};
pub use secret::{SecretError, SecretFile, SecretText};
pub use value::{FaultList, RangeCheck, SettingValue, SettingsFault};

#[doc(hidden)]
pub use serde;
#[doc(hidden)]
pub use value::{check_present, check_range, range_text};
