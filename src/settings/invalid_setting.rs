//! Errors in the contents of a settings file.

use std::fmt;

use serde_saphyr::Error;
use serde_saphyr::Location;
use serde_saphyr::Spanned;

/// An error in a settings file with its position. The position of a missing field is that of the
/// last field of the same mapping.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Line number, counted from 1.
    pub line: u64,
    /// Column number, counted from 1.
    pub column: u64,
    /// Name of the field; `None` if the error cannot be assigned to one.
    pub field: Option<String>,
    /// What is wrong with the field or the file.
    pub reason: String,
    /// Which values or fields are valid; `None` if this is not known.
    pub allowed: Option<String>,
}

impl InvalidSetting {
    /// Creates an error for the value of `field`.
    pub(super) fn in_field<T>(
        field: &str,
        value: &Spanned<T>,
        reason: impl fmt::Display,
        allowed: &str,
    ) -> Self {
        Self {
            field: Some(field.into()),
            allowed: Some(allowed.into()),
            ..Self::at(value.referenced, reason.to_string())
        }
    }

    /// Converts an error that the parser found in `text`.
    pub(super) fn from_parser(err: &Error, text: &str) -> Self {
        let err = err.without_snippet();
        let location = err.location().unwrap_or(Location::UNKNOWN);
        match err {
            Error::SerdeUnknownField {
                field, expected, ..
            } => Self {
                field: Some(field.clone()),
                allowed: Some(expected.join(", ")),
                ..Self::at(location, "unknown".into())
            },
            Error::SerdeMissingField { field, .. } => Self {
                field: Some((*field).into()),
                ..Self::at(location, "missing".into())
            },
            Error::DuplicateMappingKey { key: Some(key), .. } => Self {
                field: Some(key.clone()),
                ..Self::at(location, "given twice".into())
            },
            Error::Unexpected { expected, .. } => Self {
                field: field_at(text, location.line()),
                allowed: Some(yaml_type(expected).into()),
                ..Self::at(location, "wrong type of value".into())
            },
            other => Self::at(location, without_position(other, location)),
        }
    }

    fn at(location: Location, reason: String) -> Self {
        Self {
            line: location.line().max(1),
            column: location.column().max(1),
            field: None,
            reason,
            allowed: None,
        }
    }
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if let Some(field) = &self.field {
            write!(f, "field `{field}`: ")?;
        }
        f.write_str(&self.reason)?;
        match &self.allowed {
            Some(allowed) => write!(f, "; allowed: {allowed}"),
            None => Ok(()),
        }
    }
}

/// Message of the parser without the position, which the error has already.
fn without_position(err: &Error, location: Location) -> String {
    let text = err.to_string();
    let (line, column) = (location.line(), location.column());
    let position = format!(" at line {line}, column {column}");
    text.replacen(&position, "", 1)
}

/// Translates the parser's name of a type into YAML terms.
fn yaml_type(expected: &str) -> &str {
    match expected {
        "string scalar" => "a string",
        "sequence start" => "a sequence",
        "mapping start" => "a mapping",
        other => other,
    }
}

/// Name of the last key that begins on `line` or above it.
fn field_at(text: &str, line: u64) -> Option<String> {
    let line = usize::try_from(line).ok()?;
    let lines: Vec<&str> = text.lines().take(line).collect();
    let keys = lines.iter().rev().filter_map(|line| line.split_once(':'));
    keys.map(|(key, _)| key.trim())
        .find(|key| !key.is_empty() && key.chars().all(|c| c.is_ascii_lowercase() || c == '_'))
        .map(Into::into)
}
