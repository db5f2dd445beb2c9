//! The text that the model engine stand-in generates, and its check by callers.
//!
//! Each token names the adapter version whose weights were loaded, the hash of the prompt and its
//! own number. So a caller can tell from the answer alone that the right adapter ran, that the
//! answer is its own, and that nothing is missing, doubled or spliced from two answers.

use std::fmt::Write;

use coltsfoothook_decision::id::stable_hash;
use coltsfoothook_decision::value;
use snafu::Snafu;

/// The scheme of weights in the store.
const STORE_SCHEME: &str = "store://";

value! {
    /// What an answer says of itself.
    #[derive(Eq)]
    pub struct AnswerProof {
        /// The adapter and version that ran, as `adapter@version`.
        pub adapter: String,
        /// The hash of the prompt that was answered.
        pub prompt: u64,
        /// The number of the first token.
        pub first: u32,
        /// How many tokens there are.
        pub tokens: u32,
    }
}

/// What is wrong with an answer.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum AnswerFlaw {
    /// There is no token in it.
    #[snafu(display("empty answer"))]
    EmptyAnswer,
    /// A token is not one of the stand-in's.
    #[snafu(display("token {token:?} is not one of the stand-in's"))]
    StrangeToken {
        /// The token.
        token: String,
    },
    /// Tokens of two answers are mixed.
    #[snafu(display("token {token:?} is of another answer"))]
    MixedAnswer {
        /// The first token of the other answer.
        token: String,
    },
    /// A token is missing, doubled or out of order.
    #[snafu(display("token {found} stands where {expected} was due"))]
    TokenGap {
        /// The number that was due.
        expected: u32,
        /// The number that was found.
        found: u32,
    },
}

/// The hash that an answer to `prompt` carries.
#[must_use]
pub fn prompt_hash(prompt: &str) -> u64 {
    stable_hash(&[prompt])
}

/// The name that answers of the weights at `path` carry: `store://alarms/v3` becomes `alarms@v3`.
pub(crate) fn weights_label(path: &str) -> String {
    let path = path.strip_prefix(STORE_SCHEME).unwrap_or(path);
    match path.rsplit_once('/') {
        Some((adapter, version)) => format!("{adapter}@{version}"),
        None => path.to_owned(),
    }
}

/// Tokens `from..to` of the answer of `label` to the prompt with hash `prompt`.
#[must_use]
pub fn answer_text(label: &str, prompt: u64, from: u32, to: u32) -> String {
    let mut text = String::new();
    for number in from..to {
        // Writing to a string cannot fail.
        let _ = write!(text, "{label}:{prompt:016x}:{number} ");
    }
    text
}

/// Reads what an answer says of itself.
///
/// # Errors
///
/// The first flaw in it. That the adapter, the prompt and the count are the right ones is for the
/// caller to compare.
pub fn read_answer(text: &str) -> Result<AnswerProof, AnswerFlaw> {
    let mut proof: Option<AnswerProof> = None;
    for token in text.split_whitespace() {
        let (adapter, prompt, number) = read_token(token)
            .ok_or_else(|| AnswerFlaw::StrangeToken { token: token.to_owned() })?;
        let Some(proof) = &mut proof else {
            proof =
                Some(AnswerProof { adapter: adapter.to_owned(), prompt, first: number, tokens: 1 });
            continue;
        };
        if proof.adapter != adapter || proof.prompt != prompt {
            return Err(AnswerFlaw::MixedAnswer { token: token.to_owned() });
        }
        let expected = proof.first.saturating_add(proof.tokens);
        if number != expected {
            return Err(AnswerFlaw::TokenGap { expected, found: number });
        }
        proof.tokens += 1;
    }
    proof.ok_or(AnswerFlaw::EmptyAnswer)
}

fn read_token(token: &str) -> Option<(&str, u64, u32)> {
    let (rest, number) = token.rsplit_once(':')?;
    let (adapter, prompt) = rest.rsplit_once(':')?;
    Some((adapter, u64::from_str_radix(prompt, 16).ok()?, number.parse().ok()?))
}

/// Where an answer goes on if `prompt` ends with tokens that `label` generated for what stands
/// before them: the hash of that part and the number of the next token. So a stream that broke can
/// be continued at another engine from the prompt and what was already sent.
pub(crate) fn continuation(label: &str, prompt: &str) -> (u64, u32) {
    let start = format!("{label}:");
    for (at, _) in prompt.match_indices(&start) {
        let hash = prompt_hash(&prompt[..at]);
        let proof = read_answer(&prompt[at..]);
        if let Ok(AnswerProof { prompt, first: 0, tokens, .. }) = proof
            && prompt == hash
        {
            return (hash, tokens);
        }
    }
    (prompt_hash(prompt), 0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn flaws_are_found() {
        let text = answer_text("alarms@v3", 7, 0, 3);
        let whole = read_answer(&text).unwrap();
        assert_eq!((whole.adapter.as_str(), whole.prompt, whole.tokens), ("alarms@v3", 7, 3));
        let gap = answer_text("a@1", 7, 0, 2) + &answer_text("a@1", 7, 3, 4);
        assert_eq!(read_answer(&gap), Err(AnswerFlaw::TokenGap { expected: 2, found: 3 }));
        let mixed = answer_text("a@1", 7, 0, 2) + &answer_text("a@1", 8, 2, 4);
        assert!(matches!(read_answer(&mixed), Err(AnswerFlaw::MixedAnswer { .. })));
        assert_eq!(read_answer(""), Err(AnswerFlaw::EmptyAnswer));
    }

    #[test]
    fn sent_tokens_continue() {
        let hash = prompt_hash("chiller 4 ");
        let prompt = "chiller 4 ".to_owned() + &answer_text("a@1", hash, 0, 5);
        assert_eq!(continuation("a@1", &prompt), (hash, 5));
        assert_eq!(continuation("b@1", &prompt), (prompt_hash(&prompt), 0));
    }
}
