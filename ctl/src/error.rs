//! Errors of commands and the exit codes they map to.

use std::path::PathBuf;

use coltsfoothook_keys::KeyError;
use coltsfoothook_operator::{ProblemDocument, ProblemReason};
use coltsfoothook_settings::{LocatedFault, SecretError, SettingsError};
use snafu::Snafu;

/// Exit codes. Their numbers are stable, for scripts to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum CtlExit {
    /// The command succeeded. A publication is in force, by this attempt or an earlier one.
    Done = 0,
    /// Refused permanently: the file has faults, or the name is unknown. Nothing changed.
    Refused = 1,
    /// The command line, a file or the settings are invalid. Nothing was sent.
    Usage = 2,
    /// No entry VM could be reached. Nothing changed.
    NotReached = 3,
    /// The outcome is unknown. It is safe to repeat the same command.
    Unknown = 4,
    /// Another publication was accepted first. Nothing changed; rebase on the version in force.
    StaleBase = 5,
    /// Temporarily unavailable: the platform's log is down or the VM is not ready. Nothing changed.
    Unavailable = 6,
    /// The operator's token was rejected. Nothing changed.
    Unauthenticated = 7,
}

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CtlError {
    #[snafu(display("{message}"))]
    Usage { message: String },
    #[snafu(display("{}: cannot read the file: {source}", file.display()))]
    Unreadable { file: PathBuf, source: std::io::Error },
    #[snafu(display("{source}"), context(false))]
    Settings { source: SettingsError },
    #[snafu(display("{source}"), context(false))]
    Secret { source: SecretError },
    #[snafu(display("{source}"), context(false))]
    Keys { source: KeyError },
    /// A manifest or delta has faults, from the check here or from the server.
    #[snafu(display("{}", fault_lines(file, faults)))]
    Invalid { file: PathBuf, faults: Vec<LocatedFault> },
    /// No entry VM answered, and no call that changes state was sent. `attempts` has a reason per
    /// VM.
    #[snafu(display("no entry VM could be reached:\n  {}", attempts.join("\n  ")))]
    NotReached { attempts: Vec<String> },
    /// A call may have taken effect, or a published version is not in force at every VM in time.
    /// `attempts` has the reasons.
    #[snafu(display(
        "the outcome is not known; the same command again is safe:\n  {}",
        attempts.join("\n  ")
    ))]
    Unknown { attempts: Vec<String> },
    /// The entry VM answered with a problem document.
    #[snafu(display("{}: {}", document.title, document.detail))]
    Problem { document: Box<ProblemDocument> },
    /// The answer is neither the expected JSON nor a problem document.
    #[snafu(display("malformed answer from the entry VM: {message}"))]
    MalformedAnswer { message: String },
}

/// Formats each fault as a line that begins with the file's path.
fn fault_lines(file: &std::path::Path, faults: &[LocatedFault]) -> String {
    let lines = faults.iter().map(|fault| format!("{}:{fault}", file.display()));
    lines.collect::<Vec<_>>().join("\n")
}

impl CtlError {
    /// Makes the error for an invalid command line.
    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::Usage { message: message.into() }
    }

    /// Returns the exit code for the error.
    pub(crate) fn exit(&self) -> CtlExit {
        match self {
            Self::Usage { .. }
            | Self::Unreadable { .. }
            | Self::Settings { .. }
            | Self::Keys { .. }
            | Self::Secret { .. } => CtlExit::Usage,
            Self::Invalid { .. } => CtlExit::Refused,
            Self::NotReached { .. } => CtlExit::NotReached,
            Self::Unknown { .. } | Self::MalformedAnswer { .. } => CtlExit::Unknown,
            Self::Problem { document } => problem_exit(&document.reason),
        }
    }
}

/// Maps the reason of a problem document to an exit code; unknown reasons count as refused.
fn problem_exit(reason: &str) -> CtlExit {
    let is = |known: ProblemReason| reason == known.as_str();
    if is(ProblemReason::StaleBase) {
        CtlExit::StaleBase
    } else if is(ProblemReason::AppendUnknown) || is(ProblemReason::Internal) {
        CtlExit::Unknown
    } else if is(ProblemReason::LogUnavailable) || is(ProblemReason::NotReady) {
        CtlExit::Unavailable
    } else if is(ProblemReason::Unauthenticated) {
        CtlExit::Unauthenticated
    } else {
        CtlExit::Refused
    }
}
