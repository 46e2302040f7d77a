//! The grammar of the policy language. A line's tokens are parsed and evaluated in one pass.
//!
//! ```text
//! line       = [ name "=" value ] [ "#" comment ]
//! value      = "if" condition "then" value "else" value | sum
//! condition  = comparison { ("and" | "or") comparison }
//! comparison = sum ("<" | "<=" | ">" | ">=" | "==") sum
//! sum        = product { ("+" | "-") product }
//! product    = atom { ("*" | "/") atom }
//! atom       = number [ unit ] | variable | ("min" | "max") "(" value { "," value } ")" | "(" value ")" | "-" atom
//! ```
//!
//! Both branches of an `if` are evaluated, so that an error in the branch not taken is
//! reported at once, and not only after a change of the settings selects that branch.

use super::tokens::{ExpressionError, Token, TokenKind, fail, tokenize};
use super::values::{Type, Value, add, divide, multiply, subtract};

/// Maximum nesting depth. Deeper nesting is rejected so that it cannot exhaust the stack.
const MAX_DEPTH: usize = 32;

/// A line `name = expression` whose expression has not been parsed or evaluated yet.
#[derive(Debug)]
pub(super) struct Assignment {
    /// The name of the parameter to set.
    pub(super) name: String,
    /// First column of the name, in bytes counted from 0.
    pub(super) name_column: usize,
    /// First column of the expression, in bytes counted from 0.
    pub(super) value_column: usize,
    /// The tokens of the expression; the last one is the end of the line.
    expression: Vec<Token>,
}

impl Assignment {
    /// Parses one line; `None` if it is empty or a comment.
    ///
    /// # Errors
    ///
    /// If the line contains a character or number that is not part of the language, or does
    /// not begin with a name and `=`.
    pub(super) fn parse(line: &str) -> Result<Option<Self>, ExpressionError> {
        let mut tokens = tokenize(line)?.into_iter();
        let (name, name_column) = match tokens.next() {
            Some(Token { kind: TokenKind::Name(name), column }) => (name, column),
            Some(Token { kind: TokenKind::End, .. }) | None => return Ok(None),
            Some(Token { column, .. }) => return fail(column, "expected the name of a parameter"),
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

    /// Evaluates the expression. `variables` returns the value of a variable, or `None` if
    /// there is no variable of that name.
    ///
    /// # Errors
    ///
    /// If the expression does not match the grammar, has mismatched types, reads an unknown
    /// variable, divides by zero, or is nested deeper than [`MAX_DEPTH`].
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

/// A recursive-descent parser, with one method per grammar rule, that evaluates while it
/// parses.
struct Parser<'a> {
    tokens: &'a [Token],
    /// Index of the next token.
    position: usize,
    /// Nesting depth of the next token; at most [`MAX_DEPTH`].
    depth: usize,
    variables: &'a dyn Fn(&str) -> Option<Value>,
}

/// A symbol or word that [`Parser::accept`] consumed.
struct Accepted {
    text: &'static str,
    column: usize,
}

/// The next token of a parser that has no tokens.
const END: Token = Token { kind: TokenKind::End, column: 0 };

impl<'a> Parser<'a> {
    /// The next token, without consuming it. Past the last token, returns the last one, which
    /// is the end of the line.
    fn peek(&self) -> &'a Token {
        self.tokens.get(self.position).or(self.tokens.last()).unwrap_or(&END)
    }

    fn next(&mut self) -> &'a Token {
        let token = self.peek();
        self.position += 1;
        token
    }

    /// Consumes the next token if it is one of these symbols or words.
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

    /// Consumes the next token, which must be this symbol or word.
    fn expect(&mut self, wanted: &'static str) -> Result<(), ExpressionError> {
        match self.accept(&[wanted]) {
            Some(_) => Ok(()),
            None => fail(self.peek().column, format!("expected `{wanted}`")),
        }
    }

    /// Increments the nesting depth, and fails if it exceeds the maximum. The caller undoes
    /// this by `depth -= 1`, except after an error, which ends parsing.
    fn enter_nested(&mut self, column: usize) -> Result<(), ExpressionError> {
        self.depth += 1;
        if self.depth > MAX_DEPTH { fail(column, "nested too deeply") } else { Ok(()) }
    }

    fn value(&mut self) -> Result<Value, ExpressionError> {
        self.enter_nested(self.peek().column)?;
        let value = if self.accept(&["if"]).is_some() { self.conditional()? } else { self.sum()? };
        self.depth -= 1;
        Ok(value)
    }

    /// The rest of an `if` expression, after `if`.
    fn conditional(&mut self) -> Result<Value, ExpressionError> {
        let condition = self.condition()?;
        self.expect("then")?;
        let if_true = self.value()?;
        self.expect("else")?;
        let else_column = self.peek().column;
        let if_false = self.value()?;
        if if_true.kind != if_false.kind {
            let reason = format!("one branch is a {}, the other a {}", if_true.kind, if_false.kind);
            return fail(else_column, reason);
        }
        Ok(if condition { if_true } else { if_false })
    }

    /// Comparisons joined by `and` and `or`, from left to right.
    fn condition(&mut self) -> Result<bool, ExpressionError> {
        let mut result = self.comparison()?;
        while let Some(Accepted { text, .. }) = self.accept(&["and", "or"]) {
            let next = self.comparison()?;
            result = if text == "and" { result && next } else { result || next };
        }
        Ok(result)
    }

    fn comparison(&mut self) -> Result<bool, ExpressionError> {
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
                "min" => self.min_or_max(f64::min),
                "max" => self.min_or_max(f64::max),
                name => match (self.variables)(name) {
                    Some(value) => Ok(value),
                    None => fail(*column, format!("there is no variable `{name}`")),
                },
            },
            TokenKind::Symbol("(") => {
                let value = self.value()?;
                self.expect(")")?;
                Ok(value)
            }
            TokenKind::Symbol("-") => self.negation(*column),
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

    /// The negation of the value after a minus sign. `column` is the column of the sign.
    fn negation(&mut self, column: usize) -> Result<Value, ExpressionError> {
        self.enter_nested(column)?;
        let value = self.atom()?;
        self.depth -= 1;
        Ok(Value { number: -value.number, ..value })
    }

    /// The result of `min` or `max` for its arguments; `choose` is the function.
    fn min_or_max(&mut self, choose: fn(f64, f64) -> f64) -> Result<Value, ExpressionError> {
        self.expect("(")?;
        let mut best = self.value()?;
        while let Some(Accepted { column, .. }) = self.accept(&[","]) {
            let next = self.value()?;
            if next.kind != best.kind {
                return fail(
                    column,
                    format!("a {} and a {} cannot be arguments of one function", next.kind, best.kind),
                );
            }
            best.number = choose(best.number, next.number);
        }
        self.expect(")")?;
        Ok(best)
    }
}
