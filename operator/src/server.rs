//! The HTTP server.

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

use crate::face::OperatorFace;
use crate::handler::{OperatorAuth, OperatorHandler};

settings_struct! {
    /// The operators' face.
    pub struct OperatorSettings {
        /// Where operators connect.
        pub listen: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 8081));
        /// The most bytes in a body; a manifest of 16,000 adapters has some 5 MB.
        pub body_bytes: usize = 32 << 20, in 1_024..=256 << 20;
        /// The longest time for a body to arrive, in milliseconds.
        pub body_timeout_ms: u64 = 30_000, in 100..=600_000;
        /// Whether metrics are given without a token, for collectors that cannot send one.
        pub open_metrics: bool = false;
    }
}

/// One route takes all calls, so that a call to an unknown path gets a problem document too.
const METHODS: [Method; 7] = [
    Method::GET,
    Method::POST,
    Method::PUT,
    Method::DELETE,
    Method::PATCH,
    Method::HEAD,
    Method::OPTIONS,
];

/// The server did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address could not be bound or the TLS settings are broken.
    #[snafu(display("the operators' face did not start at {listen}: {reason}"))]
    Listen {
        /// Where it should listen.
        listen: SocketAddr,
        /// The library's reason.
        reason: String,
    },
    /// A route was refused.
    #[snafu(display("the operators' face has a broken route: {reason}"))]
    Route {
        /// The library's reason.
        reason: String,
    },
}

/// The running operators' face.
pub struct OperatorServer {
    server: HttpServer<Arc<OperatorFace>>,
}

impl OperatorServer {
    /// Starts to listen. Without `tls` it speaks plain HTTP; whether that is allowed is for the
    /// settings of the process to say.
    ///
    /// # Errors
    ///
    /// The address is taken or not local.
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
            // A publication goes on when its operator goes away: it may stand in the log already.
            default_handler_task_mode: HandlerTaskMode::Detached,
            ..Default::default()
        };
        let face = Arc::new(OperatorFace { settings: settings.clone(), handler, auth });
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let built = ServerBuilder::new(describe_api()?, face, log)
            .config(config)
            .tls(tls.map(ConfigTls::Dynamic))
            .start();
        let server =
            built.map_err(|error| StartError::Listen { listen, reason: error.to_string() })?;
        Ok(Self { server })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops taking connections and returns when the last running call has ended.
    pub async fn close(self) {
        if let Err(reason) = self.server.close().await {
            event!(ProcessFailed, part = "operator", reason = reason);
        }
    }
}

fn describe_api() -> Result<ApiDescription<Arc<OperatorFace>>, StartError> {
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

/// The variable of the one route: the segments of the path, decoded.
#[derive(Deserialize, JsonSchema)]
struct AnyPath {
    path: Vec<String>,
}

async fn serve(
    context: RequestContext<Arc<OperatorFace>>,
    path: Path<AnyPath>,
    request: RawRequest,
) -> Result<Response<Body>, HttpError> {
    let face = Arc::clone(context.context());
    Ok(face.answer(&path.into_inner().path, request.into_inner()).await)
}
