//! Gives grants back to the owners of their groups, many in one message, until they are taken.
//!
//! A release that is lost would pin its slot until this VM is gone, so one that could not be
//! delivered is tried again. It goes to whoever owns the group by then: a new owner knows the grant
//! from this VM's answer to its question.

use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::grant::ReleaseCall;
use coltsfoothook_decision::id::VmName;
use coltsfoothook_decision::owner::OwnerEvent;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use crate::core::{EntryCore, read};

/// How long the first release of a message waits for others.
const LINGER: Duration = Duration::from_millis(2);
const BATCH_RELEASES: usize = 256;
const RELEASE_WITHIN: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// A release that no owner took for so long is dropped. An owner that lived through it drops the
/// pin when it finds this VM gone, and a later one asks what is held.
const KEPT: Duration = Duration::from_secs(180);

/// A release on its way.
pub(crate) struct PendingRelease {
    call: ReleaseCall,
    until: Instant,
    /// Dropped once an owner has taken the release, or nobody ever will.
    _delivered: oneshot::Sender<()>,
}

/// Takes releases from requests that ended.
#[derive(Clone)]
pub(crate) struct ReleaseDesk {
    sender: mpsc::UnboundedSender<PendingRelease>,
}

impl ReleaseDesk {
    /// The desk and the queue that [`run_releases`] works off. The queue has no bound of its own: it
    /// holds one small entry for each request that ended, and requests are bounded before they run.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<PendingRelease>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Gives a grant back; `delivered` is dropped once its owner knows.
    pub(crate) fn release(&self, call: ReleaseCall, delivered: oneshot::Sender<()>) {
        let until = Instant::now() + KEPT;
        let _ = self.sender.send(PendingRelease { call, until, _delivered: delivered });
    }

    fn again(&self, pending: Vec<PendingRelease>) {
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
        let until = Instant::now() + LINGER;
        let mut batch = vec![first];
        while batch.len() < BATCH_RELEASES {
            let Ok(Some(pending)) = timeout_at(until, receiver.recv()).await else { break };
            batch.push(pending);
        }
        deliver(&core, batch);
    }
}

/// Sends each owner its part of the batch. The owner of each release is looked up once: a takeover
/// that is read meanwhile would change the order under the sort.
fn deliver(core: &Arc<EntryCore>, batch: Vec<PendingRelease>) {
    let with_owner = |pending| (owner_of(core, &pending), pending);
    let mut owned: Vec<_> = batch.into_iter().map(with_owner).collect();
    owned.sort_by(|left, right| left.0.cmp(&right.0));
    while let Some((owner, _)) = owned.last() {
        let owner = owner.clone();
        let start = owned.partition_point(|(other, _)| *other < owner);
        let part = owned.split_off(start).into_iter().map(|(_, pending)| pending).collect();
        let (core, desk) = (Arc::clone(core), core.releases.clone());
        tokio::spawn(async move {
            let refused = hand_over(&core, owner, part).await;
            if !refused.is_empty() {
                sleep(RETRY_PAUSE).await;
                desk.again(refused);
            }
        });
    }
}

fn owner_of(core: &EntryCore, pending: &PendingRelease) -> Option<VmName> {
    let control = read(&core.control);
    let ownership = control.owner(pending.call.grant.group.as_str())?;
    Some(ownership.owner.vm.clone())
}

/// Gives back the releases that were not taken.
async fn hand_over(
    core: &Arc<EntryCore>,
    owner: Option<VmName>,
    part: Vec<PendingRelease>,
) -> Vec<PendingRelease> {
    let Some(owner) = owner else { return part };
    if owner == core.me.vm {
        for pending in part {
            take_release(core, pending.call);
        }
        return Vec::new();
    }
    let Some(target) = core.target(owner.as_str()) else { return part };
    let calls = part.iter().map(|pending| pending.call.clone()).collect();
    match core.clients.peers.release(&target, calls, RELEASE_WITHIN).await {
        Ok(()) => Vec::new(),
        Err(_) => part,
    }
}

/// Takes a grant back at its owner. A VM that does not own the group forgets it: the requester
/// learns of the new owner from the log and tells that one.
pub(crate) fn take_release(core: &Arc<EntryCore>, call: ReleaseCall) {
    if let Some(shard) = core.shard(call.grant.group.as_str()) {
        shard.drive(core, OwnerEvent::Release(call));
    }
}
