//! Appends and reads of the log under lost answers, outages, retention and rate limits.

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

/// The record is appended, but the connection breaks before the answer. The outcome must be
/// "unknown": "not appended" would duplicate a job.
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

/// The connection breaks before the record is appended. The client cannot distinguish this from a
/// lost answer, so the error must be the same.
#[tokio::test]
async fn append_lost() {
    let (platform, log) = quick_log(PlatformServerSettings::default()).await;
    platform.set_faults(PlatformFaults { drop_appends: 1, ..Default::default() });
    let result = log.append("jobs", &["a".to_owned()]).await;
    assert!(matches!(result, Err(LogError::Unknown { .. })), "{result:?}");
    assert_eq!(count(&log).await, 0);
    platform.shutdown().await;
}

/// During an outage, refusals and refused connections certainly appended nothing; an append whose
/// answer timed out may still take effect.
#[tokio::test]
async fn outages() {
    let (platform, log) = quick_log(PlatformServerSettings::default()).await;
    platform.set_faults(PlatformFaults { log: OutageKind::Refuse, ..Default::default() });
    let refused = log.append("jobs", &["a".to_owned()]).await;
    assert!(matches!(refused, Err(LogError::Unavailable { .. })), "{refused:?}");
    platform.set_faults(PlatformFaults { log: OutageKind::Hang, ..Default::default() });
    let settings = PlatformSettings { answer_ms: 100, ..Default::default() };
    let short_timeout_log = HttpLog::new(platform.address(), settings);
    let hung = short_timeout_log.append("jobs", &["a".to_owned()]).await;
    assert!(matches!(hung, Err(LogError::Unknown { .. })), "{hung:?}");
    let address = platform.address();
    platform.shutdown().await;
    let log = HttpLog::new(address, PlatformSettings::default());
    let stopped = log.append("jobs", &["a".to_owned()]).await;
    assert!(matches!(stopped, Err(LogError::Unavailable { .. })), "{stopped:?}");
}

/// Retention has dropped the next records of a slow reader. It must receive the first kept offset
/// instead of silently skipping records.
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

/// A reader catches up on large records, such as snapshots of a large configuration, of which a
/// full page exceeds its answer limit. It must receive all of them in smaller pages and not get
/// stuck.
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

/// An append beyond the rate limit is refused with a retry time and appends nothing.
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

/// A read that waits at the end of a stream returns as soon as a record is appended.
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
