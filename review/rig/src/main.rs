//! Stand-ins for the cases of the review, and the cases.

mod cases;
mod client;
mod http;
mod record;
mod server;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use crate::cases::Verdict;
use crate::record::Record;

/// The longest time that a case takes. What it started is then ended by its script.
const MAX_TIME: Duration = Duration::from_secs(110);

/// `review-rig server NAME BORN RECORD SPOILS` serves; `review-rig case NAME FOLDER RECORD` plays a case, without its
/// disruption if `TROUBLE` is 0, in the root of the repository.
fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["server", name, born, record, spoils] => {
            let (born, spoils) = (born.parse().unwrap_or(0), *spoils == "true");
            server::run(name, born, Record::open(record), spoils);
            ExitCode::SUCCESS
        }
        ["case", name, folder, record] => {
            let is_calm = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
            let record = Record::open(record);
            std::thread::spawn(|| {
                std::thread::sleep(MAX_TIME);
                std::process::exit(2);
            });
            let verdict = cases::play(name, Path::new(folder), record.clone(), !is_calm);
            record.line(&format!("verdict: {verdict:?}"));
            println!("{verdict:?}");
            match verdict {
                Verdict::Held => ExitCode::SUCCESS,
                Verdict::Broken => ExitCode::FAILURE,
                Verdict::NotRun => ExitCode::from(2),
            }
        }
        _ => ExitCode::from(2),
    }
}
