//! The expressions of a policy: parsed and evaluated in one pass, with types.
//!
//! ```text
//! line   = [ name "=" value ] [ "#" comment ]
//! value  = "if" test "then" value "else" value | sum
//! test   = compare { ("and" | "or") compare }
//! compare = sum ("<" | "<=" | ">" | ">=" | "==") sum
//! sum    = product { ("+" | "-") product }
//! product = atom { ("*" | "/") atom }
//! atom   = number [ unit ] | figure | ("min" | "max") "(" value { "," value } ")" | "(" value ")" | "-" atom
//! ```

use std::fmt;

/// Deeper nesting is refused before it can exhaust the stack.
const MAX_DEPTH: usize = 32;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Type {
    Number,
    Time,
    Rate,
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Type::Number => "number",
            Type::Time => "time",
            Type::Rate => "rate",
        })
    }
}

/// A typed value; times in seconds, rates per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Value {
    pub kind: Type,
    pub value: f64,
}

/// What is wrong, and where in its line, counted from 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    pub column: usize,
    pub reason: String,
}

fn fault<T>(column: usize, reason: impl Into<String>) -> Result<T, Fault> {
    Err(Fault { column, reason: reason.into() })
}

#[derive(Debug, Clone, PartialEq)]
enum Token {
    Number(f64),
    Name(String),
    Symbol(&'static str),
    End,
}

#[derive(Debug)]
pub struct Assignment {
    pub name: String,
    pub name_column: usize,
    pub value_column: usize,
    tokens: Vec<(Token, usize)>,
}

/// Reads one line; `None` if it is empty or a comment.
pub fn parse_line(line: &str) -> Result<Option<Assignment>, Fault> {
    let mut tokens = tokenize(line)?.into_iter();
    let (name, name_column) = match tokens.next() {
        Some((Token::Name(name), column)) => (name, column),
        Some((Token::End, _)) | None => return Ok(None),
        Some((_, column)) => return fault(column, "expected a name to set"),
    };
    match tokens.next() {
        Some((Token::Symbol("="), _)) => {}
        Some((_, column)) => return fault(column, "expected `=`"),
        None => return fault(line.len(), "expected `=`"),
    }
    let tokens: Vec<_> = tokens.collect();
    let value_column = tokens.first().map_or(line.len(), |(_, column)| *column);
    Ok(Some(Assignment { name, name_column, value_column, tokens }))
}

fn tokenize(line: &str) -> Result<Vec<(Token, usize)>, Fault> {
    const SYMBOLS: [&str; 13] = ["<=", ">=", "==", "<", ">", "=", "+", "-", "*", "/", "(", ")", ","];
    let mut tokens = Vec::new();
    let mut at = 0;
    while let Some(first) = line[at..].chars().next() {
        let rest = &line[at..];
        let take = |wanted: fn(char) -> bool| rest.find(|c| !wanted(c)).unwrap_or(rest.len());
        if first.is_whitespace() {
            at += first.len_utf8();
        } else if first == '#' {
            break;
        } else if first.is_ascii_digit() {
            let length = take(|c| c.is_ascii_digit() || c == '.');
            let Ok(number) = rest[..length].parse() else { return fault(at, "this is not a number") };
            tokens.push((Token::Number(number), at));
            at += length;
        } else if first.is_ascii_alphabetic() {
            let length = take(|c| c.is_ascii_alphanumeric() || c == '_' || c == '.');
            tokens.push((Token::Name(rest[..length].to_owned()), at));
            at += length;
        } else if let Some(symbol) = SYMBOLS.into_iter().find(|s| rest.starts_with(s)) {
            tokens.push((Token::Symbol(symbol), at));
            at += symbol.len();
        } else {
            return fault(at, format!("unexpected `{first}`"));
        }
    }
    tokens.push((Token::End, at));
    Ok(tokens)
}

impl Assignment {
    pub fn evaluate(&self, figures: &dyn Fn(&str) -> Option<Value>) -> Result<Value, Fault> {
        let mut parser = Parser { tokens: &self.tokens, at: 0, depth: 0, figures };
        let value = parser.value()?;
        match parser.peek() {
            (Token::End, _) => Ok(value),
            (_, column) => fault(*column, "expected the end of the line"),
        }
    }
}

struct Parser<'a> {
    tokens: &'a [(Token, usize)],
    at: usize,
    depth: usize,
    figures: &'a dyn Fn(&str) -> Option<Value>,
}

const END: (Token, usize) = (Token::End, 0);

impl<'a> Parser<'a> {
    fn peek(&self) -> &'a (Token, usize) {
        self.tokens.get(self.at).or(self.tokens.last()).unwrap_or(&END)
    }

    fn next(&mut self) -> (Token, usize) {
        let token = self.peek().clone();
        self.at += 1;
        token
    }

    /// Takes the next token if it is one of these symbols or words.
    fn accept(&mut self, wanted: &[&'static str]) -> Option<(&'static str, usize)> {
        let (token, column) = self.peek();
        let text = match token {
            Token::Symbol(symbol) => symbol,
            Token::Name(name) => name.as_str(),
            _ => return None,
        };
        let found = wanted.iter().find(|w| **w == text)?;
        self.at += 1;
        Some((found, *column))
    }

    fn expect(&mut self, wanted: &'static str) -> Result<(), Fault> {
        match self.accept(&[wanted]) {
            Some(_) => Ok(()),
            None => fault(self.peek().1, format!("expected `{wanted}`")),
        }
    }

    fn value(&mut self) -> Result<Value, Fault> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return fault(self.peek().1, "nested too deeply");
        }
        let value = if self.accept(&["if"]).is_some() {
            let test = self.test()?;
            self.expect("then")?;
            let yes = self.value()?;
            self.expect("else")?;
            let column = self.peek().1;
            let no = self.value()?;
            if yes.kind != no.kind {
                return fault(column, format!("one branch is a {}, the other a {}", yes.kind, no.kind));
            }
            if test { yes } else { no }
        } else {
            self.sum()?
        };
        self.depth -= 1;
        Ok(value)
    }

    fn test(&mut self) -> Result<bool, Fault> {
        let mut result = self.compare()?;
        while let Some((word, _)) = self.accept(&["and", "or"]) {
            let next = self.compare()?;
            result = if word == "and" { result && next } else { result || next };
        }
        Ok(result)
    }

    fn compare(&mut self) -> Result<bool, Fault> {
        let left = self.sum()?;
        let Some((symbol, column)) = self.accept(&["<", "<=", ">", ">=", "=="]) else {
            return fault(self.peek().1, "expected a comparison");
        };
        let right = self.sum()?;
        if left.kind != right.kind {
            return fault(column, format!("a {} cannot be compared with a {}", left.kind, right.kind));
        }
        Ok(match symbol {
            "<" => left.value < right.value,
            "<=" => left.value <= right.value,
            ">" => left.value > right.value,
            ">=" => left.value >= right.value,
            _ => left.value == right.value,
        })
    }

    fn sum(&mut self) -> Result<Value, Fault> {
        let mut left = self.product()?;
        while let Some((symbol, column)) = self.accept(&["+", "-"]) {
            let right = self.product()?;
            if left.kind != right.kind {
                let (word, link) = if symbol == "+" { ("added", "to") } else { ("subtracted", "from") };
                return fault(column, format!("a {} cannot be {word} {link} a {}", right.kind, left.kind));
            }
            left.value += if symbol == "+" { right.value } else { -right.value };
        }
        Ok(left)
    }

    fn product(&mut self) -> Result<Value, Fault> {
        let mut left = self.atom()?;
        while let Some((symbol, column)) = self.accept(&["*", "/"]) {
            let right = self.atom()?;
            left = if symbol == "*" { multiply(left, right, column)? } else { divide(left, right, column)? };
        }
        Ok(left)
    }

    fn atom(&mut self) -> Result<Value, Fault> {
        let (token, column) = self.next();
        match token {
            Token::Number(value) => Ok(match self.accept(&["ms", "s", "min", "h"]) {
                Some(("ms", _)) => Value { kind: Type::Time, value: value / 1000.0 },
                Some(("s", _)) => Value { kind: Type::Time, value },
                Some(("min", _)) => Value { kind: Type::Time, value: value * 60.0 },
                Some(_) => Value { kind: Type::Time, value: value * 3600.0 },
                None => Value { kind: Type::Number, value },
            }),
            Token::Name(name) if name == "min" || name == "max" => self.extreme(name == "max"),
            Token::Name(name) => match (self.figures)(&name) {
                Some(value) => Ok(value),
                None => fault(column, format!("there is no figure `{name}`")),
            },
            Token::Symbol("(") => {
                let value = self.value()?;
                self.expect(")")?;
                Ok(value)
            }
            Token::Symbol("-") => {
                self.depth += 1;
                if self.depth > MAX_DEPTH {
                    return fault(column, "nested too deeply");
                }
                let value = self.atom()?;
                self.depth -= 1;
                Ok(Value { value: -value.value, ..value })
            }
            _ => fault(column, "expected a value"),
        }
    }

    fn extreme(&mut self, largest: bool) -> Result<Value, Fault> {
        self.expect("(")?;
        let mut best = self.value()?;
        while let Some((_, column)) = self.accept(&[","]) {
            let next = self.value()?;
            if next.kind != best.kind {
                return fault(column, format!("a {} stands beside a {}", next.kind, best.kind));
            }
            best.value = if largest { best.value.max(next.value) } else { best.value.min(next.value) };
        }
        self.expect(")")?;
        Ok(best)
    }
}

fn multiply(left: Value, right: Value, column: usize) -> Result<Value, Fault> {
    let kind = match (left.kind, right.kind) {
        (Type::Number, kind) | (kind, Type::Number) => kind,
        (Type::Time, Type::Rate) | (Type::Rate, Type::Time) => Type::Number,
        (a, b) => return fault(column, format!("a {a} cannot be multiplied by a {b}")),
    };
    Ok(Value { kind, value: left.value * right.value })
}

fn divide(left: Value, right: Value, column: usize) -> Result<Value, Fault> {
    if right.value == 0.0 {
        return fault(column, "division by zero");
    }
    let kind = match (left.kind, right.kind) {
        (kind, Type::Number) => kind,
        (a, b) if a == b => Type::Number,
        (Type::Number, Type::Time) => Type::Rate,
        (Type::Number, Type::Rate) => Type::Time,
        (a, b) => return fault(column, format!("a {a} cannot be divided by a {b}")),
    };
    Ok(Value { kind, value: left.value / right.value })
}
