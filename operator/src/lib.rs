//! The HTTP face towards operators, and the messages that it shares with the operators' program.
//!
//! | call | what it does |
//! |---|---|
//! | `GET /v1/manifest` | the configuration in force with its version |
//! | `POST /v1/publish` | publishes a change ([`PublishCall`]) |
//! | `GET /v1/status` | what every entry VM knows and does |
//! | `PUT /v1/drain/vms/{name}`, `PUT /v1/drain/servers/{name}` | drains a VM or a backend server, or ends it |
//! | `GET /v1/explain/{id}` | why a request went where it did |
//! | `POST /v1/lift` | lifts the condemnation of a request |
//! | `GET /metrics` | Prometheus text |
//! | `GET /health` | whether the VM takes work; the only call without a token |
//!
//! All calls but the last need an operator's token; a tenant's credential opens none of them. Every
//! failure is a problem document (RFC 9457) with the fields `reason` and `outcome`. What the calls
//! do is behind [`OperatorHandler`], which the entry process implements. See docs/OPERATORS.md.
//!
//! ```no_run
//! # use std::sync::Arc;
//! # use coltsfoothook_operator::{OperatorAuth, OperatorHandler, OperatorServer, OperatorSettings};
//! # fn example(handler: Arc<dyn OperatorHandler>, auth: Arc<dyn OperatorAuth>) {
//! let settings = OperatorSettings::default();
//! let server = OperatorServer::start(&settings, handler, auth, None).expect("a free port");
//! println!("operators call {}", server.address());
//! # }
//! ```

mod face;
mod handler;
mod message;
mod problem;
mod server;

pub use handler::{OperatorAuth, OperatorHandler};
pub use message::{
    DrainCall, DrainKind, ExplainAnswer, FleetStatus, HealthAnswer, LiftCall, ManifestAnswer,
    PublishAnswer, PublishCall, PublishedAnswer, VmStatus, WriteAnswer, WrittenAnswer,
    publish_faults,
};
pub use problem::{OperatorProblem, ProblemDocument, ProblemReason};
pub use server::{OperatorServer, OperatorSettings, StartError};
