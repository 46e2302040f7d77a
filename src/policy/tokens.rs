//! The tokenizer of the policy language, and errors that refer to a column of a line.

/// The symbols of the language. A symbol precedes its own prefixes, so that the longest one
/// matches.
const SYMBOLS: [&str; 13] = ["<=", ">=", "==", "<", ">", "=", "+", "-", "*", "/", "(", ")", ","];

/// An error in a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ExpressionError {
    /// The column in the line, in bytes counted from 0.
    pub(super) column: usize,
    /// What is wrong, in words for the author of the policy.
    pub(super) reason: String,
}

impl ExpressionError {
    /// Creates an error at this column of the line, in bytes counted from 0.
    pub(super) fn new(column: usize, reason: impl Into<String>) -> Self {
        ExpressionError { column, reason: reason.into() }
    }
}

/// Returns an error at this column of the line, in bytes counted from 0.
///
/// # Errors
///
/// Always, with this reason.
pub(super) fn fail<T>(column: usize, reason: impl Into<String>) -> Result<T, ExpressionError> {
    Err(ExpressionError::new(column, reason))
}

/// The kind of a token, with its value.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum TokenKind {
    /// A number. Its unit, if any, is a separate [`TokenKind::Name`].
    Number(f64),
    /// A variable, function, unit or keyword such as `if`; the parser distinguishes them.
    Name(String),
    /// One of the symbols of the language.
    Symbol(&'static str),
    /// The end of the line or the start of a comment.
    End,
}

/// A token and its position.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Token {
    /// The kind of the token.
    pub(super) kind: TokenKind,
    /// Its first column in the line, in bytes counted from 0.
    pub(super) column: usize,
}

/// Splits a line into tokens. The last one is [`TokenKind::End`].
///
/// # Errors
///
/// At the first character or number that is not part of the language.
pub(super) fn tokenize(line: &str) -> Result<Vec<Token>, ExpressionError> {
    let mut tokens = Vec::new();
    let mut column = 0;
    while let Some(first) = line[column..].chars().next() {
        if first == '#' {
            break;
        }
        if first.is_whitespace() {
            column += first.len_utf8();
            continue;
        }
        let (kind, length) =
            read_token(&line[column..], first).map_err(|reason| ExpressionError::new(column, reason))?;
        tokens.push(Token { kind, column });
        column += length;
    }
    tokens.push(Token { kind: TokenKind::End, column });
    Ok(tokens)
}

/// Reads the token that `text` starts with, and returns its length in bytes too. `first` is the
/// first character of `text`.
fn read_token(text: &str, first: char) -> Result<(TokenKind, usize), String> {
    if first.is_ascii_digit() {
        let digits = matching_prefix(text, |c| c.is_ascii_digit() || c == '.');
        let number = digits.parse().map_err(|_| "this is not a number".to_owned())?;
        Ok((TokenKind::Number(number), digits.len()))
    } else if first.is_ascii_alphabetic() {
        let name = matching_prefix(text, |c| c.is_ascii_alphanumeric() || c == '_' || c == '.');
        Ok((TokenKind::Name(name.to_owned()), name.len()))
    } else if let Some(symbol) = SYMBOLS.into_iter().find(|symbol| text.starts_with(symbol)) {
        Ok((TokenKind::Symbol(symbol), symbol.len()))
    } else {
        Err(format!("unexpected `{first}`"))
    }
}

/// The longest prefix of `text` whose characters all match.
fn matching_prefix(text: &str, matches: fn(char) -> bool) -> &str {
    let end = text.find(|c| !matches(c)).unwrap_or(text.len());
    &text[..end]
}
