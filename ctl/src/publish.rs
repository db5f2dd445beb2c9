//! Publishing a change, so that repeating it is safe.

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

/// The pause between two looks at the status of all VMs.
const EVERYWHERE_PAUSE: Duration = Duration::from_millis(200);
/// Bytes of the hash that an id is made of; collisions are out of reach.
const ID_BYTES: usize = 16;

/// The id of a publication, made from what it changes and its base. The same file published again
/// on the same base has the same id, so a pipeline that repeats a step changes nothing twice; a
/// change and its later reversal have different bases and so different ids.
fn derived_id(base: ConfigVersion, change: &ConfigChange) -> Result<String, CtlError> {
    let json = serde_json::to_vec(change).map_err(|error| CtlError::usage(error.to_string()))?;
    let mut hasher = Sha256::new();
    hasher.update(base.0.to_le_bytes());
    hasher.update(&json);
    Ok(format!("ctl-{}", hexadecimal(&hasher.finalize()[..ID_BYTES])))
}

/// Bytes in hexadecimal.
pub(crate) fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A publication as asked for on the command line.
pub(crate) struct PublishOrder {
    pub(crate) base: ConfigVersion,
    pub(crate) publish_id: Option<String>,
    pub(crate) everywhere: Option<Duration>,
    pub(crate) delta: bool,
}

/// Publishes what stands in `file` and reports what became of it.
pub(crate) async fn publish(
    client: &EntryClient,
    file: &ManifestFile,
    order: PublishOrder,
) -> Result<CtlReport, CtlError> {
    let change = if order.delta {
        ConfigChange::Delta(file.delta()?)
    } else {
        ConfigChange::Whole(file.manifest()?)
    };
    let publish_id = match order.publish_id {
        Some(publish_id) => publish_id,
        None => derived_id(order.base, &change)?,
    };
    let call = PublishCall { base: order.base, publish_id, change };
    let sent = client.change(Method::POST, "/v1/publish", &call).await;
    let published: PublishedAnswer = sent.map_err(|error| explained(error, file, order.base))?;
    let what = if published.repeated { "was in force already, as" } else { "is in force as" };
    let mut text = format!("the change {what} version {}", published.version);
    let mut json = json!({
        "exit": 0,
        "version": published.version,
        "repeated": published.repeated,
        "publish_id": call.publish_id,
    });
    if let Some(limit) = order.everywhere {
        let reached = everywhere(client, published.version, limit).await?;
        text = format!("{text}, at every VM after {} ms", reached.after_ms);
        json["everywhere"] = serde_json::to_value(&reached).unwrap_or_default();
    }
    Ok(CtlReport::done(text, &json))
}

/// Adds what an operator needs to go on: places in the file, or what won the race.
fn explained(error: CtlError, file: &ManifestFile, base: ConfigVersion) -> CtlError {
    let CtlError::Problem { mut document } = error else { return error };
    if !document.faults.is_empty() {
        return file.faulty(&document.faults);
    }
    if let Some(in_force) = document.in_force {
        document.detail = format!(
            "version {in_force} is in force and this change builds on {base}; nothing changed. \
             Look at `diff`, then publish with --base {in_force}"
        );
    }
    CtlError::Problem { document }
}

#[derive(Serialize)]
struct EverywhereReport {
    vms: usize,
    after_ms: u64,
}

/// Waits until every VM that is known has `version` in force.
async fn everywhere(
    client: &EntryClient,
    version: ConfigVersion,
    limit: Duration,
) -> Result<EverywhereReport, CtlError> {
    let start = Instant::now();
    loop {
        let status: FleetStatus = client.get("/v1/status").await?;
        let behind = status
            .vms
            .iter()
            .filter(|vm| vm.reply.as_ref().is_none_or(|reply| reply.config < version));
        let behind: Vec<&str> = behind.map(|vm| vm.vm.as_str()).collect();
        if behind.is_empty() {
            let after_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            return Ok(EverywhereReport { vms: status.vms.len(), after_ms });
        }
        if start.elapsed() >= limit {
            let message =
                format!("version {version} is accepted but not seen at {}", behind.join(", "));
            return Err(CtlError::Unknown { attempts: vec![message] });
        }
        tokio::time::sleep(EVERYWHERE_PAUSE).await;
    }
}
