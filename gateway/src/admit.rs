//! Admission: finds a request's route and customer, and checks the customer's key.

use std::time::Duration;

use coltsfoothook_decision::admission::{KeyVerdict, check_key};
use coltsfoothook_decision::credential::CredentialHash;
use coltsfoothook_decision::id::{CustomerName, TimePoint};
use coltsfoothook_decision::routing::{RouteTable, ServingRoute};
use coltsfoothook_platform::{KeyFault, take_key};
use http::{HeaderMap, StatusCode};

use crate::clock;
use crate::confirm;
use crate::refusal::{Refusal, RefusalGrounds};
use crate::state::Gateway;

/// `Retry-After`, in seconds, of a VM that cannot check keys at present. It is short because the caller retries
/// at another VM.
const OTHER_VM_RETRY_S: f64 = 0.2;

/// The fraction of the promised time for a new configuration (`config_ms`) during which a key that was found to
/// be wrong is refused without another confirmation by the store.
const WRONG_KEY_FRACTION: f64 = 0.8;

/// A request whose route exists and whose key, if the route needs one, is valid.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) route: ServingRoute,
    pub(crate) customer: Option<CustomerName>,
    /// Index among the ranks of the configuration; 0 goes first.
    pub(crate) rank: u8,
    /// Version of the configuration that admitted it.
    pub(crate) config: u64,
    /// Whether the configuration has customers; keys are then removed before requests are forwarded.
    pub(crate) keyed: bool,
}

/// Removes the key from a request's head and returns its hash, if the configuration has customers.
///
/// Without customers the header is left in place and forwarded to the servers.
pub(crate) fn read_key(
    table: &RouteTable,
    headers: &mut HeaderMap,
) -> Result<Option<CredentialHash>, Refusal> {
    let config = table.version.0;
    if table.customers().is_empty() {
        return Ok(None);
    }
    match take_key(headers) {
        Ok(key) => Ok(key),
        Err(KeyFault::Repeated) => {
            Err(Refusal::new(StatusCode::BAD_REQUEST, "several_keys", config))
        }
        // No customer can have an unreadable key, so the request is judged as one without a key.
        Err(KeyFault::Unreadable) => Ok(None),
    }
}

/// Finds a request's route and customer, or returns the refusal. `find` looks the route up in a table.
///
/// Callers do not retry after a 401, and an unknown key may belong to a configuration that this VM has not
/// received. An unknown key is therefore judged again once the store has confirmed that there is no newer
/// configuration. Keys already found to be wrong skip the confirmation while the last one is recent enough
/// (see [`is_wrong`]).
pub(crate) async fn admit(
    gateway: &Gateway,
    key: Option<&CredentialHash>,
    find: impl Fn(&RouteTable) -> Option<ServingRoute>,
    started: TimePoint,
) -> Result<AdmittedRequest, Refusal> {
    match judge(gateway, key, &find)? {
        Judgement::Admitted(request) => return Ok(request),
        Judgement::Unconfirmed(refusal) => return Err(refusal),
        Judgement::Unknown => {}
    }
    let confirmed = is_wrong(gateway, key) || confirm::confirm_since(gateway, started).await;
    match judge(gateway, key, &find)? {
        Judgement::Admitted(request) => Ok(request),
        Judgement::Unconfirmed(refusal) => Err(refusal),
        Judgement::Unknown => {
            let mut view = gateway.view();
            let config = view.table.as_ref().map_or(0, |table| table.version.0);
            if let Some(key) = key.filter(|_| confirmed) {
                view.wrong_keys.insert(*key);
            }
            Err(if confirmed {
                Refusal::new(StatusCode::UNAUTHORIZED, "unknown_key", config)
            } else {
                try_another_vm("key_in_doubt", config)
            })
        }
    }
}

/// Returns whether a missing key, or one that was found to be wrong before, can be refused without querying the
/// store: the configuration was confirmed so recently that a newer one need not be in force yet.
fn is_wrong(gateway: &Gateway, key: Option<&CredentialHash>) -> bool {
    let due =
        Duration::from_millis(gateway.settings.promises.config_ms).mul_f64(WRONG_KEY_FRACTION);
    let view = gateway.view();
    let age = view.confirmation.age(clock::now());
    age.is_some_and(|age| age < due) && key.is_none_or(|key| view.wrong_keys.contains(key))
}

enum Judgement {
    Admitted(AdmittedRequest),
    /// No customer of the present configuration has the key.
    Unknown,
    /// The configuration was confirmed too long ago to judge keys by it.
    Unconfirmed(Refusal),
}

fn judge(
    gateway: &Gateway,
    key: Option<&CredentialHash>,
    find: &impl Fn(&RouteTable) -> Option<ServingRoute>,
) -> Result<Judgement, Refusal> {
    let view = gateway.view();
    let Some(table) = view.table.clone() else {
        return Err(try_another_vm("no_configuration", 0));
    };
    let confirmation = view.confirmation;
    drop(view);
    let config = table.version.0;
    let route =
        find(&table).ok_or_else(|| Refusal::new(StatusCode::NOT_FOUND, "no_route", config))?;
    Ok(match check_key(&table, &route, key, &confirmation, clock::now()) {
        KeyVerdict::Admitted(plan) => Judgement::Admitted(AdmittedRequest {
            customer: plan.map(|plan| plan.name.clone()),
            rank: table.rank(&route, plan),
            keyed: !table.customers().is_empty(),
            route,
            config,
        }),
        KeyVerdict::Unknown => Judgement::Unknown,
        KeyVerdict::Unconfirmed => {
            let refusal = try_another_vm("config_unconfirmed", config);
            let confirmed_ms = confirmation.age(clock::now()).map(|age| age.as_millis());
            let grounds = RefusalGrounds { confirmed_ms, ..RefusalGrounds::default() };
            Judgement::Unconfirmed(refusal.with_grounds(grounds))
        }
    })
}

/// Returns the refusal of a VM that cannot judge the request now. Its `Retry-After` sends the caller to another VM.
fn try_another_vm(reason: &'static str, config: u64) -> Refusal {
    let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason, config);
    Refusal { retry_s: Some(OTHER_VM_RETRY_S), ..refusal }
}
