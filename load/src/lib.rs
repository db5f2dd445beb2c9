//! The randomised soak of coltsfoothook's decisions, as a library that tests and the load tool
//! share. docs/FAILURES.md tells what it checks and how to replay a run.

pub mod call;
pub mod fake;
mod fault;
pub mod oracle;
mod traffic;
pub mod vm;
pub mod world;
