//! The HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiEndpoint, ApiEndpointVersions, Body, ConfigDropshot, ConfigTls,
    HandlerTaskMode, HttpError, HttpServer, Path, RawRequest, RequestContext, ServerBuilder,
};
use http::{Method, Response};
use schemars::JsonSchema;
use serde::Deserialize;
use snafu::Snafu;

use crate::face::CallerFace;
use crate::handler::CallHandler;
use crate::settings::CallerSettings;

/// The methods that the server takes; others are refused by the HTTP library.
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
    #[snafu(display("the callers' face did not start at {listen}: {reason}"))]
    Listen {
        /// Where it should listen.
        listen: SocketAddr,
        /// The library's reason.
        reason: String,
    },
    /// A route was refused.
    #[snafu(display("the callers' face has a broken route: {reason}"))]
    Route {
        /// The library's reason.
        reason: String,
    },
}

/// The running callers' face.
pub struct CallerServer {
    server: HttpServer<Arc<CallerFace>>,
}

impl CallerServer {
    /// Starts to listen. Without `tls` it speaks plain HTTP; whether that is allowed is for the
    /// settings of the process to say.
    ///
    /// # Errors
    ///
    /// The address is taken or not local.
    pub fn start(
        settings: CallerSettings,
        handler: Arc<dyn CallHandler>,
        tls: Option<rustls::ServerConfig>,
    ) -> Result<Self, StartError> {
        let listen = settings.listen;
        let config = ConfigDropshot {
            bind_address: listen,
            default_request_body_max_bytes: settings.body_bytes,
            // A caller that goes away must not leave its request running: the handler's future is
            // dropped with the connection, and its guards cancel at the engine.
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..Default::default()
        };
        let face = Arc::new(CallerFace { settings, handler });
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let built = ServerBuilder::new(describe_api()?, face, log)
            .config(config)
            .tls(tls.map(ConfigTls::Dynamic))
            .start();
        let server = built.map_err(|error| StartError::Listen { listen, reason: chain(&error) })?;
        Ok(Self { server })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops taking connections and returns when the last running answer has ended.
    ///
    /// Idle connections are closed at once. Connections that come meanwhile are neither taken nor
    /// refused until the end, so the caller of this function makes the handler refuse new work as
    /// "leaving" and lets the callers' kept lists of entry VMs run out first.
    pub async fn close(self) {
        if let Err(reason) = self.server.close().await {
            log::warn!("event=caller_close_failed reason={reason:?}");
        }
    }
}

fn describe_api() -> Result<ApiDescription<Arc<CallerFace>>, StartError> {
    let mut api = ApiDescription::new();
    for method in METHODS {
        let name = format!("call_{}", method.as_str().to_ascii_lowercase());
        let versions = ApiEndpointVersions::All;
        let endpoint =
            ApiEndpoint::new(name, serve, method, "application/json", "/{path:.*}", versions);
        let registered = api.register(endpoint.visible(false));
        registered.map_err(|error| StartError::Route { reason: error.to_string() })?;
    }
    Ok(api)
}

/// The variable of the one route. The face reads the path as the caller encoded it instead.
#[derive(Deserialize, JsonSchema)]
struct AnyPath {
    #[serde(rename = "path")]
    _path: Vec<String>,
}

async fn serve(
    context: RequestContext<Arc<CallerFace>>,
    _: Path<AnyPath>,
    request: RawRequest,
) -> Result<Response<Body>, HttpError> {
    Ok(context.context().answer(request.into_inner()).await)
}

/// An error with its causes.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}
