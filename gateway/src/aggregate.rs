//! Aggregation for a failure domain in a large fleet: the aggregator reports what is new to the VMs
//! of its domain and exchanges sums with the aggregators of other domains.
//!
//! The first live VM by rank in the roster aggregates. While rosters differ, two VMs or none may
//! aggregate. Messages carry whole states and sums, so duplicates do no harm, and the next VM in
//! rank takes over once it receives nothing from an aggregator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::aggregator::{AggregatorRole, RecentRecipients};
use coltsfoothook_decision::counts::LoadFigure;
use coltsfoothook_decision::domain_update::{UPDATE_INTERVAL_US, UpdateWriter, split_lists};
use coltsfoothook_decision::id::{CustomerName, ServerName, TimePoint, VmName};
use coltsfoothook_decision::loadtime::ReportedTimes;
use coltsfoothook_decision::usage::{ReportBasis, ReportEffect, UsageReport};
use coltsfoothook_telemetry::event;
use tokio::time::sleep;

use crate::clock;
use crate::message::{DomainSums, DomainUpdate, PeerMessage, ServerLoad};
use crate::order::server_lists;
use crate::peer;
use crate::roster::SMALL_FLEET;
use crate::settings::{CapacitySettings, GatewaySettings};
use crate::state::{Gateway, SystemView};

/// Interval at which a VM checks whether it aggregates, in microseconds. A VM that takes over announces
/// it and sends its first update one interval later, so that it knows by then what the VMs of its
/// domain used since the last update of its predecessor.
const ROLE_INTERVAL_US: u64 = UPDATE_INTERVAL_US / 3;
/// How long counts reported by an aggregator are valid, in microseconds: some of its messages may
/// be lost within it.
const DOMAIN_TTL_US: u64 = 450_000;
/// Fraction of its link that an aggregator uses for its updates. The rest is for callers' requests
/// and for what others send at the same time.
const LINK_FRACTION: f64 = 0.3;
/// Encoded size of an adapter in a list, in bytes.
const LISTED_BYTES: usize = 40;
/// Encoded size of the requests at one server, in bytes.
const LOAD_BYTES: usize = 20;
/// Time after its start in which a VM may not yet know all others, in microseconds.
const DISCOVERY_US: u64 = 3_000_000;
/// Fraction of a core that a VM needs to be eligible to aggregate. Updates to dozens of VMs take a
/// few hundredths of a core and some megabits per second. VMs below the minimum aggregate only
/// where no eligible one is live.
const MIN_CORE_FRACTION: f64 = 0.2;
/// Link that a VM needs to be eligible to aggregate, in megabits per second.
const MIN_LINK_MBPS: f64 = 50.0;

/// What a VM knows of the aggregators, and its state as an aggregator itself.
#[derive(Debug, Default)]
pub(crate) struct DomainView {
    /// Whether this VM has the processor and the link to be eligible to aggregate.
    pub(crate) eligible: bool,
    /// Whether this VM aggregates now, and which other one it follows.
    pub(crate) role: AggregatorRole,
    /// VMs that this one reports customers' use to.
    pub(crate) recipients: RecentRecipients<SocketAddr>,
    /// Whether a load was shown to be shorter than expected since the last update.
    pub(crate) shorter: bool,
    writer: UpdateWriter,
    /// Aggregators of other domains, how many VMs reported their use to them, and when they said
    /// so; sorted by VM.
    other_domains: Vec<(VmName, usize, TimePoint)>,
    /// How many VMs of the fleet reported their use according to the own aggregator, and when it
    /// said so.
    reporting: Option<(usize, TimePoint)>,
}

impl DomainView {
    pub(crate) fn new(capacity: &CapacitySettings) -> Self {
        let eligible =
            capacity.core_part >= MIN_CORE_FRACTION && capacity.link_mbps >= MIN_LINK_MBPS;
        Self { eligible, ..Self::default() }
    }

    fn record_domain(&mut self, vm: &VmName, members: usize, now: TimePoint) {
        match self.other_domains.binary_search_by(|(known, _, _)| known.cmp(vm)) {
            Ok(at) => self.other_domains[at] = (vm.clone(), members, now),
            Err(at) => self.other_domains.insert(at, (vm.clone(), members, now)),
        }
        self.other_domains.retain(|(_, _, at)| now.since(*at) < DOMAIN_TTL_US);
    }

    /// Returns the number of VMs of other domains that reported their use recently.
    fn reporting_elsewhere(&self, now: TimePoint) -> usize {
        let fresh = self.other_domains.iter().filter(|(_, _, at)| now.since(*at) < DOMAIN_TTL_US);
        fresh.map(|(_, members, _)| members).sum()
    }
}

impl SystemView {
    /// Returns how many VMs currently report their customers' use to each other, this one included,
    /// and how many are known.
    pub(crate) fn reporting_counts(&self, gateway: &Gateway, now: TimePoint) -> (usize, usize) {
        let seen = if !self.roster.is_large(now) {
            self.roster.seen_recently(None, now) + 1
        } else if self.domain.role.aggregates() {
            self.reporting_members(&gateway.settings, now) + self.domain.reporting_elsewhere(now)
        } else {
            let received = self.domain.reporting.filter(|(_, at)| now.since(*at) < DOMAIN_TTL_US);
            received.map_or(1, |(seen, _)| seen)
        };
        let known = self.roster.known_count() + 1;
        let young = now.since(gateway.started) < DISCOVERY_US;
        let incomplete = young && self.roster.may_have_others(gateway.settings.listen.peers);
        (seen, if incomplete { known.max(SMALL_FLEET) } else { known })
    }

    /// Returns the number of VMs of this domain that reported their use to this one recently,
    /// itself included.
    fn reporting_members(&self, settings: &GatewaySettings, now: TimePoint) -> usize {
        self.roster.seen_recently(Some(&settings.domain), now) + 1
    }

    /// Returns where this VM reports its requests in a large fleet, `None` if it aggregates itself
    /// or knows no other VM of its domain.
    pub(crate) fn own_aggregator(
        &self,
        settings: &GatewaySettings,
        now: TimePoint,
    ) -> Option<SocketAddr> {
        if self.domain.role.aggregates() {
            return None;
        }
        let followed = self.followed(now).and_then(|vm| self.roster.address(vm));
        followed.or_else(|| self.roster.first_in_domain(&settings.domain, now))
    }

    /// Returns the aggregator that this VM follows.
    fn followed(&self, now: TimePoint) -> Option<&VmName> {
        self.domain.role.followed(now, |vm| self.roster.aggregator_rank(vm))
    }

    /// Returns the sums of customers' use for the other aggregators, with a base for each that may
    /// hold no earlier ones.
    fn sums_recipients(
        &mut self,
        uses: &UsageReport,
        now: TimePoint,
    ) -> Vec<(UsageReport, Vec<SocketAddr>)> {
        let mut known = Vec::new();
        let mut recipients = Vec::new();
        for address in self.roster.aggregators(now) {
            if !self.domain.recipients.record(address, now) {
                known.push(address);
                continue;
            }
            let Some(domain) = self.roster.domain_at(address) else { continue };
            let base = Some(self.limiter.sums_base(now, domain, uses));
            recipients.push((UsageReport { base, ..uses.clone() }, vec![address]));
        }
        recipients.push((uses.clone(), known));
        recipients
    }

    /// Returns this VM's report of customers' use for the aggregator at an address.
    pub(crate) fn report_uses(
        &mut self,
        aggregator: SocketAddr,
        incarnation: u64,
        now: TimePoint,
    ) -> UsageReport {
        let with_base = self.domain.recipients.record(aggregator, now);
        self.limiter.report_to_aggregator(now, incarnation, with_base)
    }
}

/// Runs for ever, sending updates to the domain while this VM aggregates.
pub(crate) async fn run_aggregator(gateway: Arc<Gateway>) {
    loop {
        sleep(Duration::from_micros(ROLE_INTERVAL_US)).await;
        let changed = update_role(&gateway);
        if !changed && gateway.view().domain.role.take_due_update(clock::now()) {
            send_updates(&gateway);
        }
    }
}

/// Determines whether this VM aggregates, and reports changes of that to the others. Returns whether
/// it changed.
fn update_role(gateway: &Arc<Gateway>) -> bool {
    let now = clock::now();
    let mut guard = gateway.view();
    let view = &mut *guard;
    let large = view.roster.is_large(now);
    if !large {
        view.large_since = now;
    }
    let before = view.domain.role.aggregates();
    if large && !gateway.leaving() {
        let (vm, domain) = (&gateway.settings.vm, &gateway.settings.domain);
        let ahead = view.roster.ahead_in_domain(vm, domain, view.domain.eligible, now);
        view.domain.role.update(ahead, view.large_since, now);
    } else {
        view.domain.role.step_down();
    }
    let aggregates = view.domain.role.aggregates();
    if aggregates == before {
        return false;
    }
    if aggregates {
        view.limiter.start_aggregating(now);
        view.domain.recipients.clear();
    }
    drop(guard);
    event!(DomainAggregated, domain = gateway.settings.domain, aggregates = aggregates);
    peer::report_to_all(gateway);
    true
}

fn send_updates(gateway: &Arc<Gateway>) {
    let now = clock::now();
    let mut guard = gateway.view();
    let view = &mut *guard;
    let domain = view.backends.member_loads(now);
    let fleet = view.domain.writer.fleet_loads(&domain, now);
    for (server, figure) in &fleet {
        view.backends.fleet_load(server.as_str(), *figure, now);
    }
    view.backends.mark_loads_reported();
    let members = view.roster.in_domain(&gateway.settings.domain, now);
    let bytes = update_bytes(gateway.settings.capacity.link_mbps, members.len());
    let lists = view.domain.writer.list_changes(&view.backends, bytes / 2 / LISTED_BYTES, now);
    let fleet = view.domain.writer.loads_to_send(fleet, bytes / 2 / LOAD_BYTES);
    let times = view.times.take_report();
    let is_shortened = times.is_shortened | std::mem::take(&mut view.domain.shorter);
    let times = ReportedTimes { is_shortened, ..times };
    let vm = gateway.settings.vm.clone();
    let bucket_states = view.limiter.bucket_states(now);
    let uses = view.limiter.sums(now);
    let statements = view.backends.statements_to_report(true, now);
    let (observed, estimates) = (view.estimates.take_report(), view.estimates.take_update(now));
    let in_domain = view.reporting_members(&gateway.settings, now);
    let reachable_vms = in_domain + view.domain.reporting_elsewhere(now);
    let aggregators = view.sums_recipients(&uses, now);
    drop(guard);
    let (mut loads, mut part_statements) = (server_loads(fleet), statements.clone());
    let mut part_estimates = estimates;
    for part in split_lists(lists) {
        let (loads, lists) = (std::mem::take(&mut loads), server_lists(part, times));
        let (statements, bucket_states) =
            (std::mem::take(&mut part_statements), bucket_states.clone());
        let vm = vm.clone();
        let estimates = std::mem::take(&mut part_estimates);
        let update =
            DomainUpdate { vm, loads, lists, statements, bucket_states, reachable_vms, estimates };
        gateway.peers.send(&PeerMessage::Domain(update), &members);
    }
    let busy = domain.into_iter().filter(|(_, figure)| *figure != LoadFigure::default());
    let loads = server_loads(busy.collect());
    for (uses, to) in aggregators {
        let (vm, loads, statements) = (vm.clone(), loads.clone(), statements.clone());
        let estimates = observed.clone();
        let sums = DomainSums { vm, loads, uses, statements, members: in_domain, estimates };
        gateway.peers.send(&PeerMessage::Sums(sums), &to);
    }
    gateway.peer_loads_changed.notify_waiters();
}

/// Returns the bytes that one update may use for each of `members` VMs.
fn update_bytes(link_mbps: f64, members: usize) -> usize {
    let link_bytes = link_mbps * 1e6 / 8.0 * UPDATE_INTERVAL_US as f64 / 1e6;
    (link_bytes * LINK_FRACTION / members.max(1) as f64) as usize
}

fn server_loads(loads: Vec<(ServerName, LoadFigure)>) -> Vec<ServerLoad> {
    loads.into_iter().map(ServerLoad::of).collect()
}

/// Applies an update from an aggregator of this domain.
pub(crate) fn apply_update(gateway: &Arc<Gateway>, update: DomainUpdate) {
    let now = clock::now();
    let mut guard = gateway.view();
    let view = &mut *guard;
    view.domain.role.record_update(&update.vm, now);
    view.roster.record_aggregator(&update.vm);
    let mut fallen = Vec::new();
    if view.domain.role.aggregates() {
        view.limiter.merge_bucket_states(now, &update.bucket_states);
    } else {
        for load in &update.loads {
            view.backends.fleet_load(load.server.as_str(), load.figure(), now);
        }
        view.domain.reporting = Some((update.reachable_vms, now));
        view.apply_reported_statements(&update.statements, now);
        if view.followed(now) == Some(&update.vm) {
            fallen = view.limiter.set_bucket_states(now, &update.bucket_states);
            view.domain.role.record_adoption();
            view.estimates.adopt(&update.estimates, now);
        }
    }
    drop(guard);
    for subject in fallen {
        let customer = subject.customer().map(CustomerName::as_str).unwrap_or_default();
        gateway.metrics.bucket_fell();
        event!(BucketFell, customer = customer, vm = update.vm);
    }
    peer::apply_lists(gateway, update.lists);
    gateway.peer_loads_changed.notify_waiters();
}

/// Applies the sums of another domain.
pub(crate) fn apply_sums(gateway: &Arc<Gateway>, sums: &DomainSums) {
    let now = clock::now();
    let mut view = gateway.view();
    view.domain.role.record_contact(now);
    view.roster.record_aggregator(&sums.vm);
    let loads = sums.loads.iter().map(|load| (load.server.clone(), load.figure())).collect();
    view.domain.writer.set_sums(&sums.vm, loads, now);
    view.domain.record_domain(&sums.vm, sums.members, now);
    view.apply_reported_statements(&sums.statements, now);
    if view.domain.role.aggregates() {
        view.estimates.apply_report(&sums.estimates, false, now);
    }
    let effect = view
        .roster
        .domain_of(&sums.vm)
        .cloned()
        .map(|domain| view.limiter.apply_domain_report(now, &sums.vm, &domain, &sums.uses));
    drop(view);
    if let Some(effect) = effect {
        record_report(gateway, &sums.vm, &sums.uses, &effect);
    }
}

/// Counts a report of customers' use, and logs one that has another base than the report before it.
pub(crate) fn record_report(
    gateway: &Gateway,
    vm: &VmName,
    report: &UsageReport,
    effect: &ReportEffect,
) {
    if report.uses.is_empty() {
        return;
    }
    gateway.metrics.usage_report(effect.basis.as_str());
    if matches!(effect.basis, ReportBasis::Handed | ReportBasis::Start | ReportBasis::Unknown) {
        event!(UsageReportBased, vm = vm, basis = effect.basis.as_str());
    }
    for used in &effect.rejected {
        let customer = used.subject.customer().map(CustomerName::as_str).unwrap_or_default();
        gateway.metrics.usage_rejected();
        event!(
            UsageRejected,
            vm = vm,
            customer = customer,
            asked = used.total.demand as i64,
            admitted = used.total.admitted as i64,
        );
    }
}
