//! Suggestions for mistyped names.

/// Returns the known name with the smallest edit distance to `given`, if that is at most a third of the
/// length of `given` (at least 1).
pub(crate) fn nearest_name<'a>(given: &str, known: &[&'a str]) -> Option<&'a str> {
    let max_distance = (given.chars().count() / 3).max(1);
    let candidates = known.iter().map(|name| (distance(given, name), *name));
    candidates.filter(|(steps, _)| *steps <= max_distance).min().map(|(_, name)| name)
}

/// Returns the optimal string alignment distance in characters: the number of insertions, deletions,
/// substitutions and swaps of neighbours that turn `from` into `to`.
fn distance(from: &str, to: &str) -> usize {
    let from: Vec<char> = from.chars().collect();
    let to: Vec<char> = to.chars().collect();
    let mut second_last = vec![0; to.len() + 1];
    let mut last: Vec<usize> = (0..=to.len()).collect();
    for row in 1..=from.len() {
        let mut next = vec![row; to.len() + 1];
        for column in 1..=to.len() {
            let substitution = usize::from(from[row - 1] != to[column - 1]);
            let mut cost =
                (last[column - 1] + substitution).min(last[column] + 1).min(next[column - 1] + 1);
            let is_swap = row > 1
                && column > 1
                && from[row - 1] == to[column - 2]
                && from[row - 2] == to[column - 1];
            if is_swap {
                cost = cost.min(second_last[column - 2] + 1);
            }
            next[column] = cost;
        }
        second_last = std::mem::replace(&mut last, next);
    }
    last[to.len()]
}
