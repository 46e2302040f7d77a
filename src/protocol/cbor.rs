//! CBOR values and checked access to their fields.

use ciborium::value::Value;
use thiserror::Error;

/// Nesting beyond this is refused before it can exhaust the stack.
const MAX_DEPTH: usize = 32;

#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Malformed {
    #[error("not a CBOR map")]
    NotAMap,
    #[error("field `{0}` is missing")]
    Missing(&'static str),
    #[error("field `{0}` is invalid")]
    Invalid(&'static str),
}

/// Reads one value that fills the whole body.
pub fn decode(bytes: &[u8]) -> Result<Value, Malformed> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|_| Malformed::NotAMap)?;
    if rest.is_empty() { Ok(value) } else { Err(Malformed::NotAMap) }
}

pub fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory cannot fail, and a `Value` is always encodable.
    let _ = ciborium::into_writer(value, &mut out);
    out
}

/// A map under construction.
#[derive(Debug, Default, Clone)]
pub struct MapBuilder(Vec<(Value, Value)>);

impl MapBuilder {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn set(mut self, key: &str, value: impl Into<Value>) -> Self {
        self.0.push((Value::Text(key.to_owned()), value.into()));
        self
    }

    pub fn set_some(self, key: &str, value: Option<impl Into<Value>>) -> Self {
        match value {
            Some(value) => self.set(key, value),
            None => self,
        }
    }

    pub fn build(self) -> Value {
        Value::Map(self.0)
    }
}

pub fn texts<'a>(items: impl IntoIterator<Item = &'a str>) -> Value {
    Value::Array(items.into_iter().map(Value::from).collect())
}

/// Read access to a map's fields. `null` counts as absent.
#[derive(Debug, Clone, Copy)]
pub struct Fields<'a>(&'a [(Value, Value)]);

impl<'a> Fields<'a> {
    pub fn of(value: &'a Value) -> Result<Self, Malformed> {
        match value {
            Value::Map(entries) => Ok(Fields(entries)),
            _ => Err(Malformed::NotAMap),
        }
    }

    pub fn get(&self, key: &str) -> Option<&'a Value> {
        let (_, value) = self.0.iter().find(|(k, _)| k.as_text() == Some(key))?;
        if value.is_null() { None } else { Some(value) }
    }

    /// Reads an optional field with a conversion that must succeed if it is there.
    fn read<T>(
        &self,
        key: &'static str,
        convert: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, Malformed> {
        self.get(key).map(|value| convert(value).ok_or(Malformed::Invalid(key))).transpose()
    }

    pub fn opt_text(&self, key: &'static str) -> Result<Option<&'a str>, Malformed> {
        self.read(key, Value::as_text)
    }

    pub fn text(&self, key: &'static str) -> Result<&'a str, Malformed> {
        self.opt_text(key)?.ok_or(Malformed::Missing(key))
    }

    pub fn opt_bool(&self, key: &'static str) -> Result<Option<bool>, Malformed> {
        self.read(key, Value::as_bool)
    }

    pub fn bool(&self, key: &'static str) -> Result<bool, Malformed> {
        self.opt_bool(key)?.ok_or(Malformed::Missing(key))
    }

    pub fn opt_count(&self, key: &'static str) -> Result<Option<u64>, Malformed> {
        self.read(key, |v| u64::try_from(v.as_integer()?).ok())
    }

    pub fn count(&self, key: &'static str) -> Result<u64, Malformed> {
        self.opt_count(key)?.ok_or(Malformed::Missing(key))
    }

    /// An amount: finite and not negative.
    pub fn opt_amount(&self, key: &'static str) -> Result<Option<f64>, Malformed> {
        self.read(key, |v| number(v).filter(|n| n.is_finite() && *n >= 0.0))
    }

    pub fn amount(&self, key: &'static str) -> Result<f64, Malformed> {
        self.opt_amount(key)?.ok_or(Malformed::Missing(key))
    }

    pub fn opt_list(&self, key: &'static str) -> Result<Option<&'a [Value]>, Malformed> {
        self.read(key, |v| v.as_array().map(Vec::as_slice))
    }

    pub fn list(&self, key: &'static str) -> Result<&'a [Value], Malformed> {
        self.opt_list(key)?.ok_or(Malformed::Missing(key))
    }

    pub fn opt_texts(&self, key: &'static str) -> Result<Option<Vec<String>>, Malformed> {
        self.read(key, |v| v.as_array()?.iter().map(|item| item.as_text().map(str::to_owned)).collect())
    }
}

fn number(value: &Value) -> Option<f64> {
    match value {
        Value::Float(number) => Some(*number),
        Value::Integer(number) => Some(i128::from(*number) as f64),
        _ => None,
    }
}

/// The size of a value in the JSON form in which the platform counts limits.
/// Never too small: every text is counted as if each byte might need escaping
/// only where it does.
pub fn json_size(value: &Value) -> usize {
    match value {
        Value::Text(text) => {
            2 + text.bytes().map(|b| if b < 32 || b == b'"' || b == b'\\' { 6 } else { 1 }).sum::<usize>()
        }
        Value::Integer(number) => i128::from(*number).to_string().len(),
        Value::Float(_) => 24,
        Value::Bool(_) | Value::Null => 5,
        Value::Array(items) => 2 + items.iter().map(|item| json_size(item) + 1).sum::<usize>(),
        Value::Map(entries) => {
            2 + entries.iter().map(|(k, v)| json_size(k) + json_size(v) + 2).sum::<usize>()
        }
        _ => 64,
    }
}

#[cfg(test)]
mod tests;
