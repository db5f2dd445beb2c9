//! Each stage at which a call to a plain service can fail.

use std::time::Duration;

use coltsfoothook_exchange::ExchangeStage;
use coltsfoothook_service::{
    HttpService, ServiceCall, ServiceClient, ServiceError, ServiceSettings,
};
use coltsfoothook_standin::{
    MadeTicket, ServiceFaults, ServiceHandle, ServiceServerSettings, start_service,
};
use http::{HeaderValue, Method};

async fn quick_service() -> (ServiceHandle, HttpService) {
    let service = start_service(ServiceServerSettings::default()).await.unwrap();
    (service, HttpService::new(ServiceSettings::default()))
}

fn ticket_call(id: &str) -> ServiceCall {
    let mut call = ServiceCall { method: Method::POST, ..ServiceCall::get("/tickets") };
    call.repeatable = false;
    call.headers.insert("idempotency-key", HeaderValue::from_str(id).unwrap());
    call
}

/// A ticket is made once and its number comes back; headers of one connection are not passed on.
#[tokio::test]
async fn ticket_made() {
    let (service, client) = quick_service().await;
    let mut call = ticket_call("t-1");
    call.headers.insert("connection", HeaderValue::from_static("close, x-hop"));
    call.headers.insert("x-hop", HeaderValue::from_static("1"));
    let answer = client.call(service.address(), call).await.unwrap();
    assert_eq!(answer.status, 201);
    let body = answer.body.collect(1_000).await.unwrap();
    let ticket: MadeTicket = serde_json::from_slice(&body).unwrap();
    assert_eq!(ticket, MadeTicket { ticket: 1, id: "t-1".to_owned() });
    service.shutdown().await;
}

/// The ticket is made and the answer lost, or neither: the technician's app must hear "unknown" in
/// both cases, since a resend after the second is harmless and after the first sends two people.
#[tokio::test]
async fn cut_stages() {
    let before = ServiceFaults { cut_before: 1, ..Default::default() };
    let after = ServiceFaults { cut_after: 1, ..Default::default() };
    for (faults, tickets) in [(before, 0), (after, 1)] {
        let (service, client) = quick_service().await;
        service.set_faults(faults);
        let error = client.call(service.address(), ticket_call("t-1")).await.unwrap_err();
        assert!(matches!(error, ServiceError::Sent { .. }), "{error:?}");
        assert!(!error.certainly_not_run());
        assert_eq!(service.counters().tickets, tickets);
        service.shutdown().await;
    }
}

/// The answer breaks off in the middle: it ran, and the body ends with an error, not early.
#[tokio::test]
async fn cut_amid() {
    let (service, client) = quick_service().await;
    service.set_faults(ServiceFaults { cut_amid: 1, ..Default::default() });
    let answer = client.call(service.address(), ticket_call("t-1")).await.unwrap();
    let error = ServiceError::from(answer.body.collect(1_000).await.unwrap_err());
    assert!(matches!(error, ServiceError::Broken { .. }), "{error:?}");
    service.shutdown().await;
}

/// A slow service: no answer in time says nothing of the effect. A service that is down never saw
/// the call.
#[tokio::test]
async fn slow_and_down() {
    let (service, client) = quick_service().await;
    service.set_faults(ServiceFaults { delay_ms: 60_000, ..Default::default() });
    let within = Some(Duration::from_millis(100));
    let call = ServiceCall { within, ..ticket_call("t-1") };
    let error = client.call(service.address(), call).await.unwrap_err();
    assert_eq!(error, ServiceError::Timeout { stage: ExchangeStage::Head });
    let address = service.address();
    service.shutdown().await;
    let error = client.call(address, ticket_call("t-2")).await.unwrap_err();
    assert!(matches!(error, ServiceError::NotSent { .. }), "{error:?}");
}

/// An answer longer than the reader's bound ends in an error instead of filling the memory.
#[tokio::test]
async fn answer_bound() {
    let (service, client) = quick_service().await;
    let answer = client.call(service.address(), ServiceCall::get("/readings")).await.unwrap();
    let error = ServiceError::from(answer.body.collect(8).await.unwrap_err());
    assert_eq!(error, ServiceError::TooLarge { limit: 8 });
    service.shutdown().await;
}
