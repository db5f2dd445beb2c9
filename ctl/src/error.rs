//! What can go wrong, and the exit code that says so.

use std::path::PathBuf;

use coltsfoothook_keys::KeyError;
use coltsfoothook_operator::{ProblemDocument, ProblemReason};
use coltsfoothook_settings::{LocatedFault, SecretError, SettingsError};
use snafu::Snafu;

/// Exit codes, for pipelines to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum CtlExit {
    /// Done; for a publication: in force, now or by an earlier attempt.
    Done = 0,
    /// Refused for good: the file has faults, or the name is not known. Nothing changed.
    Refused = 1,
    /// The command line, a file or the settings cannot be used. Nothing was sent.
    Usage = 2,
    /// No entry VM could be reached. Nothing changed.
    NotReached = 3,
    /// The outcome is not known; the same command again is safe.
    Unknown = 4,
    /// Another publication came first. Nothing changed; build on the version in force.
    StaleBase = 5,
    /// Not now: the platform's log is down or the VM is not ready. Nothing changed.
    NotNow = 6,
    /// The operator's token was refused. Nothing changed.
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
    #[snafu(display("{}", fault_lines(file, faults)))]
    Faulty { file: PathBuf, faults: Vec<LocatedFault> },
    #[snafu(display("no entry VM could be reached:\n  {}", attempts.join("\n  ")))]
    NotReached { attempts: Vec<String> },
    #[snafu(display(
        "the outcome is not known; the same command again is safe:\n  {}",
        attempts.join("\n  ")
    ))]
    Unknown { attempts: Vec<String> },
    #[snafu(display("{}: {}", document.title, document.detail))]
    Problem { document: Box<ProblemDocument> },
    #[snafu(display("the entry VM's answer cannot be read: {message}"))]
    OddAnswer { message: String },
}

fn fault_lines(file: &std::path::Path, faults: &[LocatedFault]) -> String {
    let lines = faults.iter().map(|fault| format!("{}:{fault}", file.display()));
    lines.collect::<Vec<_>>().join("\n")
}

impl CtlError {
    /// A mistake in the command line.
    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::Usage { message: message.into() }
    }

    /// The exit code that tells it.
    pub(crate) fn exit(&self) -> CtlExit {
        match self {
            Self::Usage { .. }
            | Self::Unreadable { .. }
            | Self::Settings { .. }
            | Self::Keys { .. }
            | Self::Secret { .. } => CtlExit::Usage,
            Self::Faulty { .. } => CtlExit::Refused,
            Self::NotReached { .. } => CtlExit::NotReached,
            Self::Unknown { .. } | Self::OddAnswer { .. } => CtlExit::Unknown,
            Self::Problem { document } => problem_exit(&document.reason),
        }
    }
}

fn problem_exit(reason: &str) -> CtlExit {
    let is = |known: ProblemReason| reason == known.as_str();
    if is(ProblemReason::StaleBase) {
        CtlExit::StaleBase
    } else if is(ProblemReason::AppendUnknown) || is(ProblemReason::Internal) {
        CtlExit::Unknown
    } else if is(ProblemReason::LogUnavailable) || is(ProblemReason::NotReady) {
        CtlExit::NotNow
    } else if is(ProblemReason::Unauthenticated) {
        CtlExit::Unauthenticated
    } else {
        CtlExit::Refused
    }
}
