//! Appends whose effect and answer come apart.

use std::time::Duration;

use coltsfoothook_decision::id::LogOffset;
use coltsfoothook_platform::{HttpLog, LogClient, LogError, PlatformSettings};
use coltsfoothook_standin::{
    OutageKind, PlatformFaults, PlatformHandle, PlatformServerSettings, start_platform,
};

async fn quick_log(settings: PlatformServerSettings) -> (PlatformHandle, HttpLog) {
    let platform = start_platform(settings).await.unwrap();
    let log = HttpLog::new(platform.address(), PlatformSettings::default());
    (platform, log)
}

async fn count(log: &HttpLog) -> usize {
    let page = log.read("jobs", LogOffset(0), 100, Duration::ZERO).await.unwrap();
    page.records.len()
}

/// The appender hears nothing, while its record stands in the log: the log took it and lost the
/// connection before the answer. Saying "not appended" would double a job, so it must be unknown.
#[tokio::test]
async fn answer_lost() {
    let (platform, log) = quick_log(PlatformServerSettings::default()).await;
    platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    let result = log.append("jobs", &["a".to_owned()]).await;
    assert!(matches!(result, Err(LogError::Unknown { .. })), "{result:?}");
    assert_eq!(count(&log).await, 1);
    let appended = log.append("jobs", &["b".to_owned()]).await.unwrap();
    assert_eq!(appended.first, LogOffset(1));
    platform.shutdown().await;
}

/// The appender hears nothing and the record is not there: the connection broke before the effect.
/// It looks the same from outside, so the error must be the same.
#[tokio::test]
async fn append_lost() {
    let (platform, log) = quick_log(PlatformServerSettings::default()).await;
    platform.set_faults(PlatformFaults { drop_appends: 1, ..Default::default() });
    let result = log.append("jobs", &["a".to_owned()]).await;
    assert!(matches!(result, Err(LogError::Unknown { .. })), "{result:?}");
    assert_eq!(count(&log).await, 0);
    platform.shutdown().await;
}

/// The log is out of service. Refusals and refused connections certainly appended nothing; an
/// append that got no answer in time may still take effect.
#[tokio::test]
async fn outages() {
    let (platform, log) = quick_log(PlatformServerSettings::default()).await;
    platform.set_faults(PlatformFaults { log: OutageKind::Refuse, ..Default::default() });
    let refused = log.append("jobs", &["a".to_owned()]).await;
    assert!(matches!(refused, Err(LogError::Unavailable { .. })), "{refused:?}");
    platform.set_faults(PlatformFaults { log: OutageKind::Hang, ..Default::default() });
    let settings = PlatformSettings { answer_ms: 100, ..Default::default() };
    let hasty = HttpLog::new(platform.address(), settings);
    let hung = hasty.append("jobs", &["a".to_owned()]).await;
    assert!(matches!(hung, Err(LogError::Unknown { .. })), "{hung:?}");
    let address = platform.address();
    platform.shutdown().await;
    let log = HttpLog::new(address, PlatformSettings::default());
    let gone = log.append("jobs", &["a".to_owned()]).await;
    assert!(matches!(gone, Err(LogError::Unavailable { .. })), "{gone:?}");
}

/// A VM that reads slowly finds the records it needs gone, since retention took them. It must learn
/// where the log begins now instead of reading on as if nothing were missing.
#[tokio::test]
async fn behind_retention() {
    let settings = PlatformServerSettings { retain_records: 2, ..Default::default() };
    let (platform, log) = quick_log(settings).await;
    let records: Vec<String> = (0..5).map(|number| number.to_string()).collect();
    log.append("jobs", &records).await.unwrap();
    let behind = log.read("jobs", LogOffset(0), 10, Duration::ZERO).await;
    assert_eq!(behind, Err(LogError::BehindRetention { first_kept: LogOffset(3) }));
    let page = log.read("jobs", LogOffset(3), 10, Duration::ZERO).await.unwrap();
    assert_eq!((page.records.len(), page.next), (2, LogOffset(5)));
    platform.shutdown().await;
}

/// A reader starts behind large records, such as snapshots of a big configuration, of which a page
/// of many is longer than it accepts. It must get all of them, a few at a time, and not be stuck.
#[tokio::test]
async fn large_records() {
    for max_page_bytes in [10_000, 1_000_000] {
        let settings = PlatformServerSettings { max_page_bytes, ..Default::default() };
        let (platform, _) = quick_log(settings).await;
        let settings = PlatformSettings { max_answer_bytes: 25_000, ..Default::default() };
        let log = HttpLog::new(platform.address(), settings);
        platform.append("config", (0..20).map(|_| "x".repeat(9_000)).collect());
        let mut next = LogOffset(0);
        while next < LogOffset(20) {
            let page = log.read("config", next, 500, Duration::ZERO).await.unwrap();
            assert!(!page.records.is_empty());
            next = page.next;
        }
        platform.shutdown().await;
    }
}

/// Writers are told when to come back once the log's rate is spent, and nothing is appended.
#[tokio::test]
async fn throttled() {
    let settings =
        PlatformServerSettings { appends_per_s: 0.1, append_burst: 1.0, ..Default::default() };
    let (platform, log) = quick_log(settings).await;
    log.append("jobs", &["a".to_owned()]).await.unwrap();
    let result = log.append("jobs", &["b".to_owned()]).await;
    assert!(matches!(result, Err(LogError::Throttled { retry_after }) if !retry_after.is_zero()));
    assert_eq!(count(&log).await, 1);
    platform.shutdown().await;
}

/// A reader that waits at the end of a stream gets a record as soon as it is appended.
#[tokio::test]
async fn long_poll() {
    let (platform, log) = quick_log(PlatformServerSettings::default()).await;
    let reading = log.read("jobs", LogOffset(0), 10, Duration::from_secs(20));
    let appending = async {
        tokio::task::yield_now().await;
        platform.append("jobs", vec!["a".to_owned()])
    };
    let (page, _) = tokio::join!(reading, appending);
    assert_eq!(page.unwrap().records[0].data, "a");
    platform.shutdown().await;
}
