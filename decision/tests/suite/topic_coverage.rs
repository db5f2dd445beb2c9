//! Detection of missed changes by VMs that receive a topic's changes from others.

use coltsfoothook_decision::coverage::{ReportHistory, TopicCoverage};
use coltsfoothook_decision::id::TimePoint;
use proptest::prelude::*;

/// How long messages repeat each change.
const REPEAT_US: u64 = 3_000;
/// Time between two reads at most.
const MAX_PAUSE_US: u64 = 2_000;
/// Maximum number of changes in a message.
const MAX_CHANGES: usize = 12;

/// Next event in a topic with two VMs that read it and one that receives their messages.
#[derive(Clone, Copy, Debug)]
enum TopicStep {
    /// A record is appended.
    Append,
    /// A reader reads the topic and sends a message, which arrives or is lost.
    Read { reader: usize, arrives: bool, pause_us: u64 },
    /// A reader takes a snapshot and doesn't send the changes in it.
    Snapshot { reader: usize },
    /// The third VM reads the topic itself.
    OwnRead,
}

fn step() -> impl Strategy<Value = TopicStep> {
    prop_oneof![
        4 => Just(TopicStep::Append),
        6 => (0..2usize, any::<bool>(), 0..MAX_PAUSE_US)
            .prop_map(|(reader, arrives, pause_us)| TopicStep::Read { reader, arrives, pause_us }),
        1 => (0..2usize).prop_map(|reader| TopicStep::Snapshot { reader }),
        1 => Just(TopicStep::OwnRead),
    ]
}

proptest! {
    /// Messages are lost, and readers find changes that they don't send. A VM whose coverage is
    /// complete must have received every change; otherwise it could send requests to a server whose
    /// removal it missed.
    #[test]
    fn nothing_missed(steps in prop::collection::vec(step(), 1..200)) {
        let (mut end, mut now) = (0u64, TimePoint(0));
        let mut readers = [ReportHistory::new(REPEAT_US), ReportHistory::new(REPEAT_US)];
        let mut coverage = TopicCoverage::default();
        let mut received: Vec<bool> = Vec::new();
        for step in steps {
            match step {
                TopicStep::Append => {
                    end += 1;
                    received.push(false);
                }
                TopicStep::Read { reader, arrives, pause_us } => {
                    now = now.plus(pause_us);
                    let from = readers[reader].span().up_to;
                    readers[reader].add_read(end, (from..end).collect::<Vec<u64>>(), now);
                    readers[reader].truncate(MAX_CHANGES, Vec::len);
                    if !arrives {
                        continue;
                    }
                    let sent: Vec<u64> = readers[reader].changes().flatten().copied().collect();
                    sent.iter().for_each(|position| received[*position as usize] = true);
                    if coverage.apply_report(readers[reader].span()) {
                        prop_assert!(received.iter().all(|known| *known));
                    }
                }
                TopicStep::Snapshot { reader } => readers[reader].restart(end),
                TopicStep::OwnRead => {
                    coverage.record_read(end);
                    received.iter_mut().for_each(|known| *known = true);
                }
            }
        }
    }
}

/// A VM that never read the topic can't know the changes before a message.
#[test]
fn never_read() {
    let mut reader = ReportHistory::new(REPEAT_US);
    reader.add_read(7, (), TimePoint(0));
    assert!(!TopicCoverage::default().apply_report(reader.span()));
}

/// Two messages are lost and the third one repeats their changes.
#[test]
fn repeated() {
    let mut reader = ReportHistory::new(REPEAT_US);
    let mut coverage = TopicCoverage::default();
    coverage.record_read(0);
    reader.add_read(4, (), TimePoint(0));
    reader.add_read(5, (), TimePoint(1_000));
    reader.add_read(9, (), TimePoint(2_000));
    assert!(coverage.apply_report(reader.span()));
    for end in 10..14u64 {
        reader.add_read(end, (), TimePoint(end * 1_000));
    }
    assert!(!coverage.apply_report(reader.span()), "the changes up to 9 are not repeated any more");
}

/// Guards against a VM that misses changes since many others followed them at once.
#[test]
fn repeated_by_time() {
    let mut reader = ReportHistory::new(REPEAT_US);
    let mut coverage = TopicCoverage::default();
    coverage.record_read(0);
    for end in 1..=50 {
        reader.add_read(end, (), TimePoint(end));
    }
    assert!(coverage.apply_report(reader.span()));
    reader.expire(TimePoint(REPEAT_US + 50));
    assert_eq!(reader.changes().count(), 0);
    assert!(coverage.apply_report(reader.span()), "nothing happened since");
}

/// Guards against messages that grow without bound, and against VMs that don't notice what these leave out.
#[test]
fn truncated() {
    let mut reader = ReportHistory::new(REPEAT_US);
    let mut coverage = TopicCoverage::default();
    coverage.record_read(0);
    for end in 1..=4 {
        reader.add_read(end, vec![end; 5], TimePoint(end));
    }
    reader.truncate(MAX_CHANGES, Vec::len);
    assert_eq!(reader.changes().count(), 2);
    assert!(!coverage.apply_report(reader.span()), "the first two reads are not in the message");
}
