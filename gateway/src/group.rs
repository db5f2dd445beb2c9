//! Membership of this VM in the group that orders servers.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::lease::{GainedSince, LeaseRecord};
use coltsfoothook_platform::{GroupMember, GroupMembership, KeyedTopic};
use coltsfoothook_telemetry::event;
use tokio::time::sleep;

use crate::clock;
use crate::link::{StoreCall, StoreLink};
use crate::order;
use crate::state::{Gateway, PARTITION_TOPICS, RENEWALS_PER_LIFETIME};

/// Interval of reads of the group's members, in microseconds. VMs discover each other without it;
/// it rejoins two halves of a fleet that lost contact.
const MEMBER_READ_INTERVAL_US: u64 = 30_000_000;
/// Interval of these reads by a VM that knows no other one, and when it first reads: seeds that live have
/// answered by then.
const ALONE_INTERVAL: Duration = Duration::from_secs(1);
const FIRST_ALONE: Duration = Duration::from_millis(150);
/// Time after the start of a whole new system during which the first orders need no pause, in
/// microseconds.
const FIRST_START_US: u64 = 8_000_000;
/// Separates the VM's name from its IP address in a member's name.
const MEMBER_SEPARATOR: char = '|';
/// How long a starting VM stays out of the group while others order all servers, in microseconds.
/// Each change of the group moves partitions, and servers whose partition moves accept no loads for
/// seconds.
const LATE_JOIN_DELAY_US: u64 = 20_000_000;
/// Maximum number of VMs that order servers: the first live ones by hash. Each renews its
/// membership every second and moves partitions when it joins or leaves; with this many, the loss
/// of one affects a few servers.
const ORDERERS: usize = 24;
/// Interval of the check whether to join.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A starting VM's list of other VMs counts as growing while it grows by this factor.
const GROWTH_FACTOR: f64 = 1.1;
/// Time without such growth after which the list counts as complete, in microseconds.
const SETTLED_US: u64 = 800_000;
/// Age of the process from which the list counts as complete in any case, in microseconds.
const MAX_LISTEN_US: u64 = 6_000_000;
/// How long a starting VM waits for the owners' lists before it decides whether to join, in
/// microseconds.
const LISTEN_US: u64 = 1_200_000;

/// Runs for ever, keeping this VM in the group.
pub(crate) async fn keep_membership(gateway: Arc<Gateway>) {
    let mut link = StoreLink::new(StoreCall::Group);
    let mut since = gained_since(&gateway, &mut link).await;
    if !matches!(since, GainedSince::Restart(_)) {
        wait_until_needed(&gateway, &since).await;
        // The wait may outlast the period of a first start.
        since = gained_later(&gateway);
    }
    gateway.view().calls_store = true;
    let lifetime =
        Duration::from_millis(gateway.settings.store.least_lifetime_ms * RENEWALS_PER_LIFETIME);
    let mut members_at: Option<TimePoint> = None;
    let mut written = LeaseRecord::default();
    let mut seen = LeaseRecord::default();
    loop {
        let sent = clock::now();
        let member = GroupMember {
            member: member_name(&gateway),
            topics: PARTITION_TOPICS,
            lifetime,
            generation: gateway.view().lease.generation(),
        };
        match gateway.store.join(&member).await {
            Ok(membership) => {
                link.record_answer(&gateway, membership.era);
                renewed(&gateway, sent, membership, &since);
                since = gained_later(&gateway);
            }
            Err(error) => link.record_failure(&gateway, &error),
        }
        // While VMs join and leave, the generation changes with each. Only a record that is stable
        // for one round is worth a write.
        let record = gateway.view().lease.record(clock::now());
        if record == seen {
            write_record(&gateway, &record, &mut written, &mut link).await;
        }
        seen = record;
        let now = clock::now();
        if members_at.is_none_or(|at| now.since(at) > MEMBER_READ_INTERVAL_US) {
            match gateway.store.members().await {
                Ok(members) => {
                    members_at = Some(now);
                    hint_members(&gateway, &members);
                }
                Err(error) => link.record_failure(&gateway, &error),
            }
        }
        sleep(lifetime / RENEWALS_PER_LIFETIME as u32).await;
    }
}

/// Runs for ever, asking the store for members of the group while this VM knows no other one, as beside seeds that
/// are gone. Until it knows others it would issue permits by itself, as each such VM does.
pub(crate) async fn find_others(gateway: Arc<Gateway>) {
    let mut link = StoreLink::new(StoreCall::Group);
    let (mut pause, mut is_logged) = (FIRST_ALONE, false);
    loop {
        sleep(std::mem::replace(&mut pause, ALONE_INTERVAL)).await;
        if !gateway.view().is_alone(&gateway, clock::now()) {
            is_logged = false;
            continue;
        }
        match gateway.store.members().await {
            Ok(members) => {
                hint_members(&gateway, &members);
                if !std::mem::replace(&mut is_logged, true) {
                    event!(MembersAsked, members = members.len());
                }
            }
            Err(error) => link.record_failure(&gateway, &error),
        }
    }
}

/// Returns what this process knows of its partitions before its first renewal.
async fn gained_since(gateway: &Arc<Gateway>, link: &mut StoreLink) -> GainedSince {
    if gateway.settings.first_start {
        return GainedSince::FirstStart;
    }
    let page = match gateway.store.newest(KeyedTopic::Leases).await {
        Ok(page) => page,
        Err(error) => {
            link.record_failure(gateway, &error);
            return GainedSince::Unknown;
        }
    };
    let vm = gateway.settings.vm.as_str();
    let own = page.records.into_iter().find(|record| record.key == vm);
    let value = own.and_then(|record| record.value);
    let record = value.and_then(|value| rmp_serde::from_slice::<LeaseRecord>(&value).ok());
    match record {
        Some(record) => {
            event!(TenureRead, generation = record.generation, shares = record.partitions.len());
            GainedSince::Restart(record)
        }
        None => GainedSince::Unknown,
    }
}

/// Returns what this process knows of its partitions after the first renewal.
fn gained_later(gateway: &Gateway) -> GainedSince {
    let is_young = clock::now().since(gateway.started) < FIRST_START_US;
    if gateway.settings.first_start && is_young {
        GainedSince::FirstStart
    } else {
        GainedSince::Unknown
    }
}

/// Detects when a starting VM knows nearly all others. Before that, each VM of a large fleet that
/// starts at once ranks itself among the first: all would join, and the partitions would be
/// reassigned with each.
#[derive(Debug, Default)]
struct RosterGrowth {
    known: usize,
    since: TimePoint,
}

impl RosterGrowth {
    /// Records the number of other VMs known now. Returns true once it has hardly grown for a
    /// while.
    fn is_settled(&mut self, known: usize, now: TimePoint) -> bool {
        if known as f64 > self.known as f64 * GROWTH_FACTOR {
            *self = Self { known, since: now };
        }
        now.since(self.since) >= SETTLED_US
    }
}

/// Waits until this VM should order servers. It must be among the first live VMs; also, the system
/// starts for the first time, a server has no owner, or `LATE_JOIN_DELAY_US` have passed.
async fn wait_until_needed(gateway: &Arc<Gateway>, since: &GainedSince) {
    // At the system's first start no VM orders servers yet; the seeds begin.
    if *since == GainedSince::FirstStart && is_seed(gateway) {
        return;
    }
    let mut growth = RosterGrowth::default();
    loop {
        sleep(JOIN_CHECK_INTERVAL).await;
        let now = clock::now();
        let age = now.since(gateway.started);
        let view = gateway.view();
        let known = view.roster.live_count(now);
        if age < LISTEN_US || (!growth.is_settled(known, now) && age < MAX_LISTEN_US) {
            continue;
        }
        if view.roster.hash_rank(&gateway.settings.vm, now) >= ORDERERS {
            continue;
        }
        // The first configuration may arrive just before the first requests, too late to wait for
        // it.
        if *since == GainedSince::FirstStart {
            return;
        }
        let Some(table) = &view.table else { continue };
        let engines = table.services().iter().filter(|plan| plan.engine.is_some());
        let lacks_owner = |service| view.backends.any_without_owner(service, now);
        let lacks_owner = engines.map(|plan| &plan.service).any(lacks_owner);
        if lacks_owner || age > LATE_JOIN_DELAY_US {
            return;
        }
    }
}

/// Returns whether this VM is one of the seeds, or no seeds are configured.
fn is_seed(gateway: &Gateway) -> bool {
    let (seeds, own) = (&gateway.settings.seeds, gateway.settings.listen.peers.ip());
    seeds.is_empty() || seeds.iter().any(|seed| seed.ip() == own)
}

fn renewed(
    gateway: &Arc<Gateway>,
    sent: TimePoint,
    membership: GroupMembership,
    since: &GainedSince,
) {
    let now = clock::now();
    let mut view = gateway.view();
    let before = (view.lease.generation(), view.lease.held());
    view.lease.renewed(sent, now, membership.generation, membership.shares, since);
    let after = (view.lease.generation(), view.lease.held());
    drop(view);
    if before != after {
        event!(SharesDealt, generation = after.0, shares = after.1, before = before.1);
    }
    order::send_next_orders(gateway);
}

/// Stores the partitions that this VM holds for certain, for the next incarnation of its process.
async fn write_record(
    gateway: &Arc<Gateway>,
    record: &LeaseRecord,
    written: &mut LeaseRecord,
    link: &mut StoreLink,
) {
    if record == written || record.partitions.is_empty() {
        return;
    }
    let value = match rmp_serde::to_vec(record) {
        Ok(value) => value,
        Err(error) => {
            event!(StoreCallFailed, topic = "tenures", cause = error);
            return;
        }
    };
    match gateway.store.write(KeyedTopic::Leases, gateway.settings.vm.as_str(), &value).await {
        Ok(()) => *written = record.clone(),
        Err(error) => link.record_failure(gateway, &error),
    }
}

fn member_name(gateway: &Gateway) -> String {
    let ip = gateway.settings.listen.peers.ip();
    format!("{}{MEMBER_SEPARATOR}{ip}", gateway.settings.vm)
}

fn hint_members(gateway: &Arc<Gateway>, members: &[String]) {
    let port = gateway.settings.listen.peers.port();
    let mut view = gateway.view();
    for member in members {
        let ip = member.rsplit_once(MEMBER_SEPARATOR).and_then(|(_, ip)| ip.parse::<IpAddr>().ok());
        if let Some(ip) = ip {
            view.roster.hint(SocketAddr::new(ip, port));
        }
    }
}
