//! CBOR: encoding, decoding and typed access to the fields of maps.

use ciborium::value::Value;
use thiserror::Error;

/// Maximum nesting depth of a decoded value. A hostile body with deeper nesting is rejected
/// before it can exhaust the stack.
const MAX_DEPTH: usize = 32;

/// Why a body or one of its fields was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Malformed {
    /// The body is not CBOR, is nested too deeply or has bytes after the value, or a value is
    /// not a map where a map is expected.
    #[error("not a CBOR map")]
    NotAMap,
    /// A required field, named by its key on the wire, is absent or null.
    #[error("field `{0}` is missing")]
    Missing(&'static str),
    /// A field, named by its key on the wire, has the wrong type or a value out of range.
    #[error("field `{0}` is invalid")]
    Invalid(&'static str),
}

/// Decodes one value that fills the whole body.
///
/// # Errors
///
/// [`Malformed::NotAMap`] if the bytes are not CBOR, are nested too deeply or continue after
/// the value.
pub fn decode(bytes: &[u8]) -> Result<Value, Malformed> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|_| Malformed::NotAMap)?;
    if rest.is_empty() { Ok(value) } else { Err(Malformed::NotAMap) }
}

/// Encodes a value.
pub fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    // Writing to memory cannot fail, and a `Value` is always encodable.
    let _ = ciborium::into_writer(value, &mut out);
    out
}

/// A CBOR map under construction. Entries are encoded in the order in which they are set;
/// a key must not be set twice.
#[derive(Debug, Default, Clone)]
pub struct MapBuilder(Vec<(Value, Value)>);

impl MapBuilder {
    /// An empty map.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends an entry.
    #[must_use]
    pub fn set(mut self, key: &str, value: impl Into<Value>) -> Self {
        self.0.push((Value::Text(key.to_owned()), value.into()));
        self
    }

    /// Appends an entry if there is a value; omits the key otherwise.
    #[must_use]
    pub fn set_some(self, key: &str, value: Option<impl Into<Value>>) -> Self {
        match value {
            Some(value) => self.set(key, value),
            None => self,
        }
    }

    /// The finished map.
    pub fn build(self) -> Value {
        Value::Map(self.0)
    }
}

/// A CBOR array of text strings.
pub fn text_array<'a>(items: impl IntoIterator<Item = &'a str>) -> Value {
    Value::Array(items.into_iter().map(Value::from).collect())
}

/// Read access to the fields of a map. A field that is null counts as absent. If a key occurs
/// twice, the first entry is used.
///
/// Each type of field has two methods: `opt_…` for an optional field, and one without the
/// prefix for a required field.
#[derive(Debug, Clone, Copy)]
pub struct Fields<'a>(&'a [(Value, Value)]);

impl<'a> Fields<'a> {
    /// The fields of a value that must be a map.
    ///
    /// # Errors
    ///
    /// [`Malformed::NotAMap`] if the value is not a map.
    pub fn of(value: &'a Value) -> Result<Self, Malformed> {
        match value {
            Value::Map(entries) => Ok(Fields(entries)),
            _ => Err(Malformed::NotAMap),
        }
    }

    /// The value of a field, whatever its type; `None` if it is absent.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        let (_, value) = self.0.iter().find(|(k, _)| k.as_text() == Some(key))?;
        if value.is_null() { None } else { Some(value) }
    }

    /// Converts an optional field; the conversion must succeed if the field is present.
    fn read<T>(
        &self,
        key: &'static str,
        convert: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, Malformed> {
        self.get(key).map(|value| convert(value).ok_or(Malformed::Invalid(key))).transpose()
    }

    /// An optional field that holds text.
    ///
    /// # Errors
    ///
    /// [`Malformed::Invalid`] if it is present and not text.
    pub fn opt_text(&self, key: &'static str) -> Result<Option<&'a str>, Malformed> {
        self.read(key, Value::as_text)
    }

    /// A required field that holds text.
    ///
    /// # Errors
    ///
    /// [`Malformed::Missing`] if it is absent, [`Malformed::Invalid`] if it is not text.
    pub fn text(&self, key: &'static str) -> Result<&'a str, Malformed> {
        self.opt_text(key)?.ok_or(Malformed::Missing(key))
    }

    /// An optional field that holds a boolean.
    ///
    /// # Errors
    ///
    /// [`Malformed::Invalid`] if it is present and not a boolean.
    pub fn opt_bool(&self, key: &'static str) -> Result<Option<bool>, Malformed> {
        self.read(key, Value::as_bool)
    }

    /// A required field that holds a boolean.
    ///
    /// # Errors
    ///
    /// [`Malformed::Missing`] if it is absent, [`Malformed::Invalid`] if it is not a boolean.
    pub fn bool(&self, key: &'static str) -> Result<bool, Malformed> {
        self.opt_bool(key)?.ok_or(Malformed::Missing(key))
    }

    /// An optional field that holds a non-negative integer.
    ///
    /// # Errors
    ///
    /// [`Malformed::Invalid`] if it is present and not such a number.
    pub fn opt_count(&self, key: &'static str) -> Result<Option<u64>, Malformed> {
        self.read(key, |v| u64::try_from(v.as_integer()?).ok())
    }

    /// A required field that holds a non-negative integer.
    ///
    /// # Errors
    ///
    /// [`Malformed::Missing`] if it is absent, [`Malformed::Invalid`] if it is not such a number.
    pub fn count(&self, key: &'static str) -> Result<u64, Malformed> {
        self.opt_count(key)?.ok_or(Malformed::Missing(key))
    }

    /// An optional field that holds a finite non-negative number, float or integer.
    ///
    /// # Errors
    ///
    /// [`Malformed::Invalid`] if it is present and not such a number.
    pub fn opt_amount(&self, key: &'static str) -> Result<Option<f64>, Malformed> {
        self.read(key, |v| number(v).filter(|n| n.is_finite() && *n >= 0.0))
    }

    /// A required field that holds a finite non-negative number, float or integer.
    ///
    /// # Errors
    ///
    /// [`Malformed::Missing`] if it is absent, [`Malformed::Invalid`] if it is not such a number.
    pub fn amount(&self, key: &'static str) -> Result<f64, Malformed> {
        self.opt_amount(key)?.ok_or(Malformed::Missing(key))
    }

    /// An optional field that holds an array.
    ///
    /// # Errors
    ///
    /// [`Malformed::Invalid`] if it is present and not an array.
    pub fn opt_list(&self, key: &'static str) -> Result<Option<&'a [Value]>, Malformed> {
        self.read(key, |v| v.as_array().map(Vec::as_slice))
    }

    /// A required field that holds an array.
    ///
    /// # Errors
    ///
    /// [`Malformed::Missing`] if it is absent, [`Malformed::Invalid`] if it is not an array.
    pub fn list(&self, key: &'static str) -> Result<&'a [Value], Malformed> {
        self.opt_list(key)?.ok_or(Malformed::Missing(key))
    }

    /// An optional field that holds an array of text strings.
    ///
    /// # Errors
    ///
    /// [`Malformed::Invalid`] if it is present and not an array, or one of its items is not
    /// text.
    pub fn opt_texts(&self, key: &'static str) -> Result<Option<Vec<String>>, Malformed> {
        self.read(key, |v| v.as_array()?.iter().map(|item| item.as_text().map(str::to_owned)).collect())
    }
}

/// A float or integer as a float. An integer beyond 2^53 is rounded to the nearest float,
/// which is exact enough for an amount.
fn number(value: &Value) -> Option<f64> {
    match value {
        Value::Float(number) => Some(*number),
        Value::Integer(number) => Some(i128::from(*number) as f64),
        _ => None,
    }
}

/// Maximum size in bytes of one escaped byte in JSON (`\u001f`).
const JSON_ESCAPE_BYTES: usize = 6;
/// Maximum size in bytes of a float in JSON.
const JSON_FLOAT_BYTES: usize = 24;
/// Size in bytes of the longest of `true`, `false` and `null` in JSON.
const JSON_LITERAL_BYTES: usize = 5;
/// Size in bytes assumed for a value that has no JSON form; such a value is never sent.
const JSON_OTHER_BYTES: usize = 64;

/// An upper bound of a value's size in bytes when it is encoded as JSON. The platform's size
/// limits refer to that encoding. Each byte that JSON may have to escape is counted as escaped.
pub fn max_json_size(value: &Value) -> usize {
    match value {
        Value::Text(text) => 2 + text.bytes().map(json_byte_size).sum::<usize>(),
        Value::Integer(number) => i128::from(*number).to_string().len(),
        Value::Float(_) => JSON_FLOAT_BYTES,
        Value::Bool(_) | Value::Null => JSON_LITERAL_BYTES,
        Value::Array(items) => 2 + items.iter().map(|item| max_json_size(item) + 1).sum::<usize>(),
        Value::Map(entries) => {
            2 + entries
                .iter()
                .map(|(key, value)| max_json_size(key) + max_json_size(value) + 2)
                .sum::<usize>()
        }
        _ => JSON_OTHER_BYTES,
    }
}

fn json_byte_size(byte: u8) -> usize {
    if byte < 32 || byte == b'"' || byte == b'\\' { JSON_ESCAPE_BYTES } else { 1 }
}

#[cfg(test)]
mod tests;
