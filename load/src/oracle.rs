//! Checks of a soak run from outside the system.
//!
//! The oracle records what backend servers ran and what callers were answered, and checks the
//! guarantees that callers rely on. It does not use any internal state of the VMs.

use coltsfoothook_decision::outcome::RequestOutcome;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakViolation {
    /// The rule's name.
    pub rule: String,
    /// What was observed.
    pub detail: String,
    /// Virtual microseconds since the start.
    pub at: u64,
}

/// Record of one request.
#[derive(Clone, Debug, Default)]
struct RequestTrace {
    /// Idempotency key, or a name with the request's number.
    name: String,
    /// Whether it must not run twice.
    once: bool,
    runs: u32,
    /// Whether its caller received the outcome "not run".
    not_run: bool,
}

/// Record of an accepted audit job.
#[derive(Clone, Debug)]
struct JobTrace {
    job: String,
    /// Outcome and result that a VM reported first; `None` before.
    end: Option<String>,
}

/// Records requests and jobs, and the violations found in them.
#[derive(Clone, Debug, Default)]
pub struct SoakOracle {
    /// Sorted by name.
    requests: Vec<RequestTrace>,
    /// Sorted by job.
    jobs: Vec<JobTrace>,
    violations: Vec<SoakViolation>,
    /// Number of answers by outcome: done, not run, failed, unknown.
    pub answers: [u64; 4],
    /// Number of runs on backend servers.
    pub runs: u64,
}

impl SoakOracle {
    /// Returns the violations so far, in order of time.
    #[must_use]
    pub fn violations(&self) -> &[SoakViolation] {
        &self.violations
    }

    /// Records a violation of `rule` at virtual microsecond `at`.
    pub fn record_violation(&mut self, at: u64, rule: &str, detail: String) {
        self.violations.push(SoakViolation { rule: rule.to_owned(), detail, at });
    }

    /// Records that a backend server ran the request; `once` states that it must not run twice.
    pub fn ran(&mut self, at: u64, name: &str, once: bool) {
        self.runs += 1;
        let trace = self.trace(name);
        trace.runs += 1;
        trace.once |= once;
        let (repeated, after_not_run) = (trace.once && trace.runs > 1, trace.not_run);
        if repeated {
            self.record_violation(at, "at_most_once", format!("{name} ran again"));
        }
        if after_not_run {
            self.record_violation(
                at,
                "not_run_did_not_run",
                format!("{name} ran after \"not run\""),
            );
        }
    }

    /// Records the outcome that a caller received for the request.
    pub fn answered(&mut self, at: u64, name: &str, outcome: RequestOutcome) {
        self.answers[outcome as usize] += 1;
        if outcome != RequestOutcome::NotRun {
            return;
        }
        let trace = self.trace(name);
        trace.not_run = true;
        if trace.runs > 0 {
            self.record_violation(
                at,
                "not_run_did_not_run",
                format!("{name} had run before \"not run\""),
            );
        }
    }

    /// Records that a caller received the acceptance of its job.
    pub fn job_accepted(&mut self, job: &str) {
        if let Err(at) = self.find_job(job) {
            self.jobs.insert(at, JobTrace { job: job.to_owned(), end: None });
        }
    }

    /// Records the end of a job that a VM reported. All VMs must report the same end.
    pub fn job_ended(&mut self, at: u64, job: &str, end: &str) {
        let Ok(found) = self.find_job(job) else { return };
        let trace = &mut self.jobs[found];
        let first = trace.end.get_or_insert_with(|| end.to_owned());
        if first != end {
            let detail = format!("job {job} ended as {first} and as {end}");
            self.record_violation(at, "job_once", detail);
        }
    }

    /// Returns the accepted jobs that have no end yet.
    pub fn open_jobs(&self) -> impl Iterator<Item = &str> {
        self.jobs.iter().filter(|job| job.end.is_none()).map(|job| job.job.as_str())
    }

    /// Returns the jobs that have ended, with their outcome and result.
    pub fn ended_jobs(&self) -> impl Iterator<Item = (&str, &str)> {
        let ended = self.jobs.iter().filter_map(|job| Some((&job.job, job.end.as_ref()?)));
        ended.map(|(job, end)| (job.as_str(), end.as_str()))
    }

    /// Returns whether a caller received the acceptance of the job.
    #[must_use]
    pub fn knows_job(&self, job: &str) -> bool {
        self.find_job(job).is_ok()
    }

    /// Returns the number of accepted jobs.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    fn find_job(&self, job: &str) -> Result<usize, usize> {
        self.jobs.binary_search_by(|trace| trace.job.as_str().cmp(job))
    }

    fn trace(&mut self, name: &str) -> &mut RequestTrace {
        let at = match self.requests.binary_search_by(|trace| trace.name.as_str().cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                let trace = RequestTrace { name: name.to_owned(), ..Default::default() };
                self.requests.insert(at, trace);
                at
            }
        };
        &mut self.requests[at]
    }
}
