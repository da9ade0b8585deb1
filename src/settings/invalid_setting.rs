//! What is wrong in a settings file.

use std::fmt;

use serde_saphyr::Error;
use serde_saphyr::Location;
use serde_saphyr::Spanned;

/// A place in a settings file and what is wrong there; a missing field has the place of the last
/// one beside which it should stand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Counted from 1.
    pub line: u64,
    /// Counted from 1.
    pub column: u64,
    /// The field, where one can be named.
    pub field: Option<String>,
    /// What is wrong.
    pub why: String,
    /// What would be right, where that can be told.
    pub allowed: Option<String>,
}

impl InvalidSetting {
    /// What is wrong with the value of `field`.
    pub(super) fn of<T>(
        field: &str,
        value: &Spanned<T>,
        why: impl fmt::Display,
        allowed: &str,
    ) -> Self {
        Self {
            field: Some(field.into()),
            allowed: Some(allowed.into()),
            ..Self::at(value.referenced, why.to_string())
        }
    }

    /// What serde found wrong in `text`.
    pub(super) fn found(err: &Error, text: &str) -> Self {
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
                allowed: Some(kind(expected).into()),
                ..Self::at(location, "another kind of value".into())
            },
            other => Self::at(location, plain(other, location)),
        }
    }

    fn at(location: Location, why: String) -> Self {
        Self {
            line: location.line().max(1),
            column: location.column().max(1),
            field: None,
            why,
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
        f.write_str(&self.why)?;
        match &self.allowed {
            Some(allowed) => write!(f, "; allowed: {allowed}"),
            None => Ok(()),
        }
    }
}

/// The parser's words without the place, which is told already.
fn plain(err: &Error, location: Location) -> String {
    let text = err.to_string();
    let (line, column) = (location.line(), location.column());
    let place = format!(" at line {line}, column {column}");
    text.replacen(&place, "", 1)
}

/// The parser's word for a kind of value in YAML's own terms.
fn kind(expected: &str) -> &str {
    match expected {
        "string scalar" => "a string",
        "sequence start" => "a sequence",
        "mapping start" => "a mapping",
        other => other,
    }
}

/// The last key that begins on `line` or above it.
fn field_at(text: &str, line: u64) -> Option<String> {
    let line = usize::try_from(line).ok()?;
    let lines: Vec<&str> = text.lines().take(line).collect();
    let keys = lines.iter().rev().filter_map(|line| line.split_once(':'));
    keys.map(|(key, _)| key.trim())
        .find(|key| !key.is_empty() && key.chars().all(|c| c.is_ascii_lowercase() || c == '_'))
        .map(Into::into)
}
