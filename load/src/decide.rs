//! Decides placement with its baselines on the same arrivals.
use bpaf::Bpaf;
use std::process::ExitCode;
/// Options of `decide`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct DecideOptions {
    /// Print one JSON line.
    pub(crate) json: bool,
}
pub(crate) fn run(options: &DecideOptions) -> ExitCode {
    let _ = options.json;
    ExitCode::from(2)
}
