//! Check of the platform's configuration.

use std::path::Path;

use coltsfoothook_decision::id::ServiceName;
use coltsfoothook_decision::route_check::{FindingCode, RouteFinding, check_change, check_routes};
use coltsfoothook_decision::routing::RouteTable;
use coltsfoothook_platform::{ConfigurationFault, read_configuration, read_registration};
use coltsfoothook_settings::{LocatedFault, SettingsDocument};
use serde_json::{Value, json};

use crate::arguments::ConfigurationArguments;
use crate::document::ManifestFile;
use crate::error::{CtlError, CtlExit};
use crate::report::CtlReport;

/// Top-level keys that a configuration has and neither a manifest nor a delta.
const CONFIG_MARKS: [&str; 2] = ["routes", "limits"];

/// Returns whether the file holds the platform's configuration rather than a manifest or delta.
pub(crate) fn is_configuration(file: &ManifestFile) -> Result<bool, CtlError> {
    let json = file.document()?.to_json();
    Ok(CONFIG_MARKS.iter().any(|key| json.get(key).is_some()))
}

/// Checks the platform's configuration and reports its findings.
pub(crate) fn check_configuration(
    file: &ManifestFile,
    arguments: &ConfigurationArguments,
) -> Result<CtlReport, CtlError> {
    let in_force = arguments.against.as_deref().map(read_in_force).transpose()?;
    let servers = arguments.servers.as_deref().map(read_servers).transpose()?;
    let (table, findings) = match read_configuration(file.text().as_bytes()) {
        Ok(table) => {
            let mut findings = check_routes(&table, servers.as_deref());
            findings.extend(in_force.iter().flat_map(|old| check_change(old, &table)));
            (Some(table), findings)
        }
        Err(ConfigurationFault { path, cause }) => {
            let detail = format!("VMs cannot decode the configuration and ignore it: {cause}");
            (None, vec![RouteFinding { code: FindingCode::Undecodable, path, detail }])
        }
    };
    let document = file.document()?;
    let mut report = report_findings(file.path(), &document, findings);
    report.json["version"] = json!(table.as_ref().map(|table| table.version));
    report.json["against"] = json!(in_force.as_ref().map(|table| table.version));
    report.json["servers"] = json!(servers.as_ref().map(Vec::len));
    if let Some(table) = table.filter(|_| report.exit == CtlExit::Done) {
        report.text = format!(
            "{}: no findings; version {}, {} routes, {} services, {} customers",
            file.path().display(),
            table.version,
            table.route_count(),
            table.services().len(),
            table.customers().plans().len()
        );
    }
    Ok(report)
}

fn read_in_force(path: &Path) -> Result<RouteTable, CtlError> {
    let file = ManifestFile::read(path)?;
    read_configuration(file.text().as_bytes()).map_err(|fault| {
        CtlError::usage(format!("{}: it cannot be decoded: {fault}", path.display()))
    })
}

/// Returns the service of each server in a file of entries. Entries that name no usable server are
/// left out, as at VMs.
fn read_servers(path: &Path) -> Result<Vec<ServiceName>, CtlError> {
    let json = ManifestFile::read(path)?.document()?.to_json();
    let Value::Object(entries) = json else {
        let message = format!("{}: it is not an object of entries by id", path.display());
        return Err(CtlError::usage(message));
    };
    let decoded = entries.iter().filter_map(|(id, entry)| {
        read_registration(id, entry.to_string().as_bytes(), 0).ok().map(|entry| entry.service)
    });
    Ok(decoded.collect())
}

/// Makes the report of findings, in the order of their places in the file.
fn report_findings(
    file: &Path,
    document: &SettingsDocument<'_>,
    findings: Vec<RouteFinding>,
) -> CtlReport {
    let located = findings.into_iter().map(|finding| {
        let place = document.locate(&finding.path);
        (
            finding.code,
            LocatedFault {
                place,
                path: finding.path,
                problem: finding.detail,
                allowed: String::new(),
            },
        )
    });
    let mut located: Vec<(FindingCode, LocatedFault)> = located.collect();
    located.sort_by_key(|(_, fault)| fault.place);
    let lines = located
        .iter()
        .map(|(code, fault)| format!("{}:{fault} [{}]", file.display(), code.as_str()));
    let text = lines.collect::<Vec<_>>().join("\n");
    let exit = if located.is_empty() { CtlExit::Done } else { CtlExit::Refused };
    let findings = located.iter().map(|(code, fault)| {
        json!({
            "code": code.as_str(),
            "difference": code.is_difference(),
            "file": file.display().to_string(),
            "line": fault.place.line,
            "column": fault.place.column,
            "path": fault.path,
            "problem": fault.problem,
        })
    });
    let json = json!({ "exit": exit as u8, "findings": findings.collect::<Value>() });
    CtlReport { exit, text, json }
}
