// Servers state how many requests a second they take from all VMs together.

use coltsfoothook_decision::id::{TimePoint, VmName};
use coltsfoothook_decision::limit::{FleetLimiter, LimitExcess};
use coltsfoothook_decision::subject::ServerStart;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const STEP_US: u64 = 5_000;
/// Steps between two updates of an aggregator.
const UPDATE_STEPS: u64 = 30;
const UPDATE_INTERVAL_US: u64 = 150_000;
/// The window in which a server counts its requests, in microseconds.
const WINDOW_US: u64 = 4_000_000;
/// Time after a server's first statement from which on its limit must be kept.
const NOTICE_US: u64 = 3_000_000;
/// Delay of the messages between VMs, in steps.
const DELAY_STEPS: usize = 2;

fn start() -> ServerStart {
    ServerStart { server: "e-1".into(), incarnation: 7 }
}

/// A fleet whose VMs all know the limit of one server.
struct LimitedFleet {
    limiters: Vec<FleetLimiter>,
    names: Vec<VmName>,
    random: Pcg64,
    per_s: f64,
    /// VMs that receive and send no messages.
    cut: usize,
    /// When requests were sent, in microseconds.
    sent: Vec<u64>,
}

impl LimitedFleet {
    fn new(vms: usize, per_s: f64, seed: u64) -> Self {
        let mut fleet = Self {
            limiters: Vec::new(),
            names: (0..vms).map(|at| VmName::from(format!("vm-{at}"))).collect(),
            random: Pcg64::seed_from_u64(seed),
            per_s,
            cut: 0,
            sent: Vec::new(),
        };
        fleet.limiters = (0..vms).map(|_| fleet.limiter(0)).collect();
        fleet
    }

    fn limiter(&self, now: u64) -> FleetLimiter {
        let mut limiter = FleetLimiter::new(LimitExcess::default(), UPDATE_INTERVAL_US);
        limiter.set_reachable(TimePoint(now), self.names.len(), self.names.len());
        limiter.set_server_limit(TimePoint(now), &start(), Some(self.per_s), 1);
        limiter
    }

    /// Draws the requests of one step, `demand` a second over all VMs, each at a random VM.
    fn request(&mut self, now: u64, demand: f64) {
        let expected = demand * STEP_US as f64 / 1e6;
        let count = expected as u64 + u64::from(self.random.random_bool(expected.fract()));
        for _ in 0..count {
            let vm = self.random.random_range(0..self.limiters.len());
            let limiter = &mut self.limiters[vm];
            let wait = limiter.server_wait(TimePoint(now), "e-1", 7);
            let admitted = limiter.admit_server(TimePoint(now), "e-1", 7);
            assert_eq!(wait.is_zero(), admitted, "the wait and the admission disagree");
            if admitted {
                self.sent.push(now);
            }
        }
    }

    /// Lets all VMs that are not cut off report to each other.
    fn report_to_all(&mut self, now: u64) {
        for from in self.cut..self.limiters.len() {
            let report = self.limiters[from].report(TimePoint(now), 1);
            for to in (self.cut..self.limiters.len()).filter(|to| *to != from) {
                self.limiters[to].apply_member_report(TimePoint(now), &self.names[from], &report);
            }
        }
    }

    /// Lets all VMs report to the last one, which sends them the state of the bucket.
    fn report_to_aggregator(&mut self, step: u64, now: u64) {
        let aggregator = self.limiters.len() - 1;
        for from in self.cut..aggregator {
            let report = self.limiters[from].report(TimePoint(now), 1);
            let to = &mut self.limiters[aggregator];
            to.apply_member_report(TimePoint(now), &self.names[from], &report);
        }
        if step.is_multiple_of(UPDATE_STEPS) {
            let states = self.limiters[aggregator].bucket_states(TimePoint(now));
            for to in self.cut..aggregator {
                self.limiters[to].set_bucket_states(TimePoint(now), &states);
            }
        }
    }

    fn most_in_window(&self, from: u64) -> usize {
        let sent: Vec<u64> = self.sent.iter().copied().filter(|at| *at >= from).collect();
        let within =
            |from: u64| sent.iter().filter(|at| (from..from + WINDOW_US).contains(*at)).count();
        sent.iter().map(|from| within(*from)).max().unwrap_or(0)
    }

    fn allowed(&self) -> usize {
        (1.5 * self.per_s * 4.0) as usize + 5
    }

    fn rate(&self, from: u64, to: u64) -> f64 {
        let sent = self.sent.iter().filter(|at| (from..to).contains(*at)).count();
        sent as f64 * 1e6 / (to - from) as f64
    }
}

const RUN_STEPS: u64 = 4_000;
const RUN_US: u64 = RUN_STEPS * STEP_US;

/// Guards against limits that each VM keeps by itself, and against limits of which much stays unused.
#[test]
fn small_fleets() {
    for (seed, vms, per_s, demand) in [
        (1, 6, 5.0, 20.0),
        (2, 9, 5.5, 60.0),
        (3, 3, 2.0, 4.0),
        (4, 24, 12.0, 100.0),
        (5, 6, 0.0, 9.0),
    ] {
        let mut fleet = LimitedFleet::new(vms, per_s, seed);
        for step in 0..RUN_STEPS {
            let now = step * STEP_US;
            if step.is_multiple_of(DELAY_STEPS as u64) {
                fleet.report_to_all(now);
            }
            fleet.request(now, demand);
        }
        let most = fleet.most_in_window(NOTICE_US);
        assert!(most <= fleet.allowed(), "{vms} VMs, {per_s} a second: {most}");
        let rate = fleet.rate(NOTICE_US, RUN_US);
        assert!(rate >= 0.85 * per_s.min(demand), "{vms} VMs, {per_s} a second: {rate}");
        assert!(rate > 0.1, "a server is never asked again");
    }
}

/// Guards against VMs of a large fleet that all use what is left before they hear of each other.
#[test]
fn large_fleets() {
    for (seed, vms, per_s, demand) in [(1, 60, 3.0, 12.0), (2, 195, 2.5, 10.0), (3, 89, 6.0, 30.0)]
    {
        let mut fleet = LimitedFleet::new(vms, per_s, seed);
        for step in 0..RUN_STEPS {
            let now = step * STEP_US;
            if step.is_multiple_of(4) {
                fleet.report_to_aggregator(step, now);
            }
            fleet.request(now, demand);
        }
        let most = fleet.most_in_window(NOTICE_US);
        assert!(most <= fleet.allowed(), "{vms} VMs, {per_s} a second: {most}");
        let rate = fleet.rate(NOTICE_US, RUN_US);
        assert!(rate >= 0.8 * per_s, "{vms} VMs, {per_s} a second: {rate}");
    }
}

/// Guards against VMs that are cut off from the others, or have just restarted, and use the whole limit.
#[test]
fn cut_and_restarted() {
    let mut fleet = LimitedFleet::new(6, 5.0, 1);
    for step in 0..RUN_STEPS {
        let now = step * STEP_US;
        if step == RUN_STEPS / 4 {
            fleet.cut = 2;
            for at in 0..6 {
                fleet.limiters[at].set_reachable(TimePoint(now), if at < 2 { 1 } else { 4 }, 6);
            }
        }
        if step == RUN_STEPS / 2 {
            fleet.limiters[5] = fleet.limiter(now);
            fleet.names[5] = VmName::from("vm-5-again");
        }
        if step.is_multiple_of(DELAY_STEPS as u64) {
            fleet.report_to_all(now);
        }
        fleet.request(now, 40.0);
    }
    let most = fleet.most_in_window(NOTICE_US);
    assert!(most <= fleet.allowed(), "{most}");
}

/// Guards against a limit that stays after its server's incarnation, and against one that is lifted or set again and
/// credits what was counted before.
#[test]
fn lifted_and_set_again() {
    let mut fleet = LimitedFleet::new(2, 4.0, 1);
    let mut now = 0;
    for round in 0..6 {
        for limiter in &mut fleet.limiters {
            limiter.set_server_limit(TimePoint(now), &start(), None, 1);
        }
        assert!(fleet.limiters[0].server_wait(TimePoint(now), "e-1", 7).is_zero());
        for limiter in &mut fleet.limiters {
            limiter.set_server_limit(TimePoint(now), &start(), Some(4.0), 1);
        }
        let from = fleet.sent.len();
        for step in 0..200 {
            now += STEP_US;
            if step % 2 == 0 {
                fleet.report_to_all(now);
            }
            fleet.request(now, 40.0);
        }
        let sent = fleet.sent.len() - from;
        assert!(sent <= 9, "round {round}: {sent} requests in a second");
    }
    assert!(fleet.limiters[0].server_wait(TimePoint(now), "e-1", 8).is_zero());
    fleet.limiters[0].retain_servers(|start| start.incarnation != 7);
    assert!(fleet.limiters[0].admit_server(TimePoint(now), "e-1", 7));
}
