//! Compares placement with its baselines on the same arrivals.
use bpaf::Bpaf;
use std::process::ExitCode;
/// Options of `compare`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CompareOptions {
    /// Print one JSON line.
    pub(crate) json: bool,
}
pub(crate) fn run(options: &CompareOptions) -> ExitCode {
    let _ = options.json;
    ExitCode::from(2)
}
