//! The name that was probably meant.

/// The known name nearest to `given`, if one is near enough to be a typo of it.
pub(crate) fn nearest_name<'a>(given: &str, known: &[&'a str]) -> Option<&'a str> {
    let farthest = (given.chars().count() / 3).max(1);
    let measured = known.iter().map(|name| (distance(given, name), *name));
    measured.filter(|(steps, _)| *steps <= farthest).min().map(|(_, name)| name)
}

/// The number of letters to put in, take out, change or swap with a neighbour to get from one text
/// to the other.
fn distance(from: &str, to: &str) -> usize {
    let from: Vec<char> = from.chars().collect();
    let to: Vec<char> = to.chars().collect();
    let mut before_last = vec![0; to.len() + 1];
    let mut last: Vec<usize> = (0..=to.len()).collect();
    for row in 1..=from.len() {
        let mut next = vec![row; to.len() + 1];
        for column in 1..=to.len() {
            let changed = usize::from(from[row - 1] != to[column - 1]);
            let mut least =
                (last[column - 1] + changed).min(last[column] + 1).min(next[column - 1] + 1);
            let swapped = row > 1
                && column > 1
                && from[row - 1] == to[column - 2]
                && from[row - 2] == to[column - 1];
            if swapped {
                least = least.min(before_last[column - 2] + 1);
            }
            next[column] = least;
        }
        before_last = std::mem::replace(&mut last, next);
    }
    last[to.len()]
}
