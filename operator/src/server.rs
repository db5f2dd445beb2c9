//! The HTTP server for operators and its settings.

use std::net::SocketAddr;
use std::sync::Arc;

use coltsfoothook_settings::settings_struct;
use coltsfoothook_telemetry::event;
use dropshot::{
    ApiDescription, ApiEndpoint, ApiEndpointVersions, Body, ConfigDropshot, ConfigTls,
    HandlerTaskMode, HttpError, HttpServer, Path, RawRequest, RequestContext, ServerBuilder,
};
use http::{Method, Response};
use schemars::JsonSchema;
use serde::Deserialize;
use snafu::Snafu;

use crate::handler::{OperatorAuth, OperatorHandler};
use crate::interface::OperatorInterface;

settings_struct! {
    /// The HTTP interface for operators.
    pub struct OperatorSettings {
        /// The address to listen on for operators.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 8081));
        /// The maximum size of a body in bytes; a manifest of 16,000 adapters has some 5 MB.
        pub body_bytes: usize = 32 << 20, in 1_024..=256 << 20;
        /// The timeout for a complete request body in milliseconds.
        pub body_timeout_ms: u64 = 30_000, in 100..=600_000;
        /// Whether metrics are served without a token, for collectors that cannot send one.
        pub open_metrics: bool = false;
    }
}

/// The methods registered for the catch-all route, so that calls to unknown paths are also answered
/// with problem documents.
const METHODS: [Method; 7] = [
    Method::GET,
    Method::POST,
    Method::PUT,
    Method::DELETE,
    Method::PATCH,
    Method::HEAD,
    Method::OPTIONS,
];

/// The server could not be started.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address could not be bound, or the TLS settings are invalid.
    #[snafu(display("cannot listen for operators at {listen}: {reason}"))]
    Listen {
        /// The configured address.
        listen: SocketAddr,
        /// The error message of dropshot.
        reason: String,
    },
    /// dropshot rejected the registration of the catch-all route.
    #[snafu(display("invalid route of the operators' interface: {reason}"))]
    Route {
        /// The error message of dropshot.
        reason: String,
    },
}

/// The running HTTP server for operators.
pub struct OperatorServer {
    server: HttpServer<Arc<OperatorInterface>>,
}

impl OperatorServer {
    /// Starts the server. Without `tls` it serves plain HTTP; the process's settings decide whether
    /// that is allowed.
    ///
    /// # Errors
    ///
    /// The address is in use or not local, or the TLS settings are invalid.
    pub fn start(
        settings: &OperatorSettings,
        handler: Arc<dyn OperatorHandler>,
        auth: Arc<dyn OperatorAuth>,
        tls: Option<rustls::ServerConfig>,
    ) -> Result<Self, StartError> {
        let listen = settings.listen;
        let config = ConfigDropshot {
            bind_address: listen,
            default_request_body_max_bytes: settings.body_bytes,
            // A publication continues when its operator disconnects, since its record may already
            // be in the log.
            default_handler_task_mode: HandlerTaskMode::Detached,
            ..Default::default()
        };
        let interface = Arc::new(OperatorInterface { settings: settings.clone(), handler, auth });
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let built = ServerBuilder::new(describe_api()?, interface, log)
            .config(config)
            .tls(tls.map(ConfigTls::Dynamic))
            .start();
        let server =
            built.map_err(|error| StartError::Listen { listen, reason: error.to_string() })?;
        Ok(Self { server })
    }

    /// Returns the bound address, with the actual port if port 0 was configured.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops accepting connections and returns when the last running call has ended.
    pub async fn close(self) {
        if let Err(reason) = self.server.close().await {
            event!(ProcessFailed, part = "operator", reason = reason);
        }
    }
}

fn describe_api() -> Result<ApiDescription<Arc<OperatorInterface>>, StartError> {
    let mut api = ApiDescription::new();
    for method in METHODS {
        let name = format!("operate_{}", method.as_str().to_ascii_lowercase());
        let versions = ApiEndpointVersions::All;
        let endpoint =
            ApiEndpoint::new(name, serve, method, "application/json", "/{path:.*}", versions);
        let registered = api.register(endpoint.visible(false));
        registered.map_err(|error| StartError::Route { reason: error.to_string() })?;
    }
    Ok(api)
}

/// The parameter of the catch-all route: the decoded segments of the path.
#[derive(Deserialize, JsonSchema)]
struct AnyPath {
    path: Vec<String>,
}

async fn serve(
    context: RequestContext<Arc<OperatorInterface>>,
    path: Path<AnyPath>,
    request: RawRequest,
) -> Result<Response<Body>, HttpError> {
    let interface = Arc::clone(context.context());
    Ok(interface.answer(&path.into_inner().path, request.into_inner()).await)
}
