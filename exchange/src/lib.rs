//! One HTTP/1.1 exchange with a backend server or the platform, with exact knowledge of how far it
//! came.
//!
//! Whether a request "did not run" depends on whether any of its bytes left this process. The
//! usual pooled clients blur this: they send a request again when a kept connection turns out to be
//! dead. [`ExchangeClient`] keeps connections too, but counts the bytes that the kernel took, never
//! sends a request a second time once one byte of it was written, and opens a connection of its own
//! for a request that asks for one. docs/STANDINS.md tells how each stage is induced in tests.
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
mod error;
mod pool;

pub use answer::{AnswerBody, ExchangeAnswer};
pub use client::{ExchangeClient, ExchangeRequest, ExchangeSettings, path_segment};
pub use error::{ExchangeError, ExchangeStage};
