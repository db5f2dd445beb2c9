//! VMs that are told of a topic's changes by others.

use coltsfoothook_decision::coverage::{ToldHistory, TopicCoverage};
use proptest::prelude::*;

/// How often a look is told.
const REPEATS: usize = 3;

/// What happens next in a topic with two VMs that read it and one that is told.
#[derive(Clone, Copy, Debug)]
enum TopicStep {
    /// A record is appended.
    Append,
    /// A reader looks and tells; its message arrives or not.
    Look { reader: usize, arrives: bool },
    /// A reader takes a snapshot and tells nothing of what is new in it.
    Snapshot { reader: usize },
    /// The third VM looks itself.
    OwnLook,
}

fn step() -> impl Strategy<Value = TopicStep> {
    prop_oneof![
        4 => Just(TopicStep::Append),
        6 => (0..2usize, any::<bool>())
            .prop_map(|(reader, arrives)| TopicStep::Look { reader, arrives }),
        1 => (0..2usize).prop_map(|reader| TopicStep::Snapshot { reader }),
        1 => Just(TopicStep::OwnLook),
    ]
}

proptest! {
    /// Messages get lost, and readers find changes that they do not tell of. A VM that takes itself to be told
    /// of all changes up to a place has heard of each: else it would send requests to a server whose removal it
    /// missed.
    #[test]
    fn nothing_missed(steps in prop::collection::vec(step(), 1..200)) {
        let mut end = 0u64;
        let mut readers = [ToldHistory::new(REPEATS), ToldHistory::new(REPEATS)];
        let mut coverage = TopicCoverage::default();
        let mut heard: Vec<bool> = Vec::new();
        for step in steps {
            match step {
                TopicStep::Append => {
                    end += 1;
                    heard.push(false);
                }
                TopicStep::Look { reader, arrives } => {
                    let from = readers[reader].span().up_to;
                    readers[reader].look(end, (from..end).collect::<Vec<u64>>());
                    if !arrives {
                        continue;
                    }
                    let told: Vec<u64> = readers[reader].changes().flatten().copied().collect();
                    told.iter().for_each(|place| heard[*place as usize] = true);
                    if coverage.told(readers[reader].span()) {
                        prop_assert!(heard.iter().all(|heard| *heard));
                    }
                }
                TopicStep::Snapshot { reader } => readers[reader].untold(end),
                TopicStep::OwnLook => {
                    coverage.looked(end);
                    heard.iter_mut().for_each(|heard| *heard = true);
                }
            }
        }
    }
}

/// A VM that never looked cannot know what came before it was told.
#[test]
fn never_looked() {
    let mut reader = ToldHistory::new(REPEATS);
    reader.look(7, ());
    assert!(!TopicCoverage::default().told(reader.span()));
}

/// Two messages are lost and the third arrives: it repeats what they held.
#[test]
fn repeated() {
    let mut reader = ToldHistory::new(REPEATS);
    let mut coverage = TopicCoverage::default();
    coverage.looked(0);
    reader.look(4, ());
    reader.look(5, ());
    reader.look(9, ());
    assert!(coverage.told(reader.span()));
    for end in 10..14 {
        reader.look(end, ());
    }
    assert!(!coverage.told(reader.span()), "what came at 9 is told no more");
}
