//! Audit jobs: accepted once read back from the log, run by one VM at a time, with one result each.
//!
//! A run may repeat after a crash; the first result in offset order is the job's result, so all
//! readers agree on it. Jobs and results are rewritten before the log's retention drops them. See
//! docs/AGREEMENT.md, "Jobs".

use crate::follow::StreamCursor;
use crate::id::{CustomerName, JobId, MICROS_PER_MILLI, TimePoint, VmIdentity};
use crate::invariant::{InvariantLog, InvariantName};
use crate::member::{MemberState, MemberTable};
use crate::outcome::RequestOutcome;
use crate::record::{JobEntry, JobRecord};
use crate::takeover::{PauseDetector, rank_among_live};

/// Number of tombstones of forgotten jobs. A tombstone keeps a job from reappearing that was
/// rewritten while it was being forgotten.
const MAX_TOMBSTONES: usize = 16_384;
/// Runners remembered per job, in offset order of their starts.
const MAX_STARTS: usize = 16;
/// Result text of a job that its caller cancelled.
const CANCELLED: &str = "cancelled";

/// Settings of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSettings {
    /// Upper bound of known jobs; further ones are refused before they are written.
    pub jobs: usize,
    /// Upper bound of jobs that one VM runs concurrently.
    pub running: usize,
    /// Milliseconds after which a job or result is rewritten; half the log's retention.
    pub rewrite_ms: u64,
    /// Milliseconds that a result is kept for its caller.
    pub result_ms: u64,
    /// Milliseconds after which an append that was not read back is repeated.
    pub repeat_ms: u64,
    /// Milliseconds per rank that a VM waits for the VMs ranked before it to act.
    pub rank_ms: u64,
}

impl Default for JobSettings {
    fn default() -> Self {
        Self {
            jobs: 16_384,
            running: 4,
            rewrite_ms: 1_800_000,
            result_ms: 86_400_000,
            repeat_ms: 2_000,
            rank_ms: 1_000,
        }
    }
}

/// Result of folding one record.
#[derive(Clone, Debug, PartialEq)]
pub enum JobVerdict {
    /// The job was not known before and is accepted.
    Accepted,
    /// The same job was accepted before; nothing changes.
    Repeated,
    /// Another job has the id; this one is refused.
    Conflict,
    /// The VM started the job; it is the runner unless a VM that started it earlier is live.
    Started(VmIdentity),
    /// The record holds the job's result.
    Finished,
    /// The caller cancelled the job.
    Cancelled,
    /// The job had already ended; the record has no effect.
    TooLate,
    /// The job and its result are dropped, and a tombstone is kept.
    Forgotten,
    /// A forgotten job was rewritten. It stays forgotten, and [`JobRecord::Forgotten`] is appended
    /// again.
    StaleRewrite,
    /// The record refers to a job that is not known.
    NoSuchJob,
}

/// A folded record's job and verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct JobResolution {
    /// The customer that submitted the job.
    pub tenant: CustomerName,
    /// The job's id, unique per customer.
    pub job: JobId,
    /// Result of folding the record.
    pub verdict: JobVerdict,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq)]
pub struct JobEnd {
    /// Whether it ran, as far as is known.
    pub outcome: RequestOutcome,
    /// The answer's body, or the reason for which there is none.
    pub result: String,
}

/// State of one job, folded from the log.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRow {
    tenant: CustomerName,
    job: JobId,
    entry: Option<JobEntry>,
    offset: u64,
    starts: Vec<VmIdentity>,
    end: Option<JobEnd>,
    /// Whether `end` is known to be the first result: the job was read from its submission on, or
    /// the result from a rewritten record.
    end_is_first: bool,
    entry_seen: TimePoint,
    end_seen: TimePoint,
    replayed: bool,
    orphaned_at: Option<TimePoint>,
    appended_at: Option<TimePoint>,
    ended_at: Option<TimePoint>,
}

impl JobRow {
    /// The customer that submitted the job.
    #[must_use]
    pub fn tenant(&self) -> &str {
        self.tenant.as_str()
    }

    /// The job's id.
    #[must_use]
    pub fn job(&self) -> &str {
        self.job.as_str()
    }

    /// The job as submitted; `None` while only its result was read.
    #[must_use]
    pub fn entry(&self) -> Option<&JobEntry> {
        self.entry.as_ref()
    }

    /// How it ended; `None` while it has no result.
    #[must_use]
    pub fn end(&self) -> Option<&JobEnd> {
        self.end.as_ref()
    }

    /// The VMs that started it, in offset order.
    #[must_use]
    pub fn starts(&self) -> &[VmIdentity] {
        &self.starts
    }

    fn key(&self) -> String {
        format!("job/{}/{}", self.tenant, self.job)
    }
}

/// All jobs, up to the last record read from the log.
#[derive(Clone, Debug, Default)]
pub struct JobFold {
    cursor: StreamCursor<()>,
    rows: Vec<JobRow>,
    tombstones: std::collections::VecDeque<(CustomerName, JobId)>,
    caught_up: bool,
    invariants: InvariantLog,
}

impl JobFold {
    /// All jobs, sorted by customer and id.
    #[must_use]
    pub fn rows(&self) -> &[JobRow] {
        &self.rows
    }

    /// The job with this customer and id; `None` if it is not known.
    #[must_use]
    pub fn row(&self, tenant: &str, job: &str) -> Option<&JobRow> {
        self.find(tenant, job).ok().map(|at| &self.rows[at])
    }

    /// The next log offset to read.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.cursor.next()
    }

    /// Results of the invariant checks.
    #[must_use]
    pub fn invariants(&self) -> &InvariantLog {
        &self.invariants
    }

    /// Marks the end of the stream as reached once since the start. Records read before that are of
    /// unknown age and are rewritten sooner.
    pub fn set_caught_up(&mut self) {
        self.caught_up = true;
    }

    /// Whether the end of the stream was reached once since the start.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Folds the record at `offset`; returns `None` for one folded before. The verdict depends on
    /// the log alone; `now` is only used as the time of reading.
    pub fn fold(
        &mut self,
        now: TimePoint,
        offset: u64,
        record: JobRecord,
    ) -> Option<JobResolution> {
        if !self.cursor.advance(offset) {
            return None;
        }
        let (tenant, job) = job_of(&record);
        let first_known = self.row(tenant.as_str(), job.as_str()).filter(|row| row.end_is_first);
        let before = first_known.and_then(|row| row.end.clone());
        let verdict = match record {
            JobRecord::Submitted(entry) => self.submit(now, offset, entry),
            JobRecord::Started { runner, .. } => self.start(&tenant, &job, runner),
            JobRecord::Finished { outcome, result, rewritten, .. } => {
                let end = JobEnd { outcome, result };
                self.finish(now, offset, &tenant, &job, end, rewritten)
            }
            JobRecord::Cancelled { .. } => self.cancel(now, &tenant, &job),
            JobRecord::Forgotten { .. } => self.forget(&tenant, &job),
        };
        self.check_end(&tenant, &job, before);
        Some(JobResolution { tenant, job, verdict })
    }

    /// Goes back to `offset`, from which on the log has other records than those that were read. What
    /// was folded stays.
    pub fn rewind(&mut self, offset: u64) {
        self.cursor.rewind(offset);
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: u64) {
        let _ = self.cursor.advance(offset);
    }

    fn check_end(&mut self, tenant: &CustomerName, job: &JobId, before: Option<JobEnd>) {
        let Some(before) = before else { return };
        let Some(row) = self.row(tenant.as_str(), job.as_str()) else { return };
        let same = row.end.as_ref() == Some(&before);
        self.invariants.check(InvariantName::JobOnce, same, || {
            format!("job {job} of {tenant} has a second result")
        });
    }

    fn find(&self, tenant: &str, job: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (row.tenant.as_str(), row.job.as_str()).cmp(&(tenant, job)))
    }

    fn has_tombstone(&self, tenant: &CustomerName, job: &JobId) -> bool {
        self.tombstones.iter().any(|(t, j)| t == tenant && j == job)
    }

    fn submit(&mut self, now: TimePoint, offset: u64, entry: JobEntry) -> JobVerdict {
        let (tenant, job) = (entry.tenant.clone(), entry.job.clone());
        let at = match self.find(tenant.as_str(), job.as_str()) {
            Ok(at) => return self.rows[at].submit_again(now, entry, !self.caught_up),
            Err(at) => at,
        };
        if entry.rewritten > 0 && self.has_tombstone(&tenant, &job) {
            return JobVerdict::StaleRewrite;
        }
        let mut row = JobRow::new(now, offset, tenant, job, !self.caught_up);
        row.end_is_first = entry.rewritten == 0;
        row.entry = Some(entry);
        self.rows.insert(at, row);
        JobVerdict::Accepted
    }

    fn start(&mut self, tenant: &CustomerName, job: &JobId, runner: VmIdentity) -> JobVerdict {
        let Ok(at) = self.find(tenant.as_str(), job.as_str()) else { return JobVerdict::NoSuchJob };
        let row = &mut self.rows[at];
        if row.end.is_some() {
            return JobVerdict::TooLate;
        }
        if !row.starts.contains(&runner) {
            row.starts.push(runner.clone());
        }
        if row.starts.len() > MAX_STARTS {
            row.starts.remove(0);
        }
        JobVerdict::Started(runner)
    }

    fn finish(
        &mut self,
        now: TimePoint,
        offset: u64,
        tenant: &CustomerName,
        job: &JobId,
        end: JobEnd,
        rewritten: bool,
    ) -> JobVerdict {
        let at = match self.find(tenant.as_str(), job.as_str()) {
            Ok(at) => at,
            Err(_) if self.has_tombstone(tenant, job) => return JobVerdict::NoSuchJob,
            Err(at) => {
                // The result of a job whose own record is rewritten after it.
                let row = JobRow::new(now, offset, tenant.clone(), job.clone(), !self.caught_up);
                self.rows.insert(at, row);
                at
            }
        };
        let row = &mut self.rows[at];
        // Retention may have dropped the first result and kept a later one of another run. A reader
        // that starts then would take the later one; the rewritten result is the first and replaces
        // it.
        let replaces = rewritten && !row.end_is_first;
        if row.end.is_some() && !replaces {
            row.end_seen = now;
            return JobVerdict::TooLate;
        }
        row.set_end(now, end);
        row.end_is_first |= rewritten;
        JobVerdict::Finished
    }

    fn cancel(&mut self, now: TimePoint, tenant: &CustomerName, job: &JobId) -> JobVerdict {
        let Ok(at) = self.find(tenant.as_str(), job.as_str()) else { return JobVerdict::NoSuchJob };
        let row = &mut self.rows[at];
        if row.end.is_some() {
            return JobVerdict::TooLate;
        }
        // A run begins only after its start was read back, so a job without a start before the
        // cancellation never runs. How far a started one came is unknown.
        let outcome = match row.starts.is_empty() {
            true => RequestOutcome::NotRun,
            false => RequestOutcome::Unknown,
        };
        row.set_end(now, JobEnd { outcome, result: CANCELLED.to_owned() });
        JobVerdict::Cancelled
    }

    fn forget(&mut self, tenant: &CustomerName, job: &JobId) -> JobVerdict {
        if !self.has_tombstone(tenant, job) {
            self.tombstones.push_back((tenant.clone(), job.clone()));
        }
        if self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.pop_front();
        }
        match self.find(tenant.as_str(), job.as_str()) {
            Ok(at) => {
                self.rows.remove(at);
                JobVerdict::Forgotten
            }
            Err(_) => JobVerdict::NoSuchJob,
        }
    }
}

impl JobRow {
    fn new(now: TimePoint, offset: u64, tenant: CustomerName, job: JobId, replayed: bool) -> Self {
        Self {
            tenant,
            job,
            entry: None,
            offset,
            starts: Vec::new(),
            end: None,
            end_is_first: false,
            entry_seen: now,
            end_seen: now,
            replayed,
            orphaned_at: None,
            appended_at: None,
            ended_at: None,
        }
    }

    fn submit_again(&mut self, now: TimePoint, entry: JobEntry, replayed: bool) -> JobVerdict {
        let Some(known) = &mut self.entry else {
            self.entry = Some(entry);
            self.entry_seen = now;
            return JobVerdict::Accepted;
        };
        let same = JobEntry { rewritten: known.rewritten, ..entry.clone() } == *known;
        if !same {
            return JobVerdict::Conflict;
        }
        known.rewritten = known.rewritten.max(entry.rewritten);
        self.entry_seen = now;
        self.replayed = replayed;
        JobVerdict::Repeated
    }

    fn set_end(&mut self, now: TimePoint, end: JobEnd) {
        self.end = Some(end);
        self.end_seen = now;
        self.ended_at = Some(now);
    }
}

fn job_of(record: &JobRecord) -> (CustomerName, JobId) {
    match record {
        JobRecord::Submitted(entry) => (entry.tenant.clone(), entry.job.clone()),
        JobRecord::Finished { job, tenant, .. }
        | JobRecord::Cancelled { job, tenant }
        | JobRecord::Started { job, tenant, .. }
        | JobRecord::Forgotten { job, tenant } => (tenant.clone(), job.clone()),
    }
}

/// An action for the process to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum JobAction {
    /// Append the record. Lost answers need no handling: a repeated record has no effect.
    Append(JobRecord),
    /// Run the job and report its end to [`JobRunner::finish`].
    Run(JobEntry),
    /// Stop the run: the job has ended, or another VM runs it.
    Abort {
        /// The customer that submitted the job.
        tenant: CustomerName,
        /// The job's id.
        job: JobId,
    },
}

/// A job that runs here, or has ended here and waits for its result to be read back.
#[derive(Clone, Debug)]
struct JobRun {
    tenant: CustomerName,
    job: JobId,
    end: Option<JobEnd>,
    sent: Option<TimePoint>,
}

/// Decides which jobs this VM runs and which records it appends.
#[derive(Clone, Debug)]
pub struct JobRunner {
    settings: JobSettings,
    runs: Vec<JobRun>,
    stale_rewrites: Vec<(CustomerName, JobId)>,
    pauses: PauseDetector,
}

impl JobRunner {
    /// Creates the runner of a VM that has just started.
    #[must_use]
    pub fn new(settings: JobSettings) -> Self {
        let pauses = PauseDetector::default();
        Self { settings, runs: Vec::new(), stale_rewrites: Vec::new(), pauses }
    }

    /// Whether a further job may be written. If not, the submission is refused.
    #[must_use]
    pub fn has_room(&self, fold: &JobFold) -> bool {
        fold.rows().len() < self.settings.jobs
    }

    /// Number of jobs running here.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.iter().filter(|run| run.end.is_none()).count()
    }

    /// Processes the verdict of a folded record.
    pub fn note(&mut self, resolution: &JobResolution) {
        if resolution.verdict == JobVerdict::StaleRewrite {
            self.stale_rewrites.push((resolution.tenant.clone(), resolution.job.clone()));
        }
    }

    /// Records the end of a run. Its result is appended until a result of the job is read back;
    /// while the log is unavailable it is kept here. After [`RequestOutcome::NotRun`] the job may
    /// be run again.
    pub fn finish(&mut self, tenant: &str, job: &str, end: JobEnd) {
        let same = |run: &JobRun| run.tenant.as_str() == tenant && run.job.as_str() == job;
        if end.outcome == RequestOutcome::NotRun {
            self.runs.retain(|run| !same(run));
        } else if let Some(run) = self.runs.iter_mut().find(|run| same(run) && run.end.is_none()) {
            run.end = Some(end);
        }
    }

    /// Returns the actions due now. Called several times a second while the log answers.
    pub fn plan(
        &mut self,
        now: TimePoint,
        fold: &mut JobFold,
        members: &MemberTable,
    ) -> Vec<JobAction> {
        self.pauses.observe(now);
        let mut actions = Vec::new();
        self.end_runs(now, fold, members, &mut actions);
        let alive = members.own().state() == MemberState::Alive;
        if !alive || !fold.caught_up {
            return actions;
        }
        for (tenant, job) in self.stale_rewrites.drain(..) {
            actions.push(JobAction::Append(JobRecord::Forgotten { tenant, job }));
        }
        // Without a majority, a live runner on the other side of a partition would look dead and
        // its job would be run twice. Rewriting needs no majority: it is harmless, and must
        // continue through a long partition so that retention does not drop accepted jobs.
        let region = members.own().place().region.as_str();
        let order = if members.majority(region) { by_due_time(fold) } else { Vec::new() };
        for at in order {
            self.plan_run(now, &mut fold.rows[at], members, &mut actions);
        }
        for row in &mut fold.rows {
            self.plan_retention(now, row, members, &mut actions);
        }
        actions
    }

    fn end_runs(
        &mut self,
        now: TimePoint,
        fold: &JobFold,
        members: &MemberTable,
        actions: &mut Vec<JobAction>,
    ) {
        let repeat = self.settings.repeat_ms * MICROS_PER_MILLI;
        self.runs.retain_mut(|run| {
            let row = fold.row(run.tenant.as_str(), run.job.as_str());
            let open = row.filter(|row| row.end.is_none());
            let superseded =
                open.is_none_or(|row| runner(row, members) != Some(members.own().identity()));
            if open.is_none() || (superseded && run.end.is_none()) {
                if run.end.is_none() {
                    let (tenant, job) = (run.tenant.clone(), run.job.clone());
                    actions.push(JobAction::Abort { tenant, job });
                }
                return false;
            }
            let Some(end) = &run.end else { return true };
            if run.sent.is_none_or(|sent| now.since(sent) >= repeat) {
                run.sent = Some(now);
                actions.push(JobAction::Append(JobRecord::Finished {
                    job: run.job.clone(),
                    tenant: run.tenant.clone(),
                    outcome: end.outcome,
                    result: end.result.clone(),
                    rewritten: false,
                }));
            }
            true
        });
    }

    /// Runs the job if the log names this VM as its runner, or requests to become the runner if no
    /// live VM is. A run never begins before its start was read back: if the answer to an append is
    /// lost, two VMs could otherwise both run it.
    fn plan_run(
        &mut self,
        now: TimePoint,
        row: &mut JobRow,
        members: &MemberTable,
        actions: &mut Vec<JobAction>,
    ) {
        if row.end.is_some() || self.is_running(row) || self.running() >= self.settings.running {
            return;
        }
        let Some(entry) = row.entry.clone() else { return };
        match runner(row, members) {
            Some(vm) if vm == members.own().identity() => {
                row.orphaned_at = None;
                let (tenant, job) = (row.tenant.clone(), row.job.clone());
                self.runs.push(JobRun { tenant, job, end: None, sent: None });
                actions.push(JobAction::Run(entry));
            }
            Some(_) => row.orphaned_at = None,
            None => actions.extend(self.request_start(now, row, members)),
        }
    }

    fn request_start(
        &self,
        now: TimePoint,
        row: &mut JobRow,
        members: &MemberTable,
    ) -> Option<JobAction> {
        let since = *row.orphaned_at.get_or_insert(now);
        let wait = rank_among_live(&row.key(), members) * self.settings.rank_ms;
        let rank_elapsed = self.pauses.passed(now, since, wait);
        let repeat = self.settings.repeat_ms * MICROS_PER_MILLI;
        if !rank_elapsed || row.appended_at.is_some_and(|at| now.since(at) < repeat) {
            return None;
        }
        row.appended_at = Some(now);
        Some(JobAction::Append(JobRecord::Started {
            job: row.job.clone(),
            tenant: row.tenant.clone(),
            runner: members.own().identity().clone(),
        }))
    }

    fn is_running(&self, row: &JobRow) -> bool {
        self.runs.iter().any(|run| run.tenant == row.tenant && run.job == row.job)
    }

    /// Rewrites a job and its result before retention drops them, and forgets expired results.
    fn plan_retention(
        &self,
        now: TimePoint,
        row: &mut JobRow,
        members: &MemberTable,
        actions: &mut Vec<JobAction>,
    ) {
        let rank = rank_among_live(&row.key(), members) * self.settings.rank_ms;
        let passed = |since: TimePoint, ms: u64| {
            self.pauses.passed(now, since.plus(ms * MICROS_PER_MILLI), rank)
                && now.since(since) >= ms * MICROS_PER_MILLI
        };
        let repeat = self.settings.repeat_ms * MICROS_PER_MILLI;
        if row.appended_at.is_some_and(|at| now.since(at) < repeat) {
            return;
        }
        let (tenant, job) = (row.tenant.clone(), row.job.clone());
        if row.ended_at.is_some_and(|at| passed(at, self.settings.result_ms)) {
            row.appended_at = Some(now);
            actions.push(JobAction::Append(JobRecord::Forgotten { tenant, job }));
            return;
        }
        // Records read at the start may be older than their time of reading here.
        let divisor = if row.replayed { 4 } else { 1 };
        let oldest =
            if row.end.is_some() { row.entry_seen.min(row.end_seen) } else { row.entry_seen };
        if !passed(oldest, self.settings.rewrite_ms / divisor) {
            return;
        }
        row.appended_at = Some(now);
        actions.extend(row.rewrite().into_iter().map(JobAction::Append));
    }
}

impl JobRow {
    /// The records that rewrite the job. The result comes first: a VM that starts between the two
    /// appends would otherwise consider the job unfinished.
    fn rewrite(&self) -> Vec<JobRecord> {
        let (tenant, job) = (self.tenant.clone(), self.job.clone());
        let mut records = Vec::new();
        if let Some(JobEnd { outcome, result }) = self.end.clone() {
            records.push(JobRecord::Finished { job, tenant, outcome, result, rewritten: true });
        }
        if let Some(entry) = &self.entry {
            let rewritten = entry.rewritten + 1;
            records.push(JobRecord::Submitted(JobEntry { rewritten, ..entry.clone() }));
        }
        // Keeps a later cancellation from reporting a started job as not run.
        if let (None, Some(runner)) = (&self.end, self.starts.first().cloned()) {
            let (tenant, job) = (self.tenant.clone(), self.job.clone());
            records.push(JobRecord::Started { job, tenant, runner });
        }
        records
    }
}

/// Returns the VM that runs the job: the first, in offset order of the starts, that is live.
fn runner<'a>(row: &'a JobRow, members: &MemberTable) -> Option<&'a VmIdentity> {
    row.starts.iter().find(|vm| members.may_be_running(vm))
}

fn by_due_time(fold: &JobFold) -> Vec<usize> {
    let open = fold.rows.iter().enumerate().filter(|(_, row)| row.end.is_none());
    let mut order: Vec<(u64, u64, usize)> = open
        .map(|(at, row)| {
            let due = row.entry.as_ref().and_then(|entry| entry.due_ms);
            (due.unwrap_or(u64::MAX), row.offset, at)
        })
        .collect();
    order.sort_unstable();
    order.into_iter().map(|(_, _, at)| at).collect()
}
