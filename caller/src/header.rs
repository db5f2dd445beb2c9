//! The request headers that the face reads, and those that are not passed on.

use coltsfoothook_decision::id::IdempotencyKey;
use coltsfoothook_decision::outcome::RequestClass;
use http::HeaderMap;
use http::header::{AUTHORIZATION, HeaderName};

use crate::problem::{CallProblem, FaceReason};
use crate::route::check_id;
use crate::settings::CallerSettings;

const IDEMPOTENCY_KEY: &str = "idempotency-key";
const REQUEST_ID: &str = "x-request-id";
const OWN_PREFIX: &str = "coltsfoothook-";
const CLASS: &str = "coltsfoothook-class";
const DEADLINE: &str = "coltsfoothook-deadline-ms";
const REPEATABLE: &str = "coltsfoothook-repeatable";
const FIRST_TRY: &str = "coltsfoothook-first-try";
/// The scheme of credentials.
const BEARER: &str = "bearer ";

/// Headers that concern one connection (RFC 9110, section 7.6.1), or whose value changes on the way.
const HOP_HEADERS: [&str; 11] = [
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

/// What the headers say of a call.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CallHeaders {
    pub(crate) class: Option<RequestClass>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) repeatable: Option<bool>,
    pub(crate) first_try: bool,
    pub(crate) key: Option<IdempotencyKey>,
}

/// Reads the headers of a call.
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

/// Reads the id that the caller gave its request.
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

/// Finds the bearer credential. Its value never appears in an error.
pub(crate) fn read_bearer<'a>(
    headers: &'a HeaderMap,
    settings: &CallerSettings,
) -> Result<&'a str, CallProblem> {
    let missing = || {
        let detail = "the header Authorization: Bearer with the tenant's credential is needed";
        CallProblem::not_run(FaceReason::Unauthenticated, detail)
    };
    let most = settings.credential_bytes + BEARER.len();
    let text = header_text(headers, AUTHORIZATION.as_str(), most)?.ok_or_else(missing)?;
    let scheme = text.get(..BEARER.len()).ok_or_else(missing)?;
    if !scheme.eq_ignore_ascii_case(BEARER) {
        return Err(missing());
    }
    Ok(text[BEARER.len()..].trim())
}

/// The headers that go on to a plain service: hop-by-hop ones, the tenant's credential and those
/// meant for the entry VM are left out. The idempotency key goes on, for services that keep keys.
pub(crate) fn forward_headers(headers: &HeaderMap) -> HeaderMap {
    let named = connection_names(headers);
    let kept = headers.iter().filter(|(name, _)| {
        !is_hop(name, &named) && **name != AUTHORIZATION && !name.as_str().starts_with(OWN_PREFIX)
    });
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// The headers that go back to the caller.
pub(crate) fn backward_headers(headers: &HeaderMap) -> HeaderMap {
    let named = connection_names(headers);
    let kept = headers.iter().filter(|(name, _)| !is_hop(name, &named));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn is_hop(name: &HeaderName, named: &[String]) -> bool {
    let name = name.as_str();
    HOP_HEADERS.contains(&name) || named.iter().any(|other| other == name)
}

/// Headers that `Connection` names are hop-by-hop too.
fn connection_names(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
    most: usize,
) -> Result<Option<&'a str>, CallProblem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(malformed(format!("the header {name} may stand only once")));
    }
    if value.len() > most {
        let detail = format!("the header {name} may have at most {most} bytes");
        return Err(CallProblem::not_run(FaceReason::HeaderTooLarge, detail));
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
    let most = settings.deadline_ms;
    let parsed = text.parse().ok().filter(|millis| (1..=most).contains(millis));
    parsed.ok_or_else(|| malformed(format!("Coltsfoothook-Deadline-Ms must be from 1 to {most}")))
}

fn read_flag(name: &str, text: &str) -> Result<bool, CallProblem> {
    text.parse().map_err(|_| malformed(format!("Coltsfoothook-{name} must be true or false")))
}

fn read_key(text: &str, settings: &CallerSettings) -> Result<IdempotencyKey, CallProblem> {
    check_id("Idempotency-Key", text, settings.id_bytes)?;
    Ok(text.into())
}

fn malformed(detail: impl Into<String>) -> CallProblem {
    CallProblem::not_run(FaceReason::MalformedRequest, detail)
}
