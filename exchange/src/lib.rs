//! An HTTP/1.1 client that reports exactly how far each exchange with a backend server or the
//! platform got.
//!
//! A request certainly did not run only if none of its bytes left this process. The usual pooled
//! clients hide this, because they resend a request when a pooled connection turns out to be dead.
//! [`ExchangeClient`] pools connections too, but counts the bytes that the kernel accepted, never
//! resends a request once a byte of it was written, and opens a new connection for a request that
//! demands one ([`ExchangeRequest::fresh`]). docs/STANDINS.md describes how tests induce a failure
//! at each stage.
//!
//! ```no_run
//! # async fn example() -> Result<(), coltsfoothook_exchange::ExchangeError> {
//! use coltsfoothook_exchange::{ExchangeClient, ExchangeRequest, ExchangeSettings};
//!
//! let client = ExchangeClient::new(ExchangeSettings::default());
//! let address = "127.0.0.1:8000".parse().unwrap();
//! let answer = client.send(address, ExchangeRequest::get("/health")).await?;
//! let body = answer.body.collect(1024).await?;
//! # Ok(()) }
//! ```

mod answer;
mod client;
mod counted;
mod dialer;
mod error;
mod pool;

pub use answer::{BodyFraming, ExchangeResponse, ResponseBody};
pub use client::{ExchangeClient, ExchangeRequest, ExchangeSettings, path_segment};
pub use dialer::{DialFuture, ServerDialer, TcpDialer};
pub use error::{ExchangeError, ExchangeStage};
