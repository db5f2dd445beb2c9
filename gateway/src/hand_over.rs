//! Requests that a VM without links to the servers hands over to another VM, and their answers.
//!
//! The other VM chooses the server and sends the request as it does its own. The first VM has
//! admitted it, has charged its customer, and counts as the one that its caller's request reached.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfoothook_decision::id::CustomerName;
use coltsfoothook_decision::value;
use coltsfoothook_exchange::{ExchangeRequest, ExchangeResponse};
use coltsfoothook_platform::{end_to_end_headers, read_response_head, set_deadline};
use coltsfoothook_telemetry::event;
use http::header::{HeaderName, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Response, StatusCode};

use crate::answer::{AnswerStream, own_answer};
use crate::clock;
use crate::find::MIN_TIME_LEFT;
use crate::outcome::{AfterAnswer, failed_answer, give_up, handle_answer};
use crate::run::RequestRun;
use crate::send::ANSWER_SLACK;

/// The header with which a request is handed over. It is read on the port for other VMs only.
const HAND_OVER: HeaderName = HeaderName::from_static("hand-over");
/// The header of a VM's refusal that says that it has no links to the servers either.
const NO_LINKS: HeaderName = HeaderName::from_static("no-links");
/// Maximum number of VMs that one request is handed to.
const MAX_VMS: usize = 3;

value! {
    /// What the first VM decided about a request that it hands over.
    pub(crate) struct HandedOver {
        /// The customer that it runs for.
        pub customer: Option<CustomerName>,
        /// Index among the ranks of the configuration.
        pub rank: u8,
        /// How many servers may have begun to run it.
        pub ran: u32,
    }
}

/// Returns whether a request on the port for other VMs is handed over.
pub(crate) fn is_handed_over(headers: &HeaderMap) -> bool {
    headers.contains_key(&HAND_OVER)
}

/// Removes and decodes the header with which a request was handed over.
pub(crate) fn take_handed_over(headers: &mut HeaderMap) -> Option<HandedOver> {
    serde_json::from_slice(headers.remove(&HAND_OVER)?.as_bytes()).ok()
}

/// Returns the refusal of a VM that has no links to the servers either.
pub(crate) fn no_links_answer(id: &str) -> Response<AnswerStream> {
    let mut answer = own_answer(StatusCode::SERVICE_UNAVAILABLE, id, None);
    answer.headers_mut().insert(NO_LINKS, HeaderValue::from_static("1"));
    answer
}

/// Returns whether this VM's links are cut and the request may be sent by another VM.
pub(crate) fn is_needed(run: &RequestRun) -> bool {
    !run.handed_over
        && run.gateway.view().links.are_cut()
        && (run.ran == 0 || run.may_run_elsewhere())
}

/// Hands a request over to other VMs, one after the other, until one answers.
pub(crate) async fn hand_over(mut run: RequestRun) -> Response<AnswerStream> {
    let mut vms = candidates(&run);
    vms.truncate(MAX_VMS);
    for vm in vms {
        if run.left() < MIN_TIME_LEFT {
            return give_up(run, "deadline");
        }
        if !run.may_send() {
            return give_up(run, "repeat_budget");
        }
        let request = request(&run);
        // Counted meanwhile too: the caller may leave before the answer, and what may have run stays charged.
        run.ran += 1;
        let sent = run.gateway.peer_client.send(vm, request).await;
        let result = match &sent {
            Ok(answer) if is_refusal(answer) => "refused",
            Ok(_) => "answered",
            Err(error) if error.certainly_not_sent() => "unsent",
            Err(_) => "unknown",
        };
        run.gateway.metrics.handed_over(result);
        event!(RequestHandedOver, request_id = run.request.head.id, to = vm, result = result);
        match sent {
            Ok(answer) if is_refusal(&answer) => {
                run.ran -= 1;
                let no_links = answer.headers.contains_key(&NO_LINKS);
                run.gateway.view().roster.set_no_links(vm, no_links, clock::now());
                if !no_links {
                    run.retry_after = retry_after(&answer);
                    return give_up(run, "refused_elsewhere");
                }
            }
            Ok(answer) => return answered(run, answer).await,
            Err(error) if error.certainly_not_sent() => run.ran -= 1,
            Err(error) => {
                run.sends += 1;
                run.last_end = "unknown";
                if !run.may_run_elsewhere() {
                    return failed(run, error.to_string());
                }
            }
        }
    }
    give_up(run, "no_links")
}

/// Returns where other VMs take over requests: one of the own failure domain first, then of others,
/// since all VMs of a domain may have lost their links together.
fn candidates(run: &RequestRun) -> Vec<SocketAddr> {
    let gateway = &run.gateway;
    let mut guard = gateway.view();
    let view = &mut *guard;
    view.roster.hand_over_order(&gateway.settings.domain, &mut view.rng, clock::now())
}

fn request(run: &RequestRun) -> ExchangeRequest {
    let left = run.left();
    let mut request = ExchangeRequest::new(run.request.method.clone(), run.request.path.clone());
    request.headers = end_to_end_headers(&run.request.headers);
    request.headers.remove(http::header::CONTENT_LENGTH);
    set_deadline(&mut request.headers, left);
    let handed =
        HandedOver { customer: run.request.customer.clone(), rank: run.request.rank, ran: run.ran };
    // A customer's name that is no header value cannot be encoded; the other VM then refuses.
    let encoded = serde_json::to_vec(&handed).ok();
    if let Some(value) = encoded.and_then(|bytes| HeaderValue::from_bytes(&bytes).ok()) {
        request.headers.insert(HAND_OVER, value);
    }
    request.body = run.request.body.clone();
    request.head_timeout = Some(left + ANSWER_SLACK);
    request.chunk_timeout = Some(left + ANSWER_SLACK);
    request
}

/// Returns whether an answer is another VM's statement that the request did not run.
fn is_refusal(answer: &ExchangeResponse) -> bool {
    let sealed = read_response_head(&answer.headers).sealed;
    answer.status == StatusCode::SERVICE_UNAVAILABLE && !sealed
}

fn retry_after(answer: &ExchangeResponse) -> Option<Duration> {
    let seconds: f64 = answer.headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Passes on a server's answer that another VM has received, or that VM's failure. The other VM has
/// tried all that may be tried.
async fn answered(mut run: RequestRun, answer: ExchangeResponse) -> Response<AnswerStream> {
    let head = read_response_head(&answer.headers);
    if !head.sealed || head.id.as_ref() != Some(&run.request.head.id) {
        let cause = format!("another VM answered with status {}", answer.status.as_u16());
        return failed(run, cause);
    }
    run.sends += 1;
    run.ran = run.request.route.max_servers;
    // The other VM knows the server, and records where the stream began.
    run.software = None;
    match handle_answer(run, "vm".into(), answer).await {
        AfterAnswer::Finished(answer) => *answer,
        AfterAnswer::Retry(run) => failed(*run, "another VM's answer was cut".to_owned()),
    }
}

fn failed(mut run: RequestRun, cause: String) -> Response<AnswerStream> {
    run.end("failed", cause);
    failed_answer(&mut run)
}
