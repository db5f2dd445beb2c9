//! The traits that the entry process implements to serve operators.

use async_trait::async_trait;
use coltsfoothook_decision::id::{RequestFingerprint, RequestId};

use crate::message::{
    DrainKind, ExplainAnswer, FleetStatus, HealthAnswer, ManifestAnswer, PublishAnswer,
    PublishCall, WriteAnswer,
};

/// Serves operators' calls, after the operator's token and the call's syntax have been checked.
///
/// Every method must return in bounded time; a handler that waits for the log applies its own
/// timeout and returns the variant for an unknown outcome.
#[async_trait]
pub trait OperatorHandler: Send + Sync + 'static {
    /// Returns the configuration in force at this VM; `None` if the VM has none or
    /// its copy may be stale.
    async fn manifest(&self) -> Option<ManifestAnswer>;

    /// Appends a publication to the log and returns its verdict once it has been read back.
    async fn publish(&self, call: PublishCall) -> PublishAnswer;

    /// Queries every known VM for its status. VMs that do not answer in time have no reply.
    async fn status(&self) -> FleetStatus;

    /// Starts (`draining` is true) or ends the drain of the VM or backend server `name`.
    async fn drain(&self, kind: DrainKind, name: &str, draining: bool) -> WriteAnswer;

    /// Queries every VM for the recorded steps of a request. Replies without steps are left out of
    /// the response.
    async fn explain(&self, id: &RequestId) -> ExplainAnswer;

    /// Lifts the condemnation, or the suspicion, of requests with this fingerprint.
    async fn lift(&self, fingerprint: RequestFingerprint) -> WriteAnswer;

    /// Returns the process's metrics in Prometheus's text format 0.0.4.
    fn metrics(&self) -> String;

    /// Reports whether the VM accepts requests. Called without authentication.
    fn health(&self) -> HealthAnswer;
}

/// Authenticates operators.
pub trait OperatorAuth: Send + Sync + 'static {
    /// Returns whether `token` is an operator's token. Must compare in constant time, so that
    /// response times do not reveal how much of a guessed token is correct.
    fn is_operator(&self, token: &str) -> bool;
}
