//! Where log lines go.

use std::fmt::Arguments;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coltsfoothook_settings::{settings_choice, settings_struct};
use snafu::{ResultExt, Snafu};

use crate::event::{EVENT_TARGET, EventName, LogEvent};
use crate::writer::LogWriter;

settings_choice! {
    /// The least serious events that are logged.
    pub enum LogLevel {
        /// Only what is broken.
        Error = "error",
        /// Also what is amiss.
        Warn = "warn",
        /// Also the course of things, with one line for each request.
        Info = "info",
        /// Also details.
        Debug = "debug",
    }
}

settings_choice! {
    /// Where lines go.
    pub enum LogOutput {
        /// To standard error, which leaves standard output to a program's results.
        Stderr = "stderr",
        /// To standard output, from where platforms collect lines.
        Stdout = "stdout",
    }
}

settings_struct! {
    /// What is logged. Lines go to a standard stream, since VMs have no disks.
    pub struct LogSettings {
        /// Where lines go.
        pub output: LogOutput = LogOutput::Stderr;
        /// The least serious events of the system itself that are logged.
        pub level: LogLevel = LogLevel::Info;
        /// The least serious messages of libraries that are logged.
        pub libraries: LogLevel = LogLevel::Warn;
    }
}

/// Why logging could not start.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The process logs already.
    #[snafu(display("the process has a log already: {source}"))]
    AlreadyStarted {
        /// What the library says.
        source: log::SetLoggerError,
    },
}

impl LogLevel {
    fn to_filter(self) -> log::LevelFilter {
        match self {
            Self::Error => log::LevelFilter::Error,
            Self::Warn => log::LevelFilter::Warn,
            Self::Info => log::LevelFilter::Info,
            Self::Debug => log::LevelFilter::Debug,
        }
    }
}

/// The name of the VM or process, once [`name_process`] has set it.
static PROCESS_NAME: OnceLock<String> = OnceLock::new();

/// Puts `at=NAME` into each line of this process, so that lines collected from many VMs tell where
/// they were written; fields such as `vm` may speak of another VM. The first name stays.
pub fn name_process(name: &str) {
    // A second name would make one process look like two.
    let _ = PROCESS_NAME.set(name.to_owned());
}

/// Sends the log of the process to the stream that the settings name.
///
/// # Errors
///
/// If the process has a log already.
pub fn start_logs(settings: &LogSettings) -> Result<(), LogError> {
    let writer = LogWriter::start(settings.output);
    let dispatch = fern::Dispatch::new()
        .level(settings.libraries.to_filter())
        .level_for(EVENT_TARGET, settings.level.to_filter())
        .format(|out, message, record| {
            let name = PROCESS_NAME.get().map(String::as_str);
            let line = log_line(SystemTime::now(), name, record, message);
            out.finish(format_args!("{line}"));
        })
        .chain(fern::Output::call(move |record| writer.write(record.args().to_string())));
    dispatch.apply().context(AlreadyStartedSnafu)
}

/// A whole line; a library's message is put into a field of its own.
fn log_line(
    now: SystemTime,
    name: Option<&str>,
    record: &log::Record<'_>,
    message: &Arguments<'_>,
) -> String {
    let since_epoch = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (time, level) = (timestamp(since_epoch), level_name(record.level()));
    let at = name.map(|name| format!(" at={name}")).unwrap_or_default();
    let start = format!("ts={time} level={level}{at}");
    if record.target() == EVENT_TARGET {
        return format!("{start} {message}");
    }
    let event = LogEvent::new(EventName::LibraryMessage);
    let event = event.field("target", record.target()).field("message", message);
    format!("{start} {}", event.as_str())
}

fn level_name(level: log::Level) -> &'static str {
    match level {
        log::Level::Error => "error",
        log::Level::Warn => "warn",
        log::Level::Info => "info",
        log::Level::Debug | log::Level::Trace => "debug",
    }
}

/// The time in UTC as RFC 3339 has it, with milliseconds.
fn timestamp(since_epoch: Duration) -> String {
    const DAY_S: u64 = 86_400;
    let seconds = since_epoch.as_secs();
    let (year, month, day) = civil_date(seconds / DAY_S);
    let second_of_day = seconds % DAY_S;
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:03}Z",
        second_of_day / 3_600,
        second_of_day / 60 % 60,
        second_of_day % 60,
        since_epoch.subsec_millis()
    )
}

/// Year, month and day of a day counted from 1970-01-01, in the Gregorian calendar.
fn civil_date(mut days: u64) -> (u64, u64, u64) {
    let leap = |year: u64| {
        year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
    };
    let mut year = 1970;
    loop {
        let length = if leap(year) { 366 } else { 365 };
        if days < length {
            break;
        }
        days -= length;
        year += 1;
    }
    let february = if leap(year) { 29 } else { 28 };
    let mut month = 1;
    for length in [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31] {
        if days < length {
            break;
        }
        days -= length;
        month += 1;
    }
    (year, month, days + 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn dates() {
        let shown = |seconds: u64| timestamp(Duration::from_millis(seconds * 1_000 + 7));
        assert_eq!(shown(0), "1970-01-01T00:00:00.007Z");
        assert_eq!(shown(951_782_399), "2000-02-28T23:59:59.007Z");
        assert_eq!(shown(951_782_400), "2000-02-29T00:00:00.007Z");
        assert_eq!(shown(4_107_542_400), "2100-03-01T00:00:00.007Z");
    }

    #[test]
    fn library_line() {
        let message = format_args!("two\nlines");
        let record = log::Record::builder().target("hyper").level(log::Level::Warn).build();
        assert_eq!(
            log_line(UNIX_EPOCH, Some("nbo-1"), &record, &message),
            r#"ts=1970-01-01T00:00:00.000Z level=warn at=nbo-1 event=library_message target=hyper message="two\nlines""#
        );
    }
}
