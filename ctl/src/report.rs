//! Reports of commands, as text and as JSON.

use serde::Serialize;
use serde_json::{Value, json};

use crate::error::{CtlError, CtlExit};

/// Result of a command.
pub(crate) struct CtlReport {
    /// The exit code of the process.
    pub(crate) exit: CtlExit,
    /// Output without `--json`; ends without a line break.
    pub(crate) text: String,
    /// Output with `--json`: an object.
    pub(crate) json: Value,
}

impl CtlReport {
    /// Makes the report of a command that succeeded.
    pub(crate) fn done(text: impl Into<String>, json: &impl Serialize) -> Self {
        let json = serde_json::to_value(json).unwrap_or_default();
        Self { exit: CtlExit::Done, text: text.into(), json }
    }

    /// Makes the report of a command that failed.
    pub(crate) fn failed(error: &CtlError) -> Self {
        let exit = error.exit();
        let mut json = json!({ "exit": exit as u8, "error": error.to_string() });
        match error {
            CtlError::Invalid { file, faults } => {
                let faults = faults.iter().map(|fault| {
                    json!({
                        "file": file.display().to_string(),
                        "line": fault.place.line,
                        "column": fault.place.column,
                        "path": fault.path,
                        "problem": fault.problem,
                        "allowed": fault.allowed,
                    })
                });
                json["faults"] = faults.collect();
            }
            CtlError::Problem { document } => {
                json["problem"] = serde_json::to_value(document).unwrap_or_default();
            }
            _ => {}
        }
        Self { exit, text: error.to_string(), json }
    }
}
