//! The grammar of the policy language. A line's tokens are parsed and evaluated in one pass.
//!
//! ```text
//! line   = [ name "=" value ] [ "#" comment ]
//! value  = "if" test "then" value "else" value | sum
//! test   = compare { ("and" | "or") compare }
//! compare = sum ("<" | "<=" | ">" | ">=" | "==") sum
//! sum    = product { ("+" | "-") product }
//! product = atom { ("*" | "/") atom }
//! atom   = number [ unit ] | variable | ("min" | "max") "(" value { "," value } ")" | "(" value ")" | "-" atom
//! ```
//!
//! Both branches of an `if` are evaluated, so that an error in the one not taken is found
//! before the settings change.

use super::tokens::{ExpressionError, Token, TokenKind, fail, tokenize};
use super::values::{Type, Value, add, divide, multiply, subtract};

/// Deeper nesting is refused before it can exhaust the stack.
const MAX_DEPTH: usize = 32;

/// A line `name = expression` whose expression is not evaluated yet.
#[derive(Debug)]
pub(super) struct Assignment {
    /// The name to set.
    pub(super) name: String,
    /// Where the name starts in the line, in bytes counted from 0.
    pub(super) name_column: usize,
    /// Where the expression starts in the line, in bytes counted from 0.
    pub(super) value_column: usize,
    /// The expression; the last token is the end of the line.
    expression: Vec<Token>,
}

impl Assignment {
    /// Reads one line; `None` if it is empty or a comment.
    ///
    /// # Errors
    ///
    /// If the line has a character or number that is not of the language, or does not begin
    /// with a name and `=`.
    pub(super) fn parse(line: &str) -> Result<Option<Self>, ExpressionError> {
        let mut tokens = tokenize(line)?.into_iter();
        let (name, name_column) = match tokens.next() {
            Some(Token { kind: TokenKind::Name(name), column }) => (name, column),
            Some(Token { kind: TokenKind::End, .. }) | None => return Ok(None),
            Some(Token { column, .. }) => return fail(column, "expected a name to set"),
        };
        match tokens.next() {
            Some(Token { kind: TokenKind::Symbol("="), .. }) => {}
            Some(Token { column, .. }) => return fail(column, "expected `=`"),
            None => return fail(line.len(), "expected `=`"),
        }
        let expression: Vec<Token> = tokens.collect();
        let value_column = expression.first().map_or(line.len(), |token| token.column);
        Ok(Some(Assignment { name, name_column, value_column, expression }))
    }

    /// Evaluates the expression. `variables` gives the value of a variable, if there is one
    /// of that name.
    ///
    /// # Errors
    ///
    /// If the expression is not of the grammar, its types do not fit, a variable does not
    /// exist, something is divided by zero, or it is nested deeper than [`MAX_DEPTH`].
    pub(super) fn evaluate(
        &self,
        variables: &dyn Fn(&str) -> Option<Value>,
    ) -> Result<Value, ExpressionError> {
        let mut parser = Parser { tokens: &self.expression, position: 0, depth: 0, variables };
        let value = parser.value()?;
        match parser.peek() {
            Token { kind: TokenKind::End, .. } => Ok(value),
            Token { column, .. } => fail(*column, "expected the end of the line"),
        }
    }
}

/// A recursive-descent parser that evaluates as it goes: one method a rule of the grammar.
struct Parser<'a> {
    tokens: &'a [Token],
    /// Index of the next token.
    position: usize,
    /// How deeply the next token is nested; at most [`MAX_DEPTH`].
    depth: usize,
    variables: &'a dyn Fn(&str) -> Option<Value>,
}

/// A symbol or word that was taken.
struct Accepted {
    text: &'static str,
    column: usize,
}

/// What a parser without tokens sees.
const END: Token = Token { kind: TokenKind::End, column: 0 };

impl<'a> Parser<'a> {
    /// The next token; the end of the line for ever once it is reached.
    fn peek(&self) -> &'a Token {
        self.tokens.get(self.position).or(self.tokens.last()).unwrap_or(&END)
    }

    fn next(&mut self) -> &'a Token {
        let token = self.peek();
        self.position += 1;
        token
    }

    /// Takes the next token if it is one of these symbols or words.
    fn accept(&mut self, wanted: &[&'static str]) -> Option<Accepted> {
        let Token { kind, column } = self.peek();
        let found = match kind {
            TokenKind::Symbol(symbol) => symbol,
            TokenKind::Name(name) => name.as_str(),
            TokenKind::Number(_) | TokenKind::End => return None,
        };
        let text = wanted.iter().find(|text| **text == found)?;
        self.position += 1;
        Some(Accepted { text, column: *column })
    }

    /// Takes the next token, which must be this symbol or word.
    fn expect(&mut self, wanted: &'static str) -> Result<(), ExpressionError> {
        match self.accept(&[wanted]) {
            Some(_) => Ok(()),
            None => fail(self.peek().column, format!("expected `{wanted}`")),
        }
    }

    /// Goes one level deeper, if that is allowed. Whoever calls it goes back up by
    /// `depth -= 1`; after an error nothing is parsed any more.
    fn descend(&mut self, column: usize) -> Result<(), ExpressionError> {
        self.depth += 1;
        if self.depth > MAX_DEPTH { fail(column, "nested too deeply") } else { Ok(()) }
    }

    fn value(&mut self) -> Result<Value, ExpressionError> {
        self.descend(self.peek().column)?;
        let value = if self.accept(&["if"]).is_some() { self.choice()? } else { self.sum()? };
        self.depth -= 1;
        Ok(value)
    }

    /// What follows `if`.
    fn choice(&mut self) -> Result<Value, ExpressionError> {
        let test = self.test()?;
        self.expect("then")?;
        let if_true = self.value()?;
        self.expect("else")?;
        let else_column = self.peek().column;
        let if_false = self.value()?;
        if if_true.kind != if_false.kind {
            let reason = format!("one branch is a {}, the other a {}", if_true.kind, if_false.kind);
            return fail(else_column, reason);
        }
        Ok(if test { if_true } else { if_false })
    }

    /// Comparisons joined by `and` and `or`, from left to right.
    fn test(&mut self) -> Result<bool, ExpressionError> {
        let mut result = self.compare()?;
        while let Some(Accepted { text, .. }) = self.accept(&["and", "or"]) {
            let next = self.compare()?;
            result = if text == "and" { result && next } else { result || next };
        }
        Ok(result)
    }

    fn compare(&mut self) -> Result<bool, ExpressionError> {
        let left = self.sum()?;
        let Some(Accepted { text, column }) = self.accept(&["<", "<=", ">", ">=", "=="]) else {
            return fail(self.peek().column, "expected a comparison");
        };
        let right = self.sum()?;
        if left.kind != right.kind {
            return fail(column, format!("a {} cannot be compared with a {}", left.kind, right.kind));
        }
        Ok(match text {
            "<" => left.number < right.number,
            "<=" => left.number <= right.number,
            ">" => left.number > right.number,
            ">=" => left.number >= right.number,
            _ => left.number == right.number,
        })
    }

    fn sum(&mut self) -> Result<Value, ExpressionError> {
        let mut sum = self.product()?;
        while let Some(Accepted { text, column }) = self.accept(&["+", "-"]) {
            let right = self.product()?;
            sum = if text == "+" { add(sum, right, column)? } else { subtract(sum, right, column)? };
        }
        Ok(sum)
    }

    fn product(&mut self) -> Result<Value, ExpressionError> {
        let mut product = self.atom()?;
        while let Some(Accepted { text, column }) = self.accept(&["*", "/"]) {
            let right = self.atom()?;
            product =
                if text == "*" { multiply(product, right, column)? } else { divide(product, right, column)? };
        }
        Ok(product)
    }

    fn atom(&mut self) -> Result<Value, ExpressionError> {
        let Token { kind, column } = self.next();
        match kind {
            TokenKind::Number(number) => Ok(self.with_unit(*number)),
            TokenKind::Name(name) => match name.as_str() {
                "min" => self.extreme(f64::min),
                "max" => self.extreme(f64::max),
                name => match (self.variables)(name) {
                    Some(value) => Ok(value),
                    None => fail(*column, format!("there is no figure `{name}`")),
                },
            },
            TokenKind::Symbol("(") => {
                let value = self.value()?;
                self.expect(")")?;
                Ok(value)
            }
            TokenKind::Symbol("-") => self.negated(*column),
            TokenKind::Symbol(_) | TokenKind::End => fail(*column, "expected a value"),
        }
    }

    /// The value of a literal number, with the unit that may follow it.
    fn with_unit(&mut self, number: f64) -> Value {
        let time = |number| Value { kind: Type::Time, number };
        match self.accept(&["ms", "s", "min", "h"]).map(|unit| unit.text) {
            Some("ms") => time(number / 1000.0),
            Some("s") => time(number),
            Some("min") => time(number * 60.0),
            Some(_) => time(number * 3600.0),
            None => Value { kind: Type::Number, number },
        }
    }

    /// What follows a sign, negated. `column`: that of the sign.
    fn negated(&mut self, column: usize) -> Result<Value, ExpressionError> {
        self.descend(column)?;
        let value = self.atom()?;
        self.depth -= 1;
        Ok(Value { number: -value.number, ..value })
    }

    /// The arguments of `min` or `max`, reduced by it.
    fn extreme(&mut self, choose: fn(f64, f64) -> f64) -> Result<Value, ExpressionError> {
        self.expect("(")?;
        let mut best = self.value()?;
        while let Some(Accepted { column, .. }) = self.accept(&[","]) {
            let next = self.value()?;
            if next.kind != best.kind {
                return fail(column, format!("a {} stands beside a {}", next.kind, best.kind));
            }
            best.number = choose(best.number, next.number);
        }
        self.expect(")")?;
        Ok(best)
    }
}
