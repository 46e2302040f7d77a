//! Reading and parsing the settings file.

use std::path::Path;

use super::validate::InvalidField;
use super::{Settings, SettingsError};

impl Settings {
    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Unreadable`] if the file cannot be read, and the errors of
    /// [`Settings::parse`].
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| SettingsError::Unreadable { file: file.to_owned(), source })?;
        Self::parse(&text, file)
    }

    /// Parses and validates the text of a settings file. `file` is used only in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Malformed`] if the text is not TOML, or lacks a field or has one of the
    /// wrong type,
    /// [`SettingsError::InvalidField`] for the first field with an invalid value.
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::Malformed {
            file: file.to_owned(),
            reason: describe_parse_error(text, &error),
        })?;
        settings.validate().map_err(|InvalidField { field, reason }| SettingsError::InvalidField {
            file: file.to_owned(),
            field,
            reason,
        })?;
        Ok(settings)
    }
}

/// The parser's message in one line: without the excerpt of the file, but with the line number
/// and the field set in that line, if they are known.
fn describe_parse_error(text: &str, error: &toml::de::Error) -> String {
    let message = error.message().replace('\n', " ");
    let Some(span) = error.span() else { return message };
    let text_before = text.get(..span.start).unwrap_or(text);
    let line_number = text_before.matches('\n').count() + 1;
    let line = text.lines().nth(line_number - 1).unwrap_or_default();
    match line.split_once('=') {
        Some((field, _)) => format!("line {line_number}: field `{}`: {message}", field.trim()),
        None => format!("line {line_number}: {message}"),
    }
}
