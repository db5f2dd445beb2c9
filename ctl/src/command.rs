//! Parses the command line, executes the command and prints its report.

use std::fs::File;
use std::io::Read;
use std::path::Path;
use std::time::Duration;

use bpaf::{Args, ParseFailure};
use coltsfoothook_decision::credential::CredentialHash;
use coltsfoothook_decision::id::ConfigVersion;
use coltsfoothook_operator::{
    DrainCall, ExplainAnswer, FleetStatus, LiftCall, ManifestAnswer, WrittenAnswer,
};
use http::Method;
use serde_json::json;

use crate::arguments::{
    ConfigurationArguments, ConnectArguments, CtlCommand, DrainTarget, ctl_command,
};
use crate::client::EntryClient;
use crate::configuration::{check_configuration, is_configuration};
use crate::diff::ManifestDiff;
use crate::document::ManifestFile;
use crate::error::{CtlError, CtlExit};
use crate::losses::losses;
use crate::publish::{PublishRequest, hexadecimal, publish};
use crate::report::CtlReport;
use crate::show::{explain_text, status_text};
use crate::trace::trace;

/// Number of random bytes in a generated credential.
const CREDENTIAL_BYTES: usize = 32;

/// Standard streams of a command: its input, and buffers for its output.
#[derive(Default)]
pub struct CtlStreams {
    /// Text for standard output; [`run`] appends to it.
    pub out: String,
    /// Text for standard error; [`run`] appends to it.
    pub err: String,
    /// Reads standard input to its end; with `None` the input is empty.
    pub read_input: Option<fn() -> std::io::Result<String>>,
}

/// Runs the program with `arguments`, which exclude the program's name, and returns the exit code.
pub fn run(arguments: &[&str], streams: &mut CtlStreams) -> CtlExit {
    let arguments = Args::from(arguments).set_name("coltsfoothook-ctl");
    let command = match ctl_command().run_inner(arguments) {
        Ok(command) => command,
        Err(failure) => return print_parse_failure(failure, streams),
    };
    let json = command.wants_json();
    let report = execute(command, streams).unwrap_or_else(|error| CtlReport::failed(&error));
    if json {
        streams.out.push_str(&format!("{}\n", report.json));
    } else if report.exit == CtlExit::Done {
        streams.out.push_str(&format!("{}\n", report.text));
    } else {
        streams.err.push_str(&format!("{}\n", report.text));
    }
    report.exit
}

fn print_parse_failure(failure: ParseFailure, streams: &mut CtlStreams) -> CtlExit {
    match failure {
        ParseFailure::Stdout(text, full) => {
            streams.out.push_str(&format!("{}\n", text.monochrome(full)));
            CtlExit::Done
        }
        ParseFailure::Completion(text) => {
            streams.out.push_str(&text);
            CtlExit::Done
        }
        ParseFailure::Stderr(text) => {
            streams.err.push_str(&format!("{}\n", text.monochrome(true)));
            CtlExit::Usage
        }
    }
}

impl CtlCommand {
    fn wants_json(&self) -> bool {
        match self {
            Self::Check { json, .. }
            | Self::Publish { json, .. }
            | Self::Diff { json, .. }
            | Self::Status { json, .. }
            | Self::Drain { json, .. }
            | Self::Explain { json, .. }
            | Self::Lift { json, .. }
            | Self::Trace { json, .. }
            | Self::Losses { json, .. }
            | Self::HashCredential { json, .. } => *json,
        }
    }
}

fn execute(command: CtlCommand, streams: &CtlStreams) -> Result<CtlReport, CtlError> {
    match command {
        CtlCommand::Check { onto, configuration_arguments, file, .. } => {
            check(&file, onto.as_deref(), &configuration_arguments)
        }
        CtlCommand::Trace { id, files, .. } => trace(&id, &files),
        CtlCommand::Losses { late_ms, every_s, files, .. } => losses(&files, late_ms, every_s),
        CtlCommand::HashCredential { generate, .. } => hash_credential(generate, streams),
        remote => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|error| CtlError::usage(error.to_string()))?;
            runtime.block_on(execute_remote(remote))
        }
    }
}

async fn execute_remote(command: CtlCommand) -> Result<CtlReport, CtlError> {
    match command {
        CtlCommand::Publish {
            connect_arguments,
            base,
            publish_id,
            everywhere_ms,
            delta,
            file,
            ..
        } => {
            let request = PublishRequest {
                base: ConfigVersion(base),
                publish_id,
                everywhere: everywhere_ms.map(Duration::from_millis),
                delta,
            };
            let file = ManifestFile::read(&file)?;
            publish(&EntryClient::connect(connect_arguments)?, &file, request).await
        }
        CtlCommand::Diff { connect_arguments, file, .. } => diff(connect_arguments, &file).await,
        CtlCommand::Status { connect_arguments, loaded, .. } => {
            let client = EntryClient::connect(connect_arguments)?;
            let status: FleetStatus = client.get("/v1/status").await?;
            Ok(CtlReport::done(status_text(&status, loaded), &status))
        }
        CtlCommand::Drain { connect_arguments, undo, drain_target, .. } => {
            drain(connect_arguments, undo, &drain_target).await
        }
        CtlCommand::Explain { connect_arguments, id, .. } => {
            let client = EntryClient::connect(connect_arguments)?;
            let path = format!("/v1/explain/{}", encode_segment(&id));
            let answer: ExplainAnswer = client.get(&path).await?;
            Ok(CtlReport::done(explain_text(&answer.replies), &answer))
        }
        CtlCommand::Lift { connect_arguments, fingerprint, .. } => {
            let client = EntryClient::connect(connect_arguments)?;
            let text = format!("the condemnation of {fingerprint} is lifted");
            let call = LiftCall { fingerprint };
            let _: WrittenAnswer = client.change(Method::POST, "/v1/lift", &call).await?;
            Ok(CtlReport::done(text, &json!({ "exit": 0, "fingerprint": call.fingerprint })))
        }
        CtlCommand::Check { .. }
        | CtlCommand::HashCredential { .. }
        | CtlCommand::Losses { .. }
        | CtlCommand::Trace { .. } => Err(CtlError::usage("this command needs no connection")),
    }
}

fn check(
    file: &Path,
    onto: Option<&Path>,
    arguments: &ConfigurationArguments,
) -> Result<CtlReport, CtlError> {
    let manifest_file = ManifestFile::read(file)?;
    if is_configuration(&manifest_file)? {
        if onto.is_some() {
            return Err(CtlError::usage(
                "--onto is for a delta of a manifest, not a configuration",
            ));
        }
        return check_configuration(&manifest_file, arguments);
    }
    if arguments.against.is_some() || arguments.servers.is_some() {
        return Err(CtlError::usage(
            "--against and --servers are for the platform's configuration",
        ));
    }
    let manifest = match onto {
        None => manifest_file.manifest()?,
        Some(onto) => manifest_file.applied_to(&ManifestFile::read(onto)?.manifest()?)?,
    };
    let versions: usize = manifest.adapters.iter().map(|adapter| adapter.versions.len()).sum();
    let text = format!(
        "{}: no faults; {} adapters with {versions} versions, {} tenants, {} backend servers, {} \
         services, {} schedules",
        file.display(),
        manifest.adapters.len(),
        manifest.tenants.len(),
        manifest.servers.len(),
        manifest.services.len(),
        manifest.schedules.len()
    );
    let json = json!({
        "exit": 0,
        "adapters": manifest.adapters.len(),
        "versions": versions,
        "tenants": manifest.tenants.len(),
        "servers": manifest.servers.len(),
        "services": manifest.services.len(),
        "schedules": manifest.schedules.len(),
    });
    Ok(CtlReport::done(text, &json))
}

async fn diff(connect: ConnectArguments, file: &Path) -> Result<CtlReport, CtlError> {
    let new_manifest = ManifestFile::read(file)?.manifest()?;
    let client = EntryClient::connect(connect)?;
    let in_force: ManifestAnswer = client.get("/v1/manifest").await?;
    let diff = ManifestDiff::between(&in_force.manifest, &new_manifest);
    let version = in_force.version;
    let mut text = format!("changes against version {version}: {}", diff.lines.len());
    for line in &diff.lines {
        text.push_str(&format!("\n{line}"));
    }
    let json = json!({
        "exit": 0,
        "base": version,
        "lines": diff.lines,
        "delta": diff.delta,
        "only_whole": diff.only_whole,
    });
    Ok(CtlReport::done(text, &json))
}

async fn drain(
    connect: ConnectArguments,
    undo: bool,
    target: &DrainTarget,
) -> Result<CtlReport, CtlError> {
    let (kind, name) = match target {
        DrainTarget::Vm { name } => ("vms", name),
        DrainTarget::Server { name } => ("servers", name),
    };
    let client = EntryClient::connect(connect)?;
    let path = format!("/v1/drain/{kind}/{}", encode_segment(name));
    let call = DrainCall { draining: !undo };
    let _: WrittenAnswer = client.change(Method::PUT, &path, &call).await?;
    let text = if undo {
        "accepts new work again"
    } else {
        "accepts no new work and finishes its running work"
    };
    let json = json!({ "exit": 0, "name": name, "draining": call.draining });
    Ok(CtlReport::done(format!("{name} {text}"), &json))
}

fn hash_credential(generate: bool, streams: &CtlStreams) -> Result<CtlReport, CtlError> {
    let credential = if generate { generate_credential() } else { read_credential(streams) }
        .map_err(|error| CtlError::usage(format!("no credential: {error}")))?;
    let hash = CredentialHash::of(&credential).to_hex();
    if generate {
        let text = format!("credential {credential}\nhash       {hash}");
        return Ok(CtlReport::done(text, &json!({ "credential": credential, "hash": hash })));
    }
    Ok(CtlReport::done(hash.clone(), &json!({ "hash": hash })))
}

fn read_credential(streams: &CtlStreams) -> std::io::Result<String> {
    let input = streams.read_input.map_or_else(|| Ok(String::new()), |read| read())?;
    let credential = input.trim();
    if credential.is_empty() {
        return Err(std::io::Error::other("standard input is empty"));
    }
    Ok(credential.to_owned())
}

fn generate_credential() -> std::io::Result<String> {
    let mut bytes = [0; CREDENTIAL_BYTES];
    File::open("/dev/urandom")?.read_exact(&mut bytes)?;
    Ok(hexadecimal(&bytes))
}

/// Percent-encodes a name as one segment of a path.
fn encode_segment(name: &str) -> String {
    let mut segment = String::new();
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'~' => {
                segment.push(char::from(byte));
            }
            // Dots are encoded too, so that a name `..` does not refer to the parent path.
            other => segment.push_str(&format!("%{other:02X}")),
        }
    }
    segment
}
