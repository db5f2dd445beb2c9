//! Handler of the operator interface.

use std::sync::{Arc, RwLock};
use std::time::Duration;

use async_trait::async_trait;
use coltsfoothook_decision::config::ConfigVerdict;
use coltsfoothook_decision::credential::{CredentialHash, CredentialTable};
use coltsfoothook_decision::id::{RequestFingerprint, RequestId, VmName};
use coltsfoothook_decision::member::MemberState;
use coltsfoothook_decision::message::{ExplainCall, ExplainReply};
use coltsfoothook_decision::record::{ConfigRecord, ControlRecord};
use coltsfoothook_operator::{
    DrainKind, ExplainAnswer, FleetStatus, HealthAnswer, ManifestAnswer, OperatorAuth,
    OperatorHandler, PublishAnswer, PublishCall, VmStatus, WriteAnswer, publish_faults,
};
use coltsfoothook_peer::PeerTarget;
use coltsfoothook_settings::{SecretError, SecretFile};
use coltsfoothook_telemetry::{PublishResult, event};
use futures::future::join_all;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::core::{EntryCore, PublishWaiter, read, write};
use crate::held::lock;
use crate::peers::own_status;
use crate::write::WriteError;

/// Timeout of the append of an operator's record, and again of its verdict.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
const VERDICT_TIMEOUT: Duration = Duration::from_secs(5);
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the files with operators' tokens are read again.
const TOKEN_RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Hashes of the operators' tokens. Customers' credentials are in a separate table, so they grant
/// no access to the operator interface.
pub(crate) struct OperatorTokens {
    files: Vec<SecretFile>,
    table: RwLock<CredentialTable<()>>,
}

impl OperatorTokens {
    /// Reads the token files and keeps only the hashes.
    pub(crate) fn load(files: &[SecretFile]) -> Result<Self, SecretError> {
        let table = RwLock::new(read_tokens(files)?);
        Ok(Self { files: files.to_vec(), table })
    }

    /// Reloads the files periodically, so that tokens are replaced without a restart. If a file
    /// cannot be read the old tokens stay valid; a partial table would lock operators out.
    pub(crate) async fn watch(self: Arc<Self>, closing: CancellationToken) {
        loop {
            tokio::select! {
                () = closing.cancelled() => return,
                () = sleep(TOKEN_RELOAD_INTERVAL) => {}
            }
            match read_tokens(&self.files) {
                Ok(table) => *write(&self.table) = table,
                Err(error) => event!(KeysRefused, error = error),
            }
        }
    }
}

fn read_tokens(files: &[SecretFile]) -> Result<CredentialTable<()>, SecretError> {
    let mut hashes = Vec::new();
    for file in files {
        hashes.push((CredentialHash::of(file.read()?.expose()), ()));
    }
    Ok(CredentialTable::new(hashes))
}

impl OperatorAuth for OperatorTokens {
    fn is_operator(&self, token: &str) -> bool {
        read(&self.table).find(token).is_some()
    }
}

/// Serves operator requests from the shared state.
pub(crate) struct OperatorInterface {
    pub(crate) core: Arc<EntryCore>,
}

#[async_trait]
impl OperatorHandler for OperatorInterface {
    async fn manifest(&self) -> Option<ManifestAnswer> {
        let view = self.core.view();
        let known = view.version.0 > 0 && self.core.ready().is_ok();
        known.then(|| ManifestAnswer { version: view.version, manifest: (*view.manifest).clone() })
    }

    async fn publish(&self, call: PublishCall) -> PublishAnswer {
        let answer = publish(&self.core, call).await;
        self.core.metrics.set.count_publication(publish_label(&answer));
        answer
    }

    async fn status(&self) -> FleetStatus {
        let core = &self.core;
        let others = other_vms(core).into_iter().map(|target| async move {
            let reply = core.clients.peers.status(&target, PEER_TIMEOUT).await.ok();
            VmStatus { vm: target.vm, reply }
        });
        let mut vms = join_all(others).await;
        vms.push(VmStatus { vm: core.me.vm.clone(), reply: Some(own_status(core)) });
        vms.sort_by(|left, right| left.vm.cmp(&right.vm));
        FleetStatus { asked: core.me.vm.clone(), vms }
    }

    async fn drain(&self, kind: DrainKind, name: &str, draining: bool) -> WriteAnswer {
        let core = &self.core;
        let record = match kind {
            DrainKind::Vm if lock(&core.members).row(name).is_none() => {
                return WriteAnswer::UnknownName;
            }
            DrainKind::Server if core.view().manifest.server(name).is_none() => {
                return WriteAnswer::UnknownName;
            }
            DrainKind::Vm => ControlRecord::DrainVm { vm: name.into(), draining },
            DrainKind::Server => ControlRecord::DrainServer { server: name.into(), draining },
        };
        let name = name.to_owned();
        write_control(core, &record, move |core| {
            let control = read(&core.control);
            let drains = match kind {
                DrainKind::Vm => control.is_vm_draining(&name),
                DrainKind::Server => control.is_server_draining(&name),
            };
            drains == draining
        })
        .await
    }

    async fn explain(&self, id: &RequestId) -> ExplainAnswer {
        let core = &self.core;
        let asked = other_vms(core).into_iter().map(|target| async move {
            let call = ExplainCall { id: id.clone() };
            core.clients.peers.explain(&target, call, PEER_TIMEOUT).await.ok()
        });
        let others = join_all(asked).await.into_iter().flatten();
        let own = ExplainReply { vm: core.me.clone(), steps: core.traces.steps(id.as_str()) };
        let replies = std::iter::once(own).chain(others).filter(|reply| !reply.steps.is_empty());
        ExplainAnswer { replies: replies.collect() }
    }

    async fn lift(&self, fingerprint: RequestFingerprint) -> WriteAnswer {
        let suspected = |core: &EntryCore| {
            let control = read(&core.control);
            control.suspects().iter().any(|entry| entry.fingerprint == fingerprint)
        };
        if !suspected(&self.core) {
            return WriteAnswer::UnknownName;
        }
        let record = ControlRecord::Cleared { fingerprint };
        write_control(&self.core, &record, move |core| !suspected(core)).await
    }

    fn metrics(&self) -> String {
        self.core.metrics.refresh(&self.core);
        self.core.metrics.set.text()
    }

    fn health(&self) -> HealthAnswer {
        if self.core.gate.is_closed() {
            return HealthAnswer { ready: false, reason: "leaving".to_owned() };
        }
        match self.core.ready() {
            Ok(()) => HealthAnswer { ready: true, reason: String::new() },
            Err(why) => HealthAnswer { ready: false, reason: why.to_owned() },
        }
    }
}

fn other_vms(core: &EntryCore) -> Vec<PeerTarget> {
    let members = lock(&core.members);
    let others = members.others().iter().filter(|row| row.state() != MemberState::Dead);
    let targets = others
        .map(|row| PeerTarget { address: row.place().peer, vm: VmName(row.name().to_owned()) });
    targets.collect()
}

/// Appends a publication and waits for the fold's verdict on it.
///
/// The verdict is matched by the publication's id, not by the append's answer. If that answer is
/// lost, the record is still found, or the append is repeated and the fold detects the duplicate.
async fn publish(core: &Arc<EntryCore>, call: PublishCall) -> PublishAnswer {
    if !lock(&core.config).is_complete() {
        return PublishAnswer::NotReady;
    }
    let in_force = lock(&core.config).in_force();
    if in_force.version == call.base {
        // A change that the fold would reject is refused without appending it.
        let faults = publish_faults(&call.change, &in_force);
        if !faults.is_empty() {
            return PublishAnswer::Rejected(faults);
        }
    }
    let PublishCall { base, publish_id, change } = call;
    let (answer, answered) = oneshot::channel();
    let waiter = PublishWaiter { publish_id: publish_id.clone(), answer };
    lock(&core.publish_waiters).push(waiter);
    let record = ConfigRecord::Publish { base, publish_id: publish_id.clone(), change };
    let data = serde_json::to_string(&record).expect("records have text keys");
    let result = append_and_wait(core, data, answered).await;
    lock(&core.publish_waiters)
        .retain(|waiter| waiter.publish_id != publish_id || !waiter.answer.is_closed());
    result
}

fn publish_label(answer: &PublishAnswer) -> PublishResult {
    match answer {
        PublishAnswer::Accepted(_) => PublishResult::Accepted,
        PublishAnswer::Repeated(_) => PublishResult::Repeated,
        PublishAnswer::Stale { .. } => PublishResult::Stale,
        PublishAnswer::Rejected(_) => PublishResult::Rejected,
        PublishAnswer::Unknown => PublishResult::Unknown,
        PublishAnswer::LogUnavailable | PublishAnswer::NotReady => PublishResult::Unavailable,
    }
}

async fn append_and_wait(
    core: &EntryCore,
    data: String,
    answered: oneshot::Receiver<ConfigVerdict>,
) -> PublishAnswer {
    match core.writers.config.append(data, APPEND_TIMEOUT).await {
        Ok(()) | Err(WriteError::Unconfirmed { .. }) => {}
        Err(WriteError::NotAppended { .. }) => return PublishAnswer::LogUnavailable,
    }
    match timeout(VERDICT_TIMEOUT, answered).await {
        Ok(Ok(ConfigVerdict::Accepted(version))) => PublishAnswer::Accepted(version),
        Ok(Ok(ConfigVerdict::Repeated(version))) => PublishAnswer::Repeated(version),
        Ok(Ok(ConfigVerdict::Stale { in_force, .. })) => PublishAnswer::Stale { in_force },
        Ok(Ok(ConfigVerdict::Rejected(faults))) => PublishAnswer::Rejected(faults),
        Ok(Ok(ConfigVerdict::Adopted(_) | ConfigVerdict::Nothing) | Err(_)) | Err(_) => {
            PublishAnswer::Unknown
        }
    }
}

/// Appends a control record and waits until `applied` holds in the fold.
async fn write_control(
    core: &Arc<EntryCore>,
    record: &ControlRecord,
    applied: impl Fn(&EntryCore) -> bool,
) -> WriteAnswer {
    let data = serde_json::to_string(record).expect("records have text keys");
    match core.writers.control.append(data, APPEND_TIMEOUT).await {
        Ok(()) | Err(WriteError::Unconfirmed { .. }) => {}
        Err(WriteError::NotAppended { .. }) => return WriteAnswer::LogUnavailable,
    }
    let until = Instant::now() + VERDICT_TIMEOUT;
    while Instant::now() < until {
        if applied(core) {
            return WriteAnswer::Written;
        }
        sleep(POLL_INTERVAL).await;
    }
    WriteAnswer::Unknown
}
