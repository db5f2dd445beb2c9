//! Generates and verifies the text of the model engine stand-in's answers.
//!
//! Each token contains the adapter version whose weights were loaded, the hash of the prompt and
//! its own number. A caller can verify from the answer alone that the right adapter ran, that the
//! answer belongs to its prompt, and that no token is missing, duplicated or from another answer.

use std::fmt::Write;

use coltsfoothook_decision::id::stable_hash;
use coltsfoothook_decision::value;
use snafu::Snafu;

/// URL scheme of weights in the weight store.
const STORE_SCHEME: &str = "store://";

value! {
    /// What the tokens of an answer contain.
    #[derive(Eq)]
    pub struct ParsedAnswer {
        /// The adapter and version that ran, as `adapter@version`.
        pub adapter: String,
        /// The hash of the prompt that was answered.
        pub prompt: u64,
        /// The number of the first token.
        pub first: u32,
        /// The number of tokens.
        pub tokens: u32,
    }
}

/// Why an answer is invalid.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum AnswerError {
    /// The answer has no token.
    #[snafu(display("empty answer"))]
    EmptyAnswer,
    /// A token does not have the stand-in's format.
    #[snafu(display("token {token:?} does not have the stand-in's format"))]
    UnrecognizedToken {
        /// The token.
        token: String,
    },
    /// A token belongs to another adapter or prompt than the first one.
    #[snafu(display("token {token:?} belongs to another answer"))]
    MixedAnswer {
        /// The first token of the other answer.
        token: String,
    },
    /// A token is missing, duplicated or out of order.
    #[snafu(display("expected token {expected}, found {found}"))]
    TokenGap {
        /// The number that was expected.
        expected: u32,
        /// The number that was found.
        found: u32,
    },
}

/// Returns the hash that the tokens of an answer to `prompt` contain.
#[must_use]
pub fn prompt_hash(prompt: &str) -> u64 {
    stable_hash(&[prompt])
}

/// Returns the adapter label in tokens generated with the weights at `path`: `store://alarms/v3`
/// becomes `alarms@v3`.
pub(crate) fn weights_label(path: &str) -> String {
    let path = path.strip_prefix(STORE_SCHEME).unwrap_or(path);
    match path.rsplit_once('/') {
        Some((adapter, version)) => format!("{adapter}@{version}"),
        None => path.to_owned(),
    }
}

/// Generates the tokens `from..to` of the answer of adapter `label` to the prompt with hash
/// `prompt`.
#[must_use]
pub fn answer_text(label: &str, prompt: u64, from: u32, to: u32) -> String {
    let mut text = String::new();
    for number in from..to {
        // Writing to a string cannot fail.
        let _ = write!(text, "{label}:{prompt:016x}:{number} ");
    }
    text
}

/// Parses an answer and checks that its tokens are consistent. The caller has to compare the
/// adapter, the prompt and the number of tokens with what it expects.
///
/// # Errors
///
/// Returns the first inconsistency.
pub fn read_answer(text: &str) -> Result<ParsedAnswer, AnswerError> {
    let mut answer: Option<ParsedAnswer> = None;
    for token in text.split_whitespace() {
        let (adapter, prompt, number) = read_token(token)
            .ok_or_else(|| AnswerError::UnrecognizedToken { token: token.to_owned() })?;
        let Some(answer) = &mut answer else {
            answer = Some(ParsedAnswer {
                adapter: adapter.to_owned(),
                prompt,
                first: number,
                tokens: 1,
            });
            continue;
        };
        if answer.adapter != adapter || answer.prompt != prompt {
            return Err(AnswerError::MixedAnswer { token: token.to_owned() });
        }
        let expected = answer.first.saturating_add(answer.tokens);
        if number != expected {
            return Err(AnswerError::TokenGap { expected, found: number });
        }
        answer.tokens += 1;
    }
    answer.ok_or(AnswerError::EmptyAnswer)
}

fn read_token(token: &str) -> Option<(&str, u64, u32)> {
    let (rest, number) = token.rsplit_once(':')?;
    let (adapter, prompt) = rest.rsplit_once(':')?;
    Some((adapter, u64::from_str_radix(prompt, 16).ok()?, number.parse().ok()?))
}

/// Finds where to continue an answer if `prompt` ends with tokens that `label` generated for the
/// text before them. Returns the hash of that text and the number of the next token, or the hash of
/// the whole prompt and 0. This lets another engine continue a broken stream from the prompt and
/// the part of the answer that was already sent.
pub(crate) fn continuation(label: &str, prompt: &str) -> (u64, u32) {
    let start = format!("{label}:");
    for (at, _) in prompt.match_indices(&start) {
        let hash = prompt_hash(&prompt[..at]);
        let answer = read_answer(&prompt[at..]);
        if let Ok(ParsedAnswer { prompt, first: 0, tokens, .. }) = answer
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
    fn inconsistencies_are_found() {
        let text = answer_text("alarms@v3", 7, 0, 3);
        let whole = read_answer(&text).unwrap();
        assert_eq!((whole.adapter.as_str(), whole.prompt, whole.tokens), ("alarms@v3", 7, 3));
        let gap = answer_text("a@1", 7, 0, 2) + &answer_text("a@1", 7, 3, 4);
        assert_eq!(read_answer(&gap), Err(AnswerError::TokenGap { expected: 2, found: 3 }));
        let mixed = answer_text("a@1", 7, 0, 2) + &answer_text("a@1", 8, 2, 4);
        assert!(matches!(read_answer(&mixed), Err(AnswerError::MixedAnswer { .. })));
        assert_eq!(read_answer(""), Err(AnswerError::EmptyAnswer));
    }

    #[test]
    fn sent_tokens_are_continued() {
        let hash = prompt_hash("chiller 4 ");
        let prompt = "chiller 4 ".to_owned() + &answer_text("a@1", hash, 0, 5);
        assert_eq!(continuation("a@1", &prompt), (hash, 5));
        assert_eq!(continuation("b@1", &prompt), (prompt_hash(&prompt), 0));
    }
}
