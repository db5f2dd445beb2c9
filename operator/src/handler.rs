//! What the entry process does for operators.

use async_trait::async_trait;
use coltsfoothook_decision::id::{RequestFingerprint, RequestId};

use crate::message::{
    DrainKind, ExplainAnswer, FleetStatus, HealthAnswer, ManifestAnswer, PublishAnswer,
    PublishCall, WriteAnswer,
};

/// What is behind the face. The face has checked the operator's token and the shape of the call.
///
/// An answer has to come in bounded time: a handler that waits for the log gives up by itself and
/// says so.
#[async_trait]
pub trait OperatorHandler: Send + Sync + 'static {
    /// The configuration in force at this VM, or none if it has none or may be stale.
    async fn manifest(&self) -> Option<ManifestAnswer>;

    /// Appends a publication and tells what became of it once it was read back.
    async fn publish(&self, call: PublishCall) -> PublishAnswer;

    /// Asks every VM for its status.
    async fn status(&self) -> FleetStatus;

    /// Begins or ends the drain of the VM or backend server `name`.
    async fn drain(&self, kind: DrainKind, name: &str, draining: bool) -> WriteAnswer;

    /// Asks every VM for the steps of a request.
    async fn explain(&self, id: &RequestId) -> ExplainAnswer;

    /// Lifts the condemnation of a request.
    async fn lift(&self, fingerprint: RequestFingerprint) -> WriteAnswer;

    /// The process's metrics in Prometheus's text format.
    fn metrics(&self) -> String;

    /// Whether the VM takes work.
    fn health(&self) -> HealthAnswer;
}

/// Knows the operators' tokens.
pub trait OperatorAuth: Send + Sync + 'static {
    /// Whether `token` is an operator's. The time that it takes must not depend on how much of the
    /// token is right, or else a stranger could find it out letter by letter.
    fn is_operator(&self, token: &str) -> bool;
}
