//! What a command has to say, for a human and for a pipeline.

use serde::Serialize;
use serde_json::{Value, json};

use crate::error::{CtlError, CtlExit};

/// The end of a command.
pub(crate) struct CtlReport {
    /// The exit code.
    pub(crate) exit: CtlExit,
    /// For a human; ends without a line break.
    pub(crate) text: String,
    /// For a pipeline: an object.
    pub(crate) json: Value,
}

impl CtlReport {
    /// A command that was done.
    pub(crate) fn done(text: impl Into<String>, json: &impl Serialize) -> Self {
        let json = serde_json::to_value(json).unwrap_or_default();
        Self { exit: CtlExit::Done, text: text.into(), json }
    }

    /// A command that failed.
    pub(crate) fn failed(error: &CtlError) -> Self {
        let exit = error.exit();
        let mut json = json!({ "exit": exit as u8, "error": error.to_string() });
        match error {
            CtlError::Faulty { file, faults } => {
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
