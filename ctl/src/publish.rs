//! Idempotent publication of manifests and deltas.

use std::time::{Duration, Instant};

use coltsfoothook_decision::id::ConfigVersion;
use coltsfoothook_decision::record::ConfigChange;
use coltsfoothook_operator::{FleetStatus, PublishCall, PublishedAnswer};
use http::Method;
use serde::Serialize;
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::client::EntryClient;
use crate::document::ManifestFile;
use crate::error::CtlError;
use crate::report::CtlReport;

/// Interval between polls of the VMs' status.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of bytes of the SHA-256 hash in a derived id; enough to make collisions negligible.
const ID_BYTES: usize = 16;

/// Derives the id of a publication from its change and its base, so that publishing the same change
/// on the same base again is recognised as a repeat. A change and its later reversal have different
/// bases and so different ids.
fn derived_id(base: ConfigVersion, change: &ConfigChange) -> Result<String, CtlError> {
    let json = serde_json::to_vec(change).map_err(|error| CtlError::usage(error.to_string()))?;
    let mut hasher = Sha256::new();
    hasher.update(base.0.to_le_bytes());
    hasher.update(&json);
    Ok(format!("ctl-{}", hexadecimal(&hasher.finalize()[..ID_BYTES])))
}

/// Formats bytes as lower-case hexadecimal digits.
pub(crate) fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A publication as requested on the command line.
pub(crate) struct PublishRequest {
    pub(crate) base: ConfigVersion,
    /// With `None` the id is derived from the change and its base.
    pub(crate) publish_id: Option<String>,
    /// How long to wait until the version is in force at every VM; `None` does not wait.
    pub(crate) everywhere: Option<Duration>,
    /// Whether the file is a delta.
    pub(crate) delta: bool,
}

/// Publishes the manifest or delta in `file` and reports the resulting version.
pub(crate) async fn publish(
    client: &EntryClient,
    file: &ManifestFile,
    request: PublishRequest,
) -> Result<CtlReport, CtlError> {
    let change = if request.delta {
        ConfigChange::Delta(file.delta()?)
    } else {
        ConfigChange::Whole(file.manifest()?)
    };
    let publish_id = match request.publish_id {
        Some(publish_id) => publish_id,
        None => derived_id(request.base, &change)?,
    };
    let call = PublishCall { base: request.base, publish_id, change };
    let sent = client.change(Method::POST, "/v1/publish", &call).await;
    let published: PublishedAnswer =
        sent.map_err(|error| with_details(error, file, request.base))?;
    let what = if published.repeated { "was in force already, as" } else { "is in force as" };
    let mut text = format!("the change {what} version {}", published.version);
    let mut json = json!({
        "exit": 0,
        "version": published.version,
        "repeated": published.repeated,
        "publish_id": call.publish_id,
    });
    if let Some(limit) = request.everywhere {
        let reached = wait_everywhere(client, published.version, limit).await?;
        text = format!("{text}, at every VM after {} ms", reached.after_ms);
        json["everywhere"] = serde_json::to_value(&reached).unwrap_or_default();
    }
    Ok(CtlReport::done(text, &json))
}

/// Adds to an error what an operator needs to proceed: the locations of faults in the file, or the
/// version in force.
fn with_details(error: CtlError, file: &ManifestFile, base: ConfigVersion) -> CtlError {
    let CtlError::Problem { mut document } = error else { return error };
    if !document.faults.is_empty() {
        return file.invalid(&document.faults);
    }
    if let Some(in_force) = document.in_force {
        document.detail = format!(
            "version {in_force} is in force and this change builds on {base}; nothing changed. \
             Check `diff`, then publish with --base {in_force}"
        );
    }
    CtlError::Problem { document }
}

#[derive(Serialize)]
struct EverywhereReport {
    vms: usize,
    after_ms: u64,
}

/// Polls the status until every known VM has `version` or a later one in force. After `limit` the
/// outcome is unknown.
async fn wait_everywhere(
    client: &EntryClient,
    version: ConfigVersion,
    limit: Duration,
) -> Result<EverywhereReport, CtlError> {
    let start = Instant::now();
    loop {
        let status: FleetStatus = client.get("/v1/status").await?;
        let outdated = status
            .vms
            .iter()
            .filter(|vm| vm.reply.as_ref().is_none_or(|reply| reply.config < version));
        let outdated: Vec<&str> = outdated.map(|vm| vm.vm.as_str()).collect();
        if outdated.is_empty() {
            let after_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            return Ok(EverywhereReport { vms: status.vms.len(), after_ms });
        }
        if start.elapsed() >= limit {
            let message = format!(
                "version {version} is accepted but not yet in force at {}",
                outdated.join(", ")
            );
            return Err(CtlError::Unknown { attempts: vec![message] });
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}
