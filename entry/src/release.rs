//! Delivers releases of grants to the owners of their groups, in batches and with retries.
//!
//! A lost release would pin its slot until this VM is removed. Each retry goes to the group's
//! current owner: a new owner knows the grant from this VM's answer to its query for held grants.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::grant::ReleaseCall;
use coltsfoothook_decision::id::VmName;
use coltsfoothook_decision::owner::OwnerEvent;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use crate::core::{EntryCore, read};

/// How long the first release of a batch waits for others.
const BATCH_DELAY: Duration = Duration::from_millis(2);
const BATCH_RELEASES: usize = 256;
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an undelivered release is dropped. The same owner drops the pin when it finds
/// this VM dead, and a new owner queries the held grants.
const RELEASE_TTL: Duration = Duration::from_secs(180);

/// A release that is not delivered yet.
pub(crate) struct PendingRelease {
    call: ReleaseCall,
    until: Instant,
    /// Dropped once an owner has the release, or it has expired.
    _delivered: oneshot::Sender<()>,
}

/// Accepts releases of ended requests for delivery.
#[derive(Clone)]
pub(crate) struct ReleaseQueue {
    sender: mpsc::UnboundedSender<PendingRelease>,
}

impl ReleaseQueue {
    /// Creates the sending side and the receiver for [`run_releases`]. The channel is unbounded:
    /// it holds one small entry per ended request, and admission bounds the requests.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<PendingRelease>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Queues a release; `delivered` is dropped once the owner has it or it has expired.
    pub(crate) fn release(&self, call: ReleaseCall, delivered: oneshot::Sender<()>) {
        let until = Instant::now() + RELEASE_TTL;
        let _ = self.sender.send(PendingRelease { call, until, _delivered: delivered });
    }

    fn requeue(&self, pending: Vec<PendingRelease>) {
        let now = Instant::now();
        for pending in pending.into_iter().filter(|pending| pending.until > now) {
            let _ = self.sender.send(pending);
        }
    }
}

/// Delivers releases until the process ends.
pub(crate) async fn run_releases(
    core: Arc<EntryCore>,
    mut receiver: mpsc::UnboundedReceiver<PendingRelease>,
) {
    while let Some(first) = receiver.recv().await {
        let until = Instant::now() + BATCH_DELAY;
        let mut batch = vec![first];
        while batch.len() < BATCH_RELEASES {
            let Ok(Some(pending)) = timeout_at(until, receiver.recv()).await else { break };
            batch.push(pending);
        }
        deliver(&core, batch);
    }
}

/// Sends each owner its part of the batch. Each release's owner is read once, since a takeover
/// that is folded during the sort would make the order inconsistent.
fn deliver(core: &Arc<EntryCore>, batch: Vec<PendingRelease>) {
    let with_owner = |pending| (owner_of(core, &pending), pending);
    let mut owned: Vec<_> = batch.into_iter().map(with_owner).collect();
    owned.sort_by(|left, right| left.0.cmp(&right.0));
    while let Some((owner, _)) = owned.last() {
        let owner = owner.clone();
        let start = owned.partition_point(|(other, _)| *other < owner);
        let part = owned.split_off(start).into_iter().map(|(_, pending)| pending).collect();
        let (core, queue) = (Arc::clone(core), core.releases.clone());
        tokio::spawn(async move {
            let refused = send_releases(&core, owner, part).await;
            if !refused.is_empty() {
                sleep(RETRY_INTERVAL).await;
                queue.requeue(refused);
            }
        });
    }
}

fn owner_of(core: &EntryCore, pending: &PendingRelease) -> Option<VmName> {
    let control = read(&core.control);
    let ownership = control.owner(pending.call.grant.group.as_str())?;
    Some(ownership.owner.vm.clone())
}

/// Delivers releases to `owner` and returns those that were not delivered.
async fn send_releases(
    core: &Arc<EntryCore>,
    owner: Option<VmName>,
    part: Vec<PendingRelease>,
) -> Vec<PendingRelease> {
    let Some(owner) = owner else { return part };
    if owner == core.me.vm {
        for pending in part {
            apply_release(core, pending.call);
        }
        return Vec::new();
    }
    let Some(target) = core.target(owner.as_str()) else { return part };
    let calls = part.iter().map(|pending| pending.call.clone()).collect();
    match core.clients.peers.release(&target, calls, RELEASE_TIMEOUT).await {
        Ok(()) => Vec::new(),
        Err(_) => part,
    }
}

/// Passes a release to the group's owner on this VM. If this VM does not own the group the release
/// is dropped.
pub(crate) fn apply_release(core: &Arc<EntryCore>, call: ReleaseCall) {
    if let Some(shard) = core.shard(call.grant.group.as_str()) {
        shard.drive(core, OwnerEvent::Release(call));
    }
}
