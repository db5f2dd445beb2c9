//! Wait queues of a group owner, one per request class, kept in service order.

use crate::grant::RequestSpec;
use crate::id::{CustomerName, TimePoint, VmIdentity};
use crate::outcome::RequestClass;
use crate::topology::TenantShare;

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) ticket: u64,
    pub(crate) requester: VmIdentity,
    pub(crate) spec: RequestSpec,
    pub(crate) adapter: u32,
    pub(crate) arrived: TimePoint,
    pub(crate) deadline: Option<TimePoint>,
    /// When the adapter finished loading; `None` while it has not, or if it was loaded on arrival.
    pub(crate) ready_at: Option<TimePoint>,
    /// Whether the adapter was not loaded on arrival.
    pub(crate) stalled: bool,
    pub(crate) on_trial: bool,
    /// Virtual times between which it would be served at its tenant's fair share.
    start_tag: f64,
    finish_tag: f64,
}

/// A request that is about to be queued.
#[derive(Clone, Debug)]
pub(crate) struct ArrivingRequest {
    pub(crate) ticket: u64,
    pub(crate) requester: VmIdentity,
    pub(crate) spec: RequestSpec,
    pub(crate) adapter: u32,
    pub(crate) deadline: Option<TimePoint>,
    pub(crate) stalled: bool,
    /// Whether it shows if a quarantined part of its prompt still crashes engines.
    pub(crate) on_trial: bool,
}

/// Fair-queueing state of one tenant.
#[derive(Clone, Debug)]
struct TenantClock {
    tenant: CustomerName,
    weight: f64,
    /// Virtual finish time of its last request, per class.
    finish: [f64; RequestClass::ALL.len()],
    /// Queued requests, per class.
    waiting: [u32; RequestClass::ALL.len()],
}

/// Lower bound of a tenant's weight, so that a tenant of weight zero is not starved forever.
const MIN_WEIGHT: f64 = 0.01;

/// One queue per class. Urgent and audit requests are shared fairly between tenants by virtual time
/// (weighted fair queueing); scheduled requests are ordered by deadline, and by virtual time where
/// deadlines are equal.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    classes: [Vec<WaitingRequest>; RequestClass::ALL.len()],
    /// Virtual time per class: the start tag of the request served last.
    clocks: [f64; RequestClass::ALL.len()],
    tenants: Vec<TenantClock>,
}

impl WaitQueue {
    pub(crate) fn set_tenants(&mut self, shares: &[TenantShare]) {
        for share in shares {
            let at = self.tenant(&share.tenant);
            self.tenants[at].weight = share.weight.max(MIN_WEIGHT);
        }
        let used = |clock: &TenantClock| clock.waiting.iter().any(|&waiting| waiting > 0);
        let listed = |clock: &TenantClock| shares.iter().any(|share| share.tenant == clock.tenant);
        self.tenants.retain(|clock| used(clock) || listed(clock));
    }

    fn tenant(&mut self, name: &CustomerName) -> usize {
        match self.tenants.binary_search_by(|clock| clock.tenant.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                let clock = TenantClock {
                    tenant: name.clone(),
                    weight: 1.0,
                    finish: [0.0; 3],
                    waiting: [0; 3],
                };
                self.tenants.insert(at, clock);
                at
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.classes.iter().all(Vec::is_empty)
    }

    pub(crate) fn len(&self, class: RequestClass) -> usize {
        self.classes[class as usize].len()
    }

    pub(crate) fn class(&self, class: RequestClass) -> &[WaitingRequest] {
        &self.classes[class as usize]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.classes.iter().flatten()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut WaitingRequest> {
        self.classes.iter_mut().flatten()
    }

    /// Inserts a request at its position in service order.
    pub(crate) fn push(&mut self, arriving: ArrivingRequest, now: TimePoint) {
        let class = arriving.spec.class as usize;
        let tenant = self.tenant(&arriving.spec.tenant);
        let clock = &mut self.tenants[tenant];
        let start_tag = clock.finish[class].max(self.clocks[class]);
        let finish_tag = start_tag + 1.0 / clock.weight;
        clock.finish[class] = finish_tag;
        clock.waiting[class] += 1;
        let request = WaitingRequest {
            ticket: arriving.ticket,
            requester: arriving.requester,
            spec: arriving.spec,
            adapter: arriving.adapter,
            arrived: now,
            deadline: arriving.deadline,
            ready_at: None,
            stalled: arriving.stalled,
            on_trial: arriving.on_trial,
            start_tag,
            finish_tag,
        };
        let queue = &mut self.classes[class];
        let at = queue.partition_point(|waiting| !served_before(&request, waiting));
        queue.insert(at, request);
    }

    /// Removes the request at index `at` of `class` to serve it, and advances the virtual clock of
    /// the class.
    pub(crate) fn serve(&mut self, class: RequestClass, at: usize) -> WaitingRequest {
        let request = self.remove(class, at);
        let clock = &mut self.clocks[class as usize];
        *clock = clock.max(request.start_tag);
        request
    }

    /// Removes the request at index `at` of `class` without serving it.
    pub(crate) fn remove(&mut self, class: RequestClass, at: usize) -> WaitingRequest {
        let request = self.classes[class as usize].remove(at);
        let tenant = self.tenant(&request.spec.tenant);
        let waiting = &mut self.tenants[tenant].waiting[class as usize];
        *waiting = waiting.saturating_sub(1);
        request
    }

    /// Removes the request of `ticket`, if it is queued.
    pub(crate) fn withdraw(&mut self, ticket: u64) -> Option<WaitingRequest> {
        for class in RequestClass::ALL {
            let found = self.class(class).iter().position(|waiting| waiting.ticket == ticket);
            if let Some(at) = found {
                return Some(self.remove(class, at));
            }
        }
        None
    }

    /// Removes the first request that `matches` accepts.
    pub(crate) fn remove_first(
        &mut self,
        mut matches: impl FnMut(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        for class in RequestClass::ALL {
            let found = self.class(class).iter().position(&mut matches);
            if let Some(at) = found {
                return Some(self.remove(class, at));
            }
        }
        None
    }

    /// Makes room in a full queue: removes the last request of the tenant with the most queued
    /// requests relative to its weight. Returns `None` if `newcomer` itself would have the most, so
    /// that a tenant that floods the queue cannot displace others.
    pub(crate) fn displace(
        &mut self,
        class: RequestClass,
        newcomer: &CustomerName,
    ) -> Option<WaitingRequest> {
        let at = self.tenant(newcomer);
        let load = |clock: &TenantClock| f64::from(clock.waiting[class as usize]) / clock.weight;
        let own = load(&self.tenants[at]) + 1.0 / self.tenants[at].weight;
        let heaviest =
            self.tenants.iter().max_by(|left, right| load(left).total_cmp(&load(right)))?;
        if load(heaviest) <= own {
            return None;
        }
        let tenant = heaviest.tenant.clone();
        let last = self.class(class).iter().rposition(|waiting| waiting.spec.tenant == tenant)?;
        Some(self.remove(class, last))
    }
}

fn served_before(left: &WaitingRequest, right: &WaitingRequest) -> bool {
    if left.spec.class == RequestClass::Scheduled {
        let due = |request: &WaitingRequest| request.deadline.map_or(u64::MAX, |due| due.0);
        if due(left) != due(right) {
            return due(left) < due(right);
        }
    }
    left.finish_tag < right.finish_tag
}
