//! `coltsfoothook-ctl`, the operators' command line program.

use std::io::{Read, Write};
use std::process::ExitCode;

use coltsfoothook_ctl::{CtlStreams, run};

/// Maximum number of bytes read from standard input, which carries a credential.
const MAX_INPUT_BYTES: u64 = 64 * 1024;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let mut streams = CtlStreams { read_input: Some(read_input), ..CtlStreams::default() };
    let exit = run(&arguments, &mut streams);
    // A closed pipe, for instance to `head`, is not a failure of the command.
    let _ = std::io::stdout().write_all(streams.out.as_bytes());
    let _ = std::io::stderr().write_all(streams.err.as_bytes());
    ExitCode::from(exit as u8)
}

fn read_input() -> std::io::Result<String> {
    let mut input = String::new();
    std::io::stdin().take(MAX_INPUT_BYTES).read_to_string(&mut input)?;
    Ok(input)
}
