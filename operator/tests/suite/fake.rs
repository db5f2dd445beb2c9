//! A handler with scripted answers that records its calls, and a client.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use coltsfoothook_decision::id::{RequestFingerprint, RequestId};
use coltsfoothook_operator::{
    DrainKind, ExplainAnswer, FleetStatus, HealthAnswer, ManifestAnswer, OperatorAuth,
    OperatorHandler, OperatorServer, OperatorSettings, PublishAnswer, PublishCall, WriteAnswer,
};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

pub const TOKEN: &str = "operator-token";

/// Answers publications with `answer`, or `NotReady` if it is not set. Records publications, drains
/// and lifts in `calls`.
#[derive(Default)]
pub struct FakeHandler {
    pub answer: Mutex<Option<PublishAnswer>>,
    pub calls: Mutex<Vec<String>>,
}

impl FakeHandler {
    fn record_call(&self, call: String) {
        self.calls.lock().expect("a lock").push(call);
    }
}

#[async_trait]
impl OperatorHandler for FakeHandler {
    async fn manifest(&self) -> Option<ManifestAnswer> {
        None
    }

    async fn publish(&self, call: PublishCall) -> PublishAnswer {
        self.record_call(format!("publish {} on {}", call.publish_id, call.base));
        let answer = self.answer.lock().expect("a lock").clone();
        answer.unwrap_or(PublishAnswer::NotReady)
    }

    async fn status(&self) -> FleetStatus {
        FleetStatus { asked: "e1".into(), vms: Vec::new() }
    }

    async fn drain(&self, kind: DrainKind, name: &str, draining: bool) -> WriteAnswer {
        self.record_call(format!("drain {kind:?} {name} {draining}"));
        if name == "gone" { WriteAnswer::UnknownName } else { WriteAnswer::Written }
    }

    async fn explain(&self, _id: &RequestId) -> ExplainAnswer {
        ExplainAnswer { replies: Vec::new() }
    }

    async fn lift(&self, fingerprint: RequestFingerprint) -> WriteAnswer {
        self.record_call(format!("lift {fingerprint}"));
        WriteAnswer::Unknown
    }

    fn metrics(&self) -> String {
        "up 1\n".to_owned()
    }

    fn health(&self) -> HealthAnswer {
        HealthAnswer { ready: true, reason: String::new() }
    }
}

struct FakeAuth;

impl OperatorAuth for FakeAuth {
    fn is_operator(&self, token: &str) -> bool {
        token == TOKEN
    }
}

/// A server on a free port with its handler.
pub struct Running {
    pub server: OperatorServer,
    pub handler: Arc<FakeHandler>,
}

/// Starts a server that allows 4,096 bytes for a body and accepts [`TOKEN`] as the only token.
pub fn start() -> Running {
    let handler = Arc::new(FakeHandler::default());
    let settings = OperatorSettings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        body_bytes: 4_096,
        ..Default::default()
    };
    let server = OperatorServer::start(&settings, handler.clone(), Arc::new(FakeAuth), None);
    Running { server: server.expect("a free port"), handler }
}

impl Running {
    /// Sends a call and returns status, content type and body of the response.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        token: &str,
        body: &str,
    ) -> (u16, String, String) {
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.server.address()))
            .header("authorization", format!("Bearer {token}"))
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("a request");
        let response: Response<_> = client.request(request).await.expect("an answer");
        let kind = response.headers().get("content-type").map(|kind| kind.to_str().expect("text"));
        let (status, kind) = (response.status().as_u16(), kind.unwrap_or_default().to_owned());
        let body = response.into_body().collect().await.expect("a body").to_bytes();
        (status, kind, String::from_utf8(body.to_vec()).expect("text"))
    }

    /// Sends a call with the operator's token. Returns the status with the body, or for a problem
    /// document with its reason, outcome and detail.
    pub async fn outcome(&self, method: &str, path: &str, body: &str) -> String {
        let (status, kind, body) = self.call(method, path, TOKEN, body).await;
        if kind != "application/problem+json" {
            return format!("{status} {body}");
        }
        let problem: serde_json::Value = serde_json::from_str(&body).expect("a document");
        format!("{status} {} {}: {}", problem["reason"], problem["outcome"], problem["detail"])
    }
}
