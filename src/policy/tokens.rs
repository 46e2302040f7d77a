//! The tokens of the policy language, and the errors that name a place in a line.

/// The symbols of the language. One that begins with another comes before it.
const SYMBOLS: [&str; 13] = ["<=", ">=", "==", "<", ">", "=", "+", "-", "*", "/", "(", ")", ","];

/// Why a line is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ExpressionError {
    /// Where in its line, in bytes counted from 0.
    pub(super) column: usize,
    /// What is wrong there, for the policy's author.
    pub(super) reason: String,
}

impl ExpressionError {
    /// An error at this column of the line, in bytes counted from 0.
    pub(super) fn new(column: usize, reason: impl Into<String>) -> Self {
        ExpressionError { column, reason: reason.into() }
    }
}

/// Refuses the line at this column, in bytes counted from 0.
///
/// # Errors
///
/// Always, with this reason.
pub(super) fn fail<T>(column: usize, reason: impl Into<String>) -> Result<T, ExpressionError> {
    Err(ExpressionError::new(column, reason))
}

/// What a token is.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum TokenKind {
    /// A number without its unit, which is a name of its own.
    Number(f64),
    /// A variable, a function, a unit or a word such as `if`; the parser tells them apart.
    Name(String),
    /// One of the symbols of the language.
    Symbol(&'static str),
    /// The end of the line or the start of a comment.
    End,
}

/// A token and its place.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Token {
    /// What it is.
    pub(super) kind: TokenKind,
    /// Where it starts in the line, in bytes counted from 0.
    pub(super) column: usize,
}

/// Splits a line into tokens, of which the last is [`TokenKind::End`].
///
/// # Errors
///
/// At the first character or number that is not of the language.
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

/// The token that `text` starts with, and its length in bytes. `first`: its first character.
fn read_token(text: &str, first: char) -> Result<(TokenKind, usize), String> {
    if first.is_ascii_digit() {
        let digits = leading(text, |c| c.is_ascii_digit() || c == '.');
        let number = digits.parse().map_err(|_| "this is not a number".to_owned())?;
        Ok((TokenKind::Number(number), digits.len()))
    } else if first.is_ascii_alphabetic() {
        let name = leading(text, |c| c.is_ascii_alphanumeric() || c == '_' || c == '.');
        Ok((TokenKind::Name(name.to_owned()), name.len()))
    } else if let Some(symbol) = SYMBOLS.into_iter().find(|symbol| text.starts_with(symbol)) {
        Ok((TokenKind::Symbol(symbol), symbol.len()))
    } else {
        Err(format!("unexpected `{first}`"))
    }
}

/// The longest start of `text` that consists of characters of a class.
fn leading(text: &str, belongs: fn(char) -> bool) -> &str {
    let end = text.find(|c| !belongs(c)).unwrap_or(text.len());
    &text[..end]
}
