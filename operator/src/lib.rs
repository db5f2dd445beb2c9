//! The HTTP interface for operators, and the messages that it shares with the command-line client.
//!
//! | call | effect |
//! |---|---|
//! | `GET /v1/manifest` | returns the configuration in force with its version |
//! | `POST /v1/publish` | publishes a change ([`PublishCall`]) |
//! | `GET /v1/status` | returns the status of every entry VM |
//! | `PUT /v1/drain/vms/{name}`, `PUT /v1/drain/servers/{name}` | starts or ends the drain of a VM or a backend server |
//! | `GET /v1/explain/{id}` | returns the steps that VMs recorded for a request |
//! | `POST /v1/lift` | lifts the condemnation of a request ([`LiftCall`]) |
//! | `GET /metrics` | returns metrics in Prometheus's text format |
//! | `GET /health` | returns whether the VM accepts requests |
//!
//! All calls except `GET /health` require an operator's token, `GET /metrics` only unless
//! [`OperatorSettings::open_metrics`] is set; customers' credentials are not accepted. Every
//! failure is answered with a problem document (RFC 9457) with the fields `reason` and `outcome`.
//! The entry process implements [`OperatorHandler`]. See docs/OPERATORS.md.
//!
//! ```no_run
//! # use std::sync::Arc;
//! # use coltsfoothook_operator::{OperatorAuth, OperatorHandler, OperatorServer, OperatorSettings};
//! # fn example(handler: Arc<dyn OperatorHandler>, auth: Arc<dyn OperatorAuth>) {
//! let settings = OperatorSettings::default();
//! let server = OperatorServer::start(&settings, handler, auth, None).expect("a free port");
//! println!("listening for operators at {}", server.address());
//! # }
//! ```

mod handler;
mod interface;
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
