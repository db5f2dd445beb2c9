//! The error that the client returns for each stage at which a call to a plain service can fail.

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

/// A call makes one ticket and returns its number; hop-by-hop headers are not forwarded.
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

/// The connection is cut before or after the ticket is made. Neither may count as "not run", since
/// the client cannot distinguish them and a resend after the second would make a duplicate ticket.
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

/// An answer that is cut within its body ends with an error and not as a short body.
#[tokio::test]
async fn cut_amid() {
    let (service, client) = quick_service().await;
    service.set_faults(ServiceFaults { cut_amid: 1, ..Default::default() });
    let answer = client.call(service.address(), ticket_call("t-1")).await.unwrap();
    let error = ServiceError::from(answer.body.collect(1_000).await.unwrap_err());
    assert!(matches!(error, ServiceError::Broken { .. }), "{error:?}");
    service.shutdown().await;
}

/// A timeout leaves the effect of a call unknown. A call to a stopped service was certainly not
/// sent.
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

/// An answer longer than the reader's limit ends with an error instead of exhausting memory.
#[tokio::test]
async fn answer_limit() {
    let (service, client) = quick_service().await;
    let answer = client.call(service.address(), ServiceCall::get("/readings")).await.unwrap();
    let error = ServiceError::from(answer.body.collect(8).await.unwrap_err());
    assert_eq!(error, ServiceError::TooLarge { limit: 8 });
    service.shutdown().await;
}
