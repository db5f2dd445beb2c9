//! Client of plain services: backend servers with an HTTP interface that are not model engines.
//!
//! A call is forwarded with its method, path, headers and body. Some calls must not be repeated, so
//! [`HttpService`] sends each at most once, and [`ServiceError`] states the stage at which a call failed.
//!
//! ```no_run
//! # async fn example() -> Result<(), coltsfoothook_service::ServiceError> {
//! use coltsfoothook_service::{HttpService, ServiceCall, ServiceClient, ServiceSettings};
//!
//! let service = HttpService::new(ServiceSettings::default());
//! let address = "127.0.0.1:9100".parse().unwrap();
//! let answer = service.call(address, ServiceCall::get("/readings")).await?;
//! println!("{}", answer.status);
//! # Ok(()) }
//! ```

mod client;

pub use client::{
    HttpService, ServiceAnswer, ServiceCall, ServiceClient, ServiceError, ServiceSettings,
};
