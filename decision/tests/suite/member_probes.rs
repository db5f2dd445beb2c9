// Membership while VMs die, are suspended, restart and are partitioned, and the platform's list
// lags. A dead VM must leave every view within 3 s, a suspended or restarted one must come back,
// and at most one side of a partition may see a majority.

use std::net::SocketAddr;

use coltsfoothook_decision::id::{MICROS_PER_MILLI, TimePoint, VmIdentity, VmIncarnation};
use coltsfoothook_decision::member::{
    ListedState, ListedVm, MemberAction, MemberChange, MemberEvent, MemberFacts, MemberPlace,
    MemberSettings, MemberState, MemberTable, ProbeMessage, ProbeReply,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

enum Message {
    Probe(ProbeMessage),
    Reply(ProbeReply),
}

struct InFlight {
    at: TimePoint,
    from: usize,
    to: usize,
    message: Message,
}

struct SimulatedVm {
    table: Option<MemberTable>,
    suspended: bool,
    partitioned: bool,
}

/// Simulated fleet, ticked every 20 ms. Probes and replies are delivered within the tick; those to
/// a suspended VM wait until it resumes.
struct Fleet {
    now: TimePoint,
    rng: Pcg64,
    vms: Vec<SimulatedVm>,
    in_flight: Vec<InFlight>,
    calls: Vec<(u64, usize, usize)>,
    digests: usize,
    changes: Vec<(usize, MemberChange)>,
}

fn place(at: usize) -> MemberPlace {
    let address: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 9_000 + at as u16));
    MemberPlace { caller: address, peer: address, domain: "d".into(), region: "r".into() }
}

fn name(at: usize) -> String {
    format!("vm-{at:03}")
}

fn start(at: usize, incarnation: u64) -> MemberTable {
    let vm = VmIdentity { vm: name(at).into(), incarnation: VmIncarnation(incarnation) };
    MemberTable::new(MemberSettings::default(), vm, place(at))
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let vms = (0..count).map(|at| SimulatedVm {
            table: Some(start(at, 900)),
            suspended: false,
            partitioned: false,
        });
        let mut fleet = Self {
            now: TimePoint(0),
            rng: Pcg64::seed_from_u64(seed),
            vms: vms.collect(),
            in_flight: Vec::new(),
            calls: Vec::new(),
            digests: 0,
            changes: Vec::new(),
        };
        for at in 0..count {
            fleet.list(at);
        }
        fleet.run(6_000);
        fleet
    }

    fn list(&mut self, at: usize) {
        let entries = (0..self.vms.len()).map(|other| ListedVm {
            name: name(other).into(),
            place: place(other),
            state: ListedState::Live,
        });
        let event = MemberEvent::Listed(entries.collect());
        self.handle(at, event);
    }

    fn handle(&mut self, at: usize, event: MemberEvent) {
        let Some(table) = &mut self.vms[at].table else { return };
        let mut actions = Vec::new();
        table.handle(self.now, event, &mut self.rng, &mut actions);
        for action in actions {
            match action {
                MemberAction::SendProbe { to, message, .. }
                | MemberAction::SendIndirect { via: to, message, .. } => {
                    self.digests = self.digests.max(message.updates.len());
                    self.send(at, to.as_str(), Message::Probe(message));
                }
                MemberAction::Reply { call, reply } => {
                    let (_, _, to) = self.calls[call as usize];
                    self.send(at, &name(to), Message::Reply(reply));
                }
                MemberAction::Changed(change) => self.changes.push((at, change)),
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, message: Message) {
        let Some(to) = (0..self.vms.len()).find(|at| name(*at) == to) else { return };
        let at = self.now.plus(self.rng.random_range(500..2_000));
        self.in_flight.push(InFlight { at, from, to, message });
    }

    fn run(&mut self, ms: u64) {
        let end = self.now.plus(ms * MICROS_PER_MILLI);
        while self.now < end {
            self.now = self.now.plus(20 * MICROS_PER_MILLI);
            for at in 0..self.vms.len() {
                if !self.vms[at].suspended {
                    self.handle(at, MemberEvent::Tick);
                }
            }
            self.deliver();
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        for packet in std::mem::take(&mut self.in_flight) {
            let (from, to) = (packet.from, packet.to);
            if self.vms[to].suspended {
                self.in_flight.push(packet);
                continue;
            }
            let _ = packet.at;
            if self.vms[from].partitioned != self.vms[to].partitioned
                || self.vms[to].table.is_none()
            {
                continue;
            }
            match packet.message {
                Message::Probe(message) => {
                    let call = self.calls.len() as u64;
                    self.calls.push((call, to, from));
                    self.handle(to, MemberEvent::Probe { call, message });
                }
                Message::Reply(reply) => self.handle(to, MemberEvent::Reply(reply)),
            }
        }
    }

    fn table(&self, at: usize) -> &MemberTable {
        self.vms[at].table.as_ref().expect("VM is running")
    }

    fn seen_live(&self, by: usize) -> usize {
        self.table(by).live().count()
    }

    fn running(&self) -> Vec<usize> {
        (0..self.vms.len()).filter(|at| self.vms[*at].table.is_some()).collect()
    }
}

#[test]
fn all_vms_discover_each_other() {
    for count in [2, 6, 60] {
        // No VM knows another at first; discovery takes longer in larger fleets.
        let mut fleet = Fleet::new(count, 1);
        fleet.run(200 * count as u64);
        for at in 0..count {
            assert_eq!(fleet.seen_live(at), count, "VM {at} of {count}");
        }
    }
}

#[test]
fn dead_vm_removed_within_three_seconds() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(9, seed);
        fleet.vms[4].table = None;
        fleet.run(3_000);
        for at in fleet.running() {
            let state = fleet.table(at).state_of("vm-004");
            assert!(
                !fleet.table(at).live().any(|row| row.name() == "vm-004"),
                "seed {seed}: VM {at} still lists it as {state:?}"
            );
        }
        fleet.run(1_500);
        for at in fleet.running() {
            assert_eq!(fleet.table(at).state_of("vm-004"), Some(MemberState::Dead), "seed {seed}");
        }
    }
}

#[test]
fn paused_vm_blames_nobody() {
    let mut fleet = Fleet::new(5, 3);
    fleet.vms[2].suspended = true;
    fleet.run(60_000);
    assert_eq!(fleet.table(0).state_of("vm-002"), Some(MemberState::Dead));
    fleet.vms[2].suspended = false;
    fleet.run(100);
    assert_eq!(fleet.seen_live(2), 5, "the resumed VM must not declare the others dead");
    fleet.run(5_000);
    for at in 0..5 {
        assert_eq!(fleet.seen_live(at), 5, "VM {at} sees the resumed VM as alive");
    }
}

#[test]
fn probes_before_a_pause_prove_nothing() {
    // The VM is suspended while a probe is in flight. When it resumes, the reply is overdue by its
    // clock but may still be in its buffers.
    let mut fleet = Fleet::new(2, 8);
    let mut table = fleet.vms[0].table.take().expect("VM is running");
    let mut tick = |after_ms: u64| {
        let mut actions = Vec::new();
        fleet.now = fleet.now.plus(after_ms * MICROS_PER_MILLI);
        table.handle(fleet.now, MemberEvent::Tick, &mut fleet.rng, &mut actions);
        actions
    };
    let sent_probe = (0..40)
        .any(|_| tick(20).iter().any(|action| matches!(action, MemberAction::SendProbe { .. })));
    assert!(sent_probe);
    let resumed = tick(60_000);
    let is_change = |action: &MemberAction| matches!(action, MemberAction::Changed(_));
    assert!(!resumed.iter().any(is_change), "{resumed:?}");
    assert_eq!(table.live().count(), 2);
}

#[test]
fn restarted_vm_replaces_itself() {
    // The later incarnation has the lower number, as after a clock that jumped back.
    let mut fleet = Fleet::new(5, 4);
    fleet.vms[1].table = Some(start(1, 3));
    fleet.list(1);
    fleet.run(4_000);
    let old = VmIdentity { vm: "vm-001".into(), incarnation: VmIncarnation(900) };
    let dead = MemberState::Dead;
    for at in [0, 2, 3, 4] {
        let notified = |(by, change): &(usize, MemberChange)| {
            *by == at && change.vm == old && change.state == dead
        };
        assert!(
            fleet.changes.iter().any(notified),
            "VM {at} got no notification that the earlier incarnation ended"
        );
    }
    for at in 0..5 {
        assert!(
            !fleet.table(at).may_be_running(&old),
            "VM {at} considers the earlier incarnation running"
        );
        assert_eq!(fleet.seen_live(at), 5);
    }
}

#[test]
fn one_side_has_the_majority() {
    let mut fleet = Fleet::new(5, 5);
    for at in [0, 1] {
        fleet.vms[at].partitioned = true;
    }
    fleet.run(5_000);
    let majorities: Vec<bool> = (0..5).map(|at| fleet.table(at).majority("r")).collect();
    assert_eq!(majorities, [false, false, true, true, true]);
    fleet.run(120_000);
    fleet.vms.iter_mut().for_each(|vm| vm.partitioned = false);
    fleet.run(20_000);
    for at in 0..5 {
        assert_eq!(fleet.seen_live(at), 5, "VM {at} sees all others after the partition healed");
    }
}

#[test]
fn leaving_vm_is_told_everywhere() {
    let mut fleet = Fleet::new(6, 6);
    fleet.handle(3, MemberEvent::Leave);
    fleet.run(3_000);
    for at in 0..6 {
        assert_eq!(fleet.table(at).state_of("vm-003"), Some(MemberState::Leaving));
        assert!(!fleet.table(at).live().any(|row| row.name() == "vm-003"));
        assert!(fleet.table(at).majority("r"));
    }
}

#[test]
fn facts_spread_in_bounded_messages() {
    let mut fleet = Fleet::new(20, 7);
    let facts = MemberFacts { weight: 7, reads_log: true, ..Default::default() };
    for at in 0..20 {
        fleet.handle(at, MemberEvent::Facts(facts.clone()));
    }
    fleet.digests = 0;
    fleet.run(12_000);
    assert!(fleet.digests <= MemberSettings::default().digests, "{} digests", fleet.digests);
    for at in 0..20 {
        let known = fleet.table(at).others().iter().filter(|row| row.facts().weight == 7).count();
        assert_eq!(known, 19, "VM {at} knows the facts of {known} others");
    }
}
