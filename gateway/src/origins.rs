//! The software versions at which streams began: recorded at the first event, reported to other VMs, asked of them.
//!
//! A caller goes on with a stream at any VM, often since the one that began it is gone. The first few VMs by the hash of
//! the request are therefore told of each stream, and asked where it is taken up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfoothook_decision::id::RequestFingerprint;
use coltsfoothook_decision::origin::{OriginVerdict, ReportedStream, StreamMark, StreamOrigin};
use coltsfoothook_telemetry::event;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::message::PeerMessage;
use crate::origin_records;
use crate::run::RequestRun;
use crate::state::Gateway;

/// How many VMs are told of a stream.
pub(crate) const HOLDERS: usize = 3;
/// How many are asked: more, as VMs may have come or gone since.
pub(crate) const ASKED_HOLDERS: usize = 5;
/// How long streams are collected before they are reported. Those of a VM that ends meanwhile are not known to any
/// other one.
const REPORT_DELAY: Duration = Duration::from_millis(15);
/// Maximum number of streams in one datagram: as many as fit.
const MAX_REPORTED: usize = 500;
/// How long the answers to a question are awaited, and how often it is asked: a datagram may be lost, and the report of a
/// stream that began just before may still be on its way.
const ANSWER_TIME: Duration = Duration::from_millis(40);
const MAX_QUESTIONS: usize = 3;
/// How long an answer of the store is awaited beside them.
const READ_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a stream is known beyond its caller's deadline, in milliseconds. Covers the transit of the report.
const RETENTION_MARGIN_MS: u32 = 500;

/// Records the first event of a request's stream, which from then on stays at its server's software version.
pub(crate) fn begin(run: &mut RequestRun) {
    if run.origin.is_some() || run.request.head.last_event.is_some() {
        return;
    }
    let Some(software) = run.software.clone() else { return };
    let origin = StreamOrigin { service: run.request.service.clone(), software };
    run.origin = Some(origin.clone());
    let left = run.request.head.deadline.unwrap_or(run.request.route.timeout);
    let left_ms = left.saturating_sub(run.elapsed()).as_millis();
    let left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX).saturating_add(RETENTION_MARGIN_MS);
    let gateway = &run.gateway;
    let (id, fingerprint) = (&run.request.head.id, run.request.fingerprint);
    gateway.view().origins.begin(id, fingerprint, origin, left_ms, clock::now());
    gateway.streams_began.notify_one();
}

/// Finds where the stream began that a caller goes on with, if it does, and asks other VMs if this one does not know. The
/// error is the reason why the stream does not go on.
pub(crate) async fn find(run: &mut RequestRun) -> Result<(), &'static str> {
    let head = &run.request.head;
    let Some(last) = head.last_event.clone() else { return Ok(()) };
    if !run.request.route.repeat.is_stream() || run.origin.is_some() {
        return Ok(());
    }
    let mark = match &head.resumes {
        Some(attempt) => StreamMark::of_attempt(attempt),
        None => StreamMark::of_request(run.request.fingerprint),
    };
    let gateway = Arc::clone(&run.gateway);
    let found = ask(&gateway, mark, run.request.fingerprint).await;
    let result = found.as_ref().map_or_else(|reason| *reason, |_| "known");
    gateway.metrics.taken_up(result);
    event!(
        StreamTakenUp,
        request_id = run.request.head.id,
        resumes? = run.request.head.resumes,
        last_event = last,
        began_at? = found.as_ref().ok().map(|origin| &origin.software),
        result = result,
    );
    let origin = found?;
    if !run.request.route.shares.iter().any(|share| share.service == origin.service) {
        return Err("stream_of_other_service");
    }
    let serves = gateway.view().backends.serves(&origin.service, &origin.software);
    run.request.service = origin.service.clone();
    run.origin = Some(origin);
    if serves { Ok(()) } else { Err("software_gone") }
}

/// Returns where a stream began, as this VM, one of those that were told of it, or the store's records know.
async fn ask(
    gateway: &Gateway,
    mark: StreamMark,
    fingerprint: RequestFingerprint,
) -> Result<StreamOrigin, &'static str> {
    if let Some(known) = known_origin(gateway, mark) {
        return known;
    }
    // All VMs that were told may have ended.
    let read = timeout(READ_TIMEOUT, origin_records::read(gateway));
    let (known, _) = tokio::join!(ask_holders(gateway, mark, fingerprint), read);
    known.or_else(|| known_origin(gateway, mark)).unwrap_or(Err("stream_unknown"))
}

/// Asks the VMs that were told where a stream began; `None` if none of them answers.
async fn ask_holders(
    gateway: &Gateway,
    mark: StreamMark,
    fingerprint: RequestFingerprint,
) -> Option<Result<StreamOrigin, &'static str>> {
    for _ in 0..MAX_QUESTIONS {
        if let Some(known) = known_origin(gateway, mark) {
            return Some(known);
        }
        let now = clock::now();
        let holders = gateway.view().roster.origin_holders(fingerprint, ASKED_HOLDERS, true, now);
        if holders.is_empty() {
            break;
        }
        gateway.peers.send(&PeerMessage::OriginQuestion(mark), &holders);
        if let Ok(known) = timeout(ANSWER_TIME, wait_until_known(gateway, mark)).await {
            return Some(known);
        }
    }
    None
}

/// Waits until another VM has told where a stream began.
async fn wait_until_known(
    gateway: &Gateway,
    mark: StreamMark,
) -> Result<StreamOrigin, &'static str> {
    loop {
        let told = gateway.origins_told.notified();
        if let Some(known) = known_origin(gateway, mark) {
            return known;
        }
        told.await;
    }
}

/// Returns what this VM knows of a stream; `None` if nothing.
fn known_origin(gateway: &Gateway, mark: StreamMark) -> Option<Result<StreamOrigin, &'static str>> {
    match gateway.view().origins.find(mark, clock::now()) {
        OriginVerdict::Known(origin) => Some(Ok(origin.clone())),
        OriginVerdict::Ambiguous => Some(Err("stream_ambiguous")),
        OriginVerdict::Unknown => None,
    }
}

/// Records what another VM told.
pub(crate) fn learn(gateway: &Gateway, streams: &[ReportedStream]) {
    let now = clock::now();
    let mut view = gateway.view();
    for stream in streams {
        view.origins.learn(stream, now);
    }
    gateway.metrics.set("stream_marks", view.origins.len());
    drop(view);
    gateway.origins_told.notify_waiters();
}

/// Answers another VM that asks where a stream began, if this one knows.
pub(crate) fn answer_question(gateway: &Gateway, mark: StreamMark, from: SocketAddr) {
    let known = gateway.view().origins.report(mark, clock::now());
    if let Some(stream) = known {
        gateway.peers.send(&PeerMessage::Origins(vec![stream]), &[from]);
    }
}

/// Runs for ever, reporting the streams that begin at this VM to the VMs that are asked for them.
pub(crate) async fn report_streams(gateway: Arc<Gateway>) {
    loop {
        gateway.streams_began.notified().await;
        sleep(REPORT_DELAY).await;
        report(&gateway);
    }
}

fn report(gateway: &Gateway) {
    let now = clock::now();
    let mut view = gateway.view();
    let mut reports: Vec<(SocketAddr, Vec<ReportedStream>)> = Vec::new();
    let streams = view.origins.take_unreported(now);
    for (fingerprint, stream) in &streams {
        for holder in view.roster.origin_holders(*fingerprint, HOLDERS, false, now) {
            match reports.binary_search_by_key(&holder, |(address, _)| *address) {
                Ok(at) => reports[at].1.push(stream.clone()),
                Err(at) => reports.insert(at, (holder, vec![stream.clone()])),
            }
        }
    }
    drop(view);
    for (holder, streams) in reports {
        for part in streams.chunks(MAX_REPORTED) {
            gateway.peers.send(&PeerMessage::Origins(part.to_vec()), &[holder]);
        }
    }
    origin_records::hand_on(gateway, streams.into_iter().map(|(_, stream)| stream));
}
