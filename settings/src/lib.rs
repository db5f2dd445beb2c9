//! Settings files in JSON with comments, checked as a whole.
//!
//! A file with faults is refused with every fault at once, each with file, line, column, key and
//! what is allowed, so that an operator mends it in one go. The reference of the settings is made
//! from the same declarations that are checked; see docs/SETTINGS.md.
//!
//! # Declaring settings
//!
//! [`settings_struct!`] declares a struct whose fields each have a doc comment (the meaning), a type,
//! a default and, where it has one, a range:
//!
//! ```
//! use coltsfoothook_settings::{FaultList, parse_settings, settings_choice, settings_struct};
//!
//! settings_choice! {
//!     /// How callers reach a process.
//!     pub enum ListenMode {
//!         /// With TLS.
//!         Tls = "tls",
//!         /// Without, on the loopback interface alone.
//!         Loopback = "loopback",
//!     }
//! }
//!
//! settings_struct! {
//!     /// How requests are taken in.
//!     pub struct IntakeSettings {
//!         /// The most bytes in a body.
//!         pub body_bytes: usize = 1 << 20, in 1..=64 << 20;
//!         /// The adapter that is warmed at start.
//!         pub adapter: String = String::new(), required;
//!         /// How callers reach the process.
//!         pub mode: ListenMode = ListenMode::Tls;
//!     }
//! }
//!
//! settings_struct! {
//!     /// Settings of a process.
//!     pub struct ProcessSettings {
//!         /// How requests are taken in.
//!         pub intake: IntakeSettings = IntakeSettings::default();
//!         /// The fewest threads.
//!         pub least_threads: u32 = 1, in 1..=64;
//!         /// The most threads.
//!         pub most_threads: u32 = 8, in 1..=64;
//!     }
//!     check check_threads
//! }
//!
//! // Rules over several fields go into the function named after `check`.
//! fn check_threads(settings: &ProcessSettings, faults: &mut FaultList) {
//!     if settings.least_threads > settings.most_threads {
//!         faults.add("least_threads", "it is above most_threads", "at most most_threads");
//!     }
//! }
//!
//! let error = parse_settings::<ProcessSettings>("a.json", r#"{
//!     // Far too little.
//!     "intake": { "body_bytes": 0 },
//!     "most_thread": 4
//! }"#).unwrap_err();
//! let lines = [
//!     "a.json:3:5: intake.adapter: it must be given; allowed: text",
//!     "a.json:3:17: intake.body_bytes: 0 is out of range; allowed: 1 to 67108864",
//!     "a.json:4:5: most_thread: unknown key; did you mean `most_threads`? \
//!      allowed: `intake`, `least_threads`, `most_threads`",
//! ];
//! assert_eq!(error.to_string(), lines.join("\n"));
//! ```
//!
//! * The struct gets `Clone`, `Debug`, `PartialEq`, `Default`, serde's two traits and
//!   [`CheckedSettings`]; a key that is left out has its default and an unknown one is refused.
//! * `in RANGE` takes an inclusive range: of the value for a number, of each value for a list of
//!   numbers, of the number of bytes for text, and of the number of entries for other lists.
//! * `required` refuses an empty text, path, list or option.
//! * A field may be any type with [`SettingValue`]: numbers, `bool`, `String`, `PathBuf`,
//!   `SocketAddr`, `IpAddr`, the names of VMs, domains and regions, [`SecretFile`], `Option` and
//!   `Vec` of these, choices, and other settings structs, also in a `Vec`.
//!
//! # Reference
//!
//! [`reference_rows`] gives the rows of the reference, and [`reference_page`] a page of them, which a
//! test compares with the committed docs/SETTINGS.md.

mod document;
mod hint;
mod load;
mod reference;
mod secret;
mod structure;
mod value;

pub use document::{FaultPlace, LocatedFault, SettingsDocument};
pub use load::{
    CheckedSettings, DEFAULT_FILE_BYTES, SettingsError, load_settings, parse_document,
    parse_settings, read_text,
};
pub use reference::{ReferenceRow, reference_page, reference_rows};
pub use secret::{SecretError, SecretFile, SecretText};
pub use value::{FaultList, RangeCheck, SettingValue, SettingsFault};

#[doc(hidden)]
pub use serde;
#[doc(hidden)]
pub use value::{check_given, check_range, range_text};
