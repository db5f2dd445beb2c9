//! Maps methods and paths to operations.

use coltsfoothook_decision::id::{JobId, ServiceName};
use http::Method;

use crate::handler::CompletionKind;
use crate::problem::{CallProblem, InterfaceReason};
use crate::settings::CallerSettings;

/// An operation of the callers' API with the parameters from its path.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallerRoute {
    Health,
    Entries,
    Models,
    Complete(CompletionKind),
    Service { service: ServiceName, path: String },
    SubmitJob,
    JobStatus(JobId),
    JobResult(JobId),
    CancelJob(JobId),
}

/// Finds the operation for a method and a path. `path` is still percent-encoded and has no query.
///
/// # Errors
///
/// The path is unknown, does not support the method, or contains an invalid id.
pub(crate) fn find_route(
    method: &Method,
    path: &str,
    settings: &CallerSettings,
) -> Result<CallerRoute, CallProblem> {
    let segments: Vec<&str> = path.trim_start_matches('/').splitn(4, '/').collect();
    match segments.as_slice() {
        ["health"] => check_method(method, &Method::GET, CallerRoute::Health),
        ["v1", "entries"] => check_method(method, &Method::GET, CallerRoute::Entries),
        ["v1", "models"] => check_method(method, &Method::GET, CallerRoute::Models),
        ["v1", "completions"] => {
            check_method(method, &Method::POST, CallerRoute::Complete(CompletionKind::Completions))
        }
        ["v1", "chat", "completions"] => {
            check_method(method, &Method::POST, CallerRoute::Complete(CompletionKind::Chat))
        }
        ["v1", "services", service] => service_route(service, "/", settings),
        ["v1", "services", service, rest] => service_route(service, &format!("/{rest}"), settings),
        ["v1", "jobs"] => check_method(method, &Method::POST, CallerRoute::SubmitJob),
        ["v1", "jobs", id] => job_route(method, id, settings),
        ["v1", "jobs", id, "result"] => {
            check_method(method, &Method::GET, CallerRoute::JobResult(job_id(id, settings)?))
        }
        _ => Err(CallProblem::not_run(InterfaceReason::UnknownPath, "no operation has this path")),
    }
}

fn check_method(
    method: &Method,
    supported: &Method,
    route: CallerRoute,
) -> Result<CallerRoute, CallProblem> {
    if method == supported {
        return Ok(route);
    }
    let detail = format!("this path supports only {supported}");
    Err(CallProblem::not_run(InterfaceReason::MethodNotAllowed, detail))
}

fn service_route(
    service: &str,
    path: &str,
    settings: &CallerSettings,
) -> Result<CallerRoute, CallProblem> {
    check_id("the service's name", service, settings.id_bytes)?;
    Ok(CallerRoute::Service { service: service.into(), path: path.to_owned() })
}

fn job_route(
    method: &Method,
    id: &str,
    settings: &CallerSettings,
) -> Result<CallerRoute, CallProblem> {
    let job = job_id(id, settings)?;
    match *method {
        Method::GET => Ok(CallerRoute::JobStatus(job)),
        Method::DELETE => Ok(CallerRoute::CancelJob(job)),
        _ => {
            let detail = "this path supports only GET and DELETE";
            Err(CallProblem::not_run(InterfaceReason::MethodNotAllowed, detail))
        }
    }
}

fn job_id(id: &str, settings: &CallerSettings) -> Result<JobId, CallProblem> {
    check_id("the job's id", id, settings.id_bytes)?;
    Ok(id.into())
}

/// Checks that an id has 1 to `max_bytes` bytes, all of them ASCII letters, digits, `.`, `_`, `:`
/// or `-`, so that it needs no escaping in paths, log lines and keys.
pub(crate) fn check_id(what: &str, id: &str, max_bytes: usize) -> Result<(), CallProblem> {
    let allowed = |c: u8| c.is_ascii_alphanumeric() || b"._:-".contains(&c);
    if id.is_empty() || id.len() > max_bytes || !id.bytes().all(allowed) {
        let detail =
            format!("{what} must have 1 to {max_bytes} characters of letters, digits and . _ : -");
        return Err(CallProblem::not_run(InterfaceReason::MalformedRequest, detail));
    }
    Ok(())
}
