//! The stand-ins and the clients of the review's scripts.
//!
//! `review-rig-2 server NAME ADDRESS` is a backend server; `review-rig-2 CASE ROOT FOLDER` plays a case with the programs built
//! below ROOT, writes FOLDER/record.txt, and ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod http;
mod server;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["server", name, address] => {
            server::run(name, address);
            ExitCode::SUCCESS
        }
        [case, root, folder] => {
            let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
            let result = cases::play(case, Path::new(root), has_trouble, Path::new(folder));
            ExitCode::from(result)
        }
        _ => {
            eprintln!("usage: review-rig-2 server NAME ADDRESS | CASE ROOT FOLDER");
            ExitCode::from(2)
        }
    }
}
