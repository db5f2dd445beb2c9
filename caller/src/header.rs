//! Parses request headers and selects the headers to forward.

use coltsfoothook_decision::id::IdempotencyKey;
use coltsfoothook_decision::outcome::RequestClass;
use http::HeaderMap;
use http::header::{AUTHORIZATION, HeaderName};

use crate::problem::{CallProblem, InterfaceReason};
use crate::route::check_id;
use crate::settings::CallerSettings;

const IDEMPOTENCY_KEY: &str = "idempotency-key";
const REQUEST_ID: &str = "x-request-id";
const OPTION_PREFIX: &str = "coltsfoothook-";
const CLASS: &str = "coltsfoothook-class";
const DEADLINE: &str = "coltsfoothook-deadline-ms";
const REPEATABLE: &str = "coltsfoothook-repeatable";
const FIRST_TRY: &str = "coltsfoothook-first-try";
/// The authentication scheme, matched without regard to case.
const BEARER: &str = "bearer ";

/// Headers that apply to one connection only (RFC 9110, section 7.6.1) or that are set anew when a
/// message is forwarded.
const HOP_BY_HOP_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A call's options, from its headers; `None` where the header is absent.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CallHeaders {
    pub(crate) class: Option<RequestClass>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) repeatable: Option<bool>,
    pub(crate) first_try: bool,
    pub(crate) key: Option<IdempotencyKey>,
}

/// Parses the headers that set a call's options.
///
/// # Errors
///
/// A header is repeated, too long or has an invalid value.
pub(crate) fn read_headers(
    headers: &HeaderMap,
    settings: &CallerSettings,
) -> Result<CallHeaders, CallProblem> {
    let text = |name| header_text(headers, name, settings.header_bytes);
    Ok(CallHeaders {
        class: text(CLASS)?.map(read_class).transpose()?,
        deadline_ms: text(DEADLINE)?.map(|t| read_deadline(t, settings)).transpose()?,
        repeatable: text(REPEATABLE)?.map(|t| read_flag("Repeatable", t)).transpose()?,
        first_try: text(FIRST_TRY)?.map_or(Ok(false), |t| read_flag("First-Try", t))?,
        key: text(IDEMPOTENCY_KEY)?.map(|t| read_key(t, settings)).transpose()?,
    })
}

/// Reads the caller's own request id from `X-Request-Id`.
pub(crate) fn read_caller_id(
    headers: &HeaderMap,
    settings: &CallerSettings,
) -> Result<Option<String>, CallProblem> {
    let Some(id) = header_text(headers, REQUEST_ID, settings.header_bytes)? else {
        return Ok(None);
    };
    check_id("X-Request-Id", id, settings.id_bytes)?;
    Ok(Some(id.to_owned()))
}

/// Returns the bearer credential. Its value never appears in an error.
pub(crate) fn read_bearer<'a>(
    headers: &'a HeaderMap,
    settings: &CallerSettings,
) -> Result<&'a str, CallProblem> {
    let missing = || {
        let detail = "the header Authorization: Bearer with the tenant's credential is required";
        CallProblem::not_run(InterfaceReason::Unauthenticated, detail)
    };
    let max_bytes = settings.credential_bytes + BEARER.len();
    let text = header_text(headers, AUTHORIZATION.as_str(), max_bytes)?.ok_or_else(missing)?;
    let scheme = text.get(..BEARER.len()).ok_or_else(missing)?;
    if !scheme.eq_ignore_ascii_case(BEARER) {
        return Err(missing());
    }
    Ok(text[BEARER.len()..].trim())
}

/// Returns the headers to forward to a plain service. Hop-by-hop headers, the customer's credential
/// and `Coltsfoothook-*` headers are removed. The idempotency key is forwarded, for services that
/// deduplicate by it.
pub(crate) fn forward_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_listed = connection_names(headers);
    let kept = headers.iter().filter(|(name, _)| {
        !is_hop_by_hop(name, &connection_listed)
            && **name != AUTHORIZATION
            && !name.as_str().starts_with(OPTION_PREFIX)
    });
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Returns the headers of a backend server's response to forward to the caller, without hop-by-hop
/// headers.
pub(crate) fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_listed = connection_names(headers);
    let kept = headers.iter().filter(|(name, _)| !is_hop_by_hop(name, &connection_listed));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn is_hop_by_hop(name: &HeaderName, connection_listed: &[String]) -> bool {
    let name = name.as_str();
    HOP_BY_HOP_HEADERS.contains(&name) || connection_listed.iter().any(|other| other == name)
}

/// Returns the lower-case names listed in `Connection`; these headers are hop-by-hop too.
fn connection_names(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}

/// Returns the trimmed value of a header that may occur once, `None` if it is absent.
fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
    max_bytes: usize,
) -> Result<Option<&'a str>, CallProblem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(malformed(format!("the header {name} must not be repeated")));
    }
    if value.len() > max_bytes {
        let detail = format!("the header {name} may have at most {max_bytes} bytes");
        return Err(CallProblem::not_run(InterfaceReason::HeaderTooLarge, detail));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err(malformed(format!("the header {name} must be visible ASCII"))),
    }
}

fn read_class(text: &str) -> Result<RequestClass, CallProblem> {
    let found = RequestClass::ALL.into_iter().find(|class| class.as_str() == text);
    found.ok_or_else(|| malformed("Coltsfoothook-Class must be urgent, scheduled or audit"))
}

fn read_deadline(text: &str, settings: &CallerSettings) -> Result<u64, CallProblem> {
    let max_ms = settings.deadline_ms;
    let parsed = text.parse().ok().filter(|millis| (1..=max_ms).contains(millis));
    parsed.ok_or_else(|| malformed(format!("Coltsfoothook-Deadline-Ms must be from 1 to {max_ms}")))
}

fn read_flag(name: &str, text: &str) -> Result<bool, CallProblem> {
    text.parse().map_err(|_| malformed(format!("Coltsfoothook-{name} must be true or false")))
}

fn read_key(text: &str, settings: &CallerSettings) -> Result<IdempotencyKey, CallProblem> {
    check_id("Idempotency-Key", text, settings.id_bytes)?;
    Ok(text.into())
}

fn malformed(detail: impl Into<String>) -> CallProblem {
    CallProblem::not_run(InterfaceReason::MalformedRequest, detail)
}
