//! Log settings, and the format of log lines.

use std::fmt::Arguments;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coltsfoothook_settings::{settings_choice, settings_struct};
use snafu::{ResultExt, Snafu};

use crate::event::{EVENT_TARGET, EventName, LogEvent};
use crate::writer::LogWriter;

settings_choice! {
    /// Minimum severity that is logged.
    pub enum LogLevel {
        /// Errors only.
        Error = "error",
        /// Errors and warnings.
        Warn = "warn",
        /// Also normal operation, which includes one line per request.
        Info = "info",
        /// Also details for debugging.
        Debug = "debug",
    }
}

settings_choice! {
    /// Output stream of the log.
    pub enum LogOutput {
        /// Standard error; standard output is left to the program's results.
        Stderr = "stderr",
        /// Standard output, from which platforms collect log lines.
        Stdout = "stdout",
    }
}

settings_struct! {
    /// Settings of the log, which is written to a standard stream because VMs have no disks.
    pub struct LogSettings {
        /// Output stream of the log.
        pub output: LogOutput = LogOutput::Stderr;
        /// Minimum severity of the system's own events that are logged.
        pub level: LogLevel = LogLevel::Info;
        /// Minimum severity of messages of libraries that are logged.
        pub libraries: LogLevel = LogLevel::Warn;
    }
}

/// Failure to start logging.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// A logger has already been installed in this process.
    #[snafu(display("logging has already been started: {source}"))]
    AlreadyStarted {
        /// Error of the `log` crate.
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

/// Name of the VM or process, set by [`name_process`].
static PROCESS_NAME: OnceLock<String> = OnceLock::new();

/// Adds `at=NAME` to each later line of this process, which identifies the writer of lines collected
/// from many VMs; fields such as `vm` may refer to another VM. Only the first call has an effect.
pub fn name_process(name: &str) {
    // A second name is ignored, because lines with two names would seem to come from two processes.
    let _ = PROCESS_NAME.set(name.to_owned());
}

/// Installs the process's logger, which writes to the configured stream.
///
/// # Errors
///
/// Fails if a logger has already been installed.
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

/// Formats a line. A library's message becomes the field `message` of a `library_message` event.
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

/// Formats a time as RFC 3339 in UTC, with milliseconds.
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

/// Converts days since 1970-01-01 to year, month and day in the Gregorian calendar.
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
    fn formats_timestamps() {
        let format = |seconds: u64| timestamp(Duration::from_millis(seconds * 1_000 + 7));
        assert_eq!(format(0), "1970-01-01T00:00:00.007Z");
        assert_eq!(format(951_782_399), "2000-02-28T23:59:59.007Z");
        assert_eq!(format(951_782_400), "2000-02-29T00:00:00.007Z");
        assert_eq!(format(4_107_542_400), "2100-03-01T00:00:00.007Z");
    }

    #[test]
    fn library_message_fields() {
        let message = format_args!("two\nlines");
        let record = log::Record::builder().target("hyper").level(log::Level::Warn).build();
        assert_eq!(
            log_line(UNIX_EPOCH, Some("nbo-1"), &record, &message),
            r#"ts=1970-01-01T00:00:00.000Z level=warn at=nbo-1 event=library_message target=hyper message="two\nlines""#
        );
    }
}
