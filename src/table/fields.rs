//! Fields of one table row.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use csv::ByteRecord;

/// Typed access to the fields of one row; collects the problems found. The accessors return none
/// if a field is missing or invalid, and add a problem if it is invalid.
pub struct Fields<'a> {
    header: &'static [&'static str],
    record: &'a ByteRecord,
    problems: Vec<(String, String)>,
}

impl<'a> Fields<'a> {
    /// Wraps `record`; adds a problem if its number of fields differs from that of `header`.
    #[must_use]
    pub fn new(header: &'static [&'static str], record: &'a ByteRecord) -> Self {
        let mut fields = Self {
            header,
            record,
            problems: Vec::new(),
        };
        if let Some(missing) = header.get(record.len()) {
            fields.add_problem(missing, "is missing");
        }
        if record.len() > header.len() {
            let problem = format!(
                "{} fields, but the header has {}",
                record.len(),
                header.len()
            );
            fields.add_problem(&(header.len() + 1).to_string(), problem);
        }
        fields
    }

    /// Whether the row has as many fields as the header.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.record.len() == self.header.len()
    }

    /// Adds a problem with a field.
    pub fn add_problem(&mut self, field: &str, problem: impl Display) {
        self.problems.push((field.to_owned(), problem.to_string()));
    }

    /// All problems as pairs of field name and description.
    #[must_use]
    pub fn into_problems(self) -> Vec<(String, String)> {
        self.problems
    }

    /// A field as UTF-8 text.
    pub fn text(&mut self, field: &'static str) -> Option<&'a str> {
        let index = self.header.iter().position(|name| *name == field)?;
        let text = std::str::from_utf8(self.record.get(index)?);
        if text.is_err() {
            self.add_problem(field, "is not UTF-8");
        }
        text.ok()
    }

    /// A field parsed by its type's `FromStr`.
    pub fn parsed<T: FromStr<Err: Display>>(&mut self, field: &'static str) -> Option<T> {
        let text = self.text(field)?;
        let value = text.parse();
        self.checked(field, text, value)
    }

    /// A field parsed by its type's `FromStr`; `Some(None)` if it is empty.
    pub fn optional<T: FromStr<Err: Display>>(&mut self, field: &'static str) -> Option<Option<T>> {
        if self.text(field)?.is_empty() {
            return Some(None);
        }
        self.parsed(field).map(Some)
    }

    /// A list of values separated by white space.
    pub fn list<T: FromStr<Err: Display>>(&mut self, field: &'static str) -> Option<Vec<T>> {
        let text = self.text(field)?;
        let values = text.split_whitespace().map(str::parse).collect();
        self.checked(field, text, values)
    }

    /// A whole number within `range`, in decimal digits only.
    pub fn number(&mut self, field: &'static str, range: RangeInclusive<u32>) -> Option<u32> {
        let text = self.text(field)?;
        let is_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        let value = text
            .parse()
            .ok()
            .filter(|value| is_digits && range.contains(value));
        if value.is_none() {
            let (least, most) = range.into_inner();
            self.add_problem(
                field,
                format!("expected a whole number from {least} to {most}, got {text:?}"),
            );
        }
        value
    }

    /// A flag written as `yes` or `no`.
    pub fn yes_no(&mut self, field: &'static str) -> Option<bool> {
        match self.text(field)? {
            "yes" => Some(true),
            "no" => Some(false),
            text => {
                self.add_problem(field, format!("expected `yes` or `no`, got {text:?}"));
                None
            }
        }
    }

    fn checked<T, E: Display>(
        &mut self,
        field: &'static str,
        text: &str,
        value: Result<T, E>,
    ) -> Option<T> {
        match value {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_problem(field, format!("{text:?}: {error}"));
                None
            }
        }
    }
}
