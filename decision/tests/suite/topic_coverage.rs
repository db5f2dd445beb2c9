//! Detection of missed changes by VMs that receive a topic's changes from others.

use coltsfoothook_decision::coverage::{ReportHistory, TopicCoverage};
use proptest::prelude::*;

/// Number of messages that repeat each change.
const REPEATS: usize = 3;

/// Next event in a topic with two VMs that read it and one that receives their messages.
#[derive(Clone, Copy, Debug)]
enum TopicStep {
    /// A record is appended.
    Append,
    /// A reader reads the topic and sends a message, which arrives or is lost.
    Read { reader: usize, arrives: bool },
    /// A reader takes a snapshot and doesn't send the changes in it.
    Snapshot { reader: usize },
    /// The third VM reads the topic itself.
    OwnRead,
}

fn step() -> impl Strategy<Value = TopicStep> {
    prop_oneof![
        4 => Just(TopicStep::Append),
        6 => (0..2usize, any::<bool>())
            .prop_map(|(reader, arrives)| TopicStep::Read { reader, arrives }),
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
        let mut end = 0u64;
        let mut readers = [ReportHistory::new(REPEATS), ReportHistory::new(REPEATS)];
        let mut coverage = TopicCoverage::default();
        let mut received: Vec<bool> = Vec::new();
        for step in steps {
            match step {
                TopicStep::Append => {
                    end += 1;
                    received.push(false);
                }
                TopicStep::Read { reader, arrives } => {
                    let from = readers[reader].span().up_to;
                    readers[reader].add_read(end, (from..end).collect::<Vec<u64>>());
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
    let mut reader = ReportHistory::new(REPEATS);
    reader.add_read(7, ());
    assert!(!TopicCoverage::default().apply_report(reader.span()));
}

/// Two messages are lost and the third one repeats their changes.
#[test]
fn repeated() {
    let mut reader = ReportHistory::new(REPEATS);
    let mut coverage = TopicCoverage::default();
    coverage.record_read(0);
    reader.add_read(4, ());
    reader.add_read(5, ());
    reader.add_read(9, ());
    assert!(coverage.apply_report(reader.span()));
    for end in 10..14 {
        reader.add_read(end, ());
    }
    assert!(!coverage.apply_report(reader.span()), "the changes up to 9 are not repeated any more");
}
