//! Resource consumption of a local site over a period.

use std::ops::Sub;
use std::time::{Duration, Instant};

use coltsfoothook_demo::{LocalSite, OPERATOR_TOKEN, SiteClient, SiteFailure};
use coltsfoothook_telemetry::process_usage;
use serde::Serialize;

/// Counters of a site since its start, or their differences over a period.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct SiteFigures {
    /// Wall-clock seconds.
    pub(crate) seconds: f64,
    /// CPU seconds of the process: VMs, stand-in servers and callers.
    pub(crate) cpu_s: f64,
    /// Control bytes sent and received, over all VMs; a message between two VMs counts at both.
    pub(crate) bytes: f64,
    /// The part of `bytes` that belongs to grants and releases.
    pub(crate) grant_bytes: f64,
    /// The part of `bytes` that belongs to probes.
    pub(crate) probe_bytes: f64,
    /// Control messages sent and received, counted like `bytes`.
    pub(crate) messages: f64,
    /// The part of `messages` that belongs to grants and releases.
    pub(crate) grant_messages: f64,
    /// Appends that the log accepted.
    pub(crate) appends: f64,
    /// Records in these appends.
    pub(crate) records: f64,
    /// Reads that the log answered.
    pub(crate) reads: f64,
}

impl SiteFigures {
    /// Reads the counters of a site; `seconds` counts from `origin`.
    ///
    /// # Errors
    ///
    /// The metrics of a VM cannot be read.
    pub(crate) async fn read(site: &LocalSite, origin: Instant) -> Result<Self, SiteFailure> {
        let mut figures = Self::default();
        for address in site.operators() {
            let text = SiteClient::new(address, OPERATOR_TOKEN).text("/metrics").await?;
            figures.add_page(&text);
        }
        let counters = site.platform.counters();
        figures.appends = counters.appends as f64;
        figures.records = counters.records as f64;
        figures.reads = counters.reads as f64;
        figures.cpu_s = process_usage().cpu_seconds;
        figures.seconds = origin.elapsed().as_secs_f64();
        Ok(figures)
    }

    /// Waits for `time` and returns the site's consumption in it.
    ///
    /// # Errors
    ///
    /// The metrics of a VM cannot be read.
    pub(crate) async fn during(site: &LocalSite, time: Duration) -> Result<Self, SiteFailure> {
        let origin = Instant::now();
        let before = Self::read(site, origin).await?;
        tokio::time::sleep(time).await;
        Ok(Self::read(site, origin).await? - before)
    }

    fn add_page(&mut self, text: &str) {
        for line in text.lines() {
            let Some((series, value)) = line.rsplit_once(' ') else { continue };
            let value: f64 = value.parse().unwrap_or_default();
            let kind = |name: &str| series.contains(&format!("kind=\"{name}\""));
            if series.starts_with("coltsfoothook_control_bytes_total") {
                self.bytes += value;
                self.grant_bytes += if kind("grant") { value } else { 0.0 };
                self.probe_bytes += if kind("probe") { value } else { 0.0 };
            } else if series.starts_with("coltsfoothook_control_messages_total") {
                self.messages += value;
                self.grant_messages += if kind("grant") { value } else { 0.0 };
            }
        }
    }
}

impl Sub for SiteFigures {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self {
            seconds: self.seconds - before.seconds,
            cpu_s: self.cpu_s - before.cpu_s,
            bytes: self.bytes - before.bytes,
            grant_bytes: self.grant_bytes - before.grant_bytes,
            probe_bytes: self.probe_bytes - before.probe_bytes,
            messages: self.messages - before.messages,
            grant_messages: self.grant_messages - before.grant_messages,
            appends: self.appends - before.appends,
            records: self.records - before.records,
            reads: self.reads - before.reads,
        }
    }
}
