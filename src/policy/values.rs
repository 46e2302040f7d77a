//! Typed values of the policy language, and their arithmetic.

use std::fmt;

use super::tokens::{ExpressionError, fail};

/// The type of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Type {
    /// Without a unit.
    Number,
    /// In seconds.
    Time,
    /// Per second.
    Rate,
}

impl fmt::Display for Type {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Type::Number => "number",
            Type::Time => "time",
            Type::Rate => "rate",
        })
    }
}

/// A typed value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Value {
    /// The type, which implies the unit.
    pub(super) kind: Type,
    /// The amount: times in seconds, rates per second.
    pub(super) number: f64,
}

/// The sum of two values of one type.
///
/// # Errors
///
/// At `column`, if the types differ.
pub(super) fn add(left: Value, right: Value, column: usize) -> Result<Value, ExpressionError> {
    if left.kind != right.kind {
        return fail(column, format!("a {} cannot be added to a {}", right.kind, left.kind));
    }
    Ok(Value { number: left.number + right.number, ..left })
}

/// The difference of two values of one type.
///
/// # Errors
///
/// At `column`, if the types differ.
pub(super) fn subtract(left: Value, right: Value, column: usize) -> Result<Value, ExpressionError> {
    if left.kind != right.kind {
        return fail(column, format!("a {} cannot be subtracted from a {}", right.kind, left.kind));
    }
    Ok(Value { number: left.number - right.number, ..left })
}

/// The product of two values. A number times another value has that value's type; a time
/// times a rate is a number.
///
/// # Errors
///
/// At `column`, if the product has no type, such as the product of two times.
pub(super) fn multiply(left: Value, right: Value, column: usize) -> Result<Value, ExpressionError> {
    let kind = match (left.kind, right.kind) {
        (Type::Number, kind) | (kind, Type::Number) => kind,
        (Type::Time, Type::Rate) | (Type::Rate, Type::Time) => Type::Number,
        (left, right) => return fail(column, format!("a {left} cannot be multiplied by a {right}")),
    };
    Ok(Value { kind, number: left.number * right.number })
}

/// The ratio of two values. A value divided by a number keeps its type, and the ratio of two
/// values of one type is a number. A number divided by a time is a rate, and a number divided
/// by a rate is a time.
///
/// # Errors
///
/// At `column`, if the divisor is 0 or the ratio has no type.
pub(super) fn divide(left: Value, right: Value, column: usize) -> Result<Value, ExpressionError> {
    if right.number == 0.0 {
        return fail(column, "division by zero");
    }
    let kind = match (left.kind, right.kind) {
        (kind, Type::Number) => kind,
        (left, right) if left == right => Type::Number,
        (Type::Number, Type::Time) => Type::Rate,
        (Type::Number, Type::Rate) => Type::Time,
        (left, right) => return fail(column, format!("a {left} cannot be divided by a {right}")),
    };
    Ok(Value { kind, number: left.number / right.number })
}
