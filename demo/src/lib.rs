//! A complete site in one process, with a client and generated traffic for it.
//!
//! [`LocalSite`] runs entry VMs and stand-in servers as tasks on loopback ports. [`SiteClient`]
//! calls them over their public HTTP interface, and [`SiteTraffic`] generates load. The binary
//! `coltsfoothook-demo` runs [`run_demo`] and prints its report.
//!
//! ```no_run
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! use coltsfoothook_demo::{CompletionRequest, LocalSite, SiteClient, SiteSettings, credential};
//!
//! let site = LocalSite::start(SiteSettings::default()).await?;
//! let client = SiteClient::new(site.callers()[0], &credential(0));
//! let request = CompletionRequest { model: "adapter-00000@1".into(), ..Default::default() };
//! println!("{}", client.complete(&request).await?.text);
//! site.stop().await;
//! # Ok(()) }
//! ```

mod client;
mod show;
mod site;
mod traffic;

pub use client::{CompletionRequest, CompletionResponse, SiteClient, SiteFailure};
pub use show::{DemoFailure, DemoOptions, DemoReport, run_demo};
pub use site::{
    FIRST_VERSION, LocalSite, MODEL, OPERATOR_TOKEN, REGION, SERVICE, SiteError, SiteSettings,
    adapter_name, credential, site_manifest, tenant_name, version_entry, vm_name,
};
pub use traffic::{KnownEntries, SiteTraffic, TrafficCounts, TrafficSettings, TrafficTimes};
