//! Randomised soak of coltsfoothook's decisions, used by the tests and the load tool.
//! docs/FAILURES.md describes its checks and how to replay a run.
//!
//! ```
//! use coltsfoothook_load::world::{SoakSettings, run_seed};
//!
//! let settings = SoakSettings { seed: 5_001, events: 1_000, ..Default::default() };
//! let result = run_seed(&settings);
//! assert_eq!(result.violations, []);
//! assert_eq!(result, run_seed(&settings), "a run is determined by its seed");
//! ```

pub mod call;
pub mod effect;
pub mod fake;
mod fault;
pub mod oracle;
mod ownership;
pub mod safeguard;
mod traffic;
pub mod vm;
pub mod world;
