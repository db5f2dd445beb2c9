//! The load: peers that are slow or send without end, beside usual ones, at a VM with little memory.

use coltsfoothook_decision::buffer::BufferLedger;

const LIMIT: usize = 1_000_000;
const PIECE: usize = 1_000;

/// Guards against slow or endless peers, one or many, that leave no memory to a usual request.
#[test]
fn usual_beside_greedy() {
    for greedy in [1, 10, 100] {
        let mut ledger = BufferLedger::new(LIMIT);
        let mut held = vec![0; greedy];
        for _ in 0..LIMIT / PIECE {
            for own in &mut held {
                *own += if ledger.try_hold(*own, PIECE) { PIECE } else { 0 };
            }
        }
        assert_eq!(ledger.held(), held.iter().sum::<usize>());
        assert!(ledger.held() < LIMIT, "{greedy}: {}", ledger.held());
        assert!(held.iter().all(|own| own.abs_diff(LIMIT / (greedy + 1)) <= PIECE), "{held:?}");
        assert!(ledger.try_hold(0, PIECE), "{greedy}: a usual request has no memory");
    }
}

/// Guards against a limit that is passed as the holders grow in turn, and memory that is not given back.
#[test]
fn never_over() {
    let mut ledger = BufferLedger::new(LIMIT);
    assert!(!ledger.try_hold(0, LIMIT) && !ledger.try_hold(0, usize::MAX));
    let taken = (0..10_000).filter(|_| ledger.try_hold(0, PIECE)).count();
    assert!(ledger.held() == taken * PIECE && ledger.held() <= LIMIT);
    ledger.release(taken * PIECE);
    assert_eq!(ledger.held(), 0);
    assert!(ledger.try_hold(0, LIMIT / 2));
}
