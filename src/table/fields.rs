//! The fields of one row.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use csv::ByteRecord;

/// The fields of one row, with the problems found so far.
pub struct Fields<'a> {
    header: &'static [&'static str],
    record: &'a ByteRecord,
    problems: Vec<(String, String)>,
}

impl<'a> Fields<'a> {
    /// The fields of `record`; a wrong number of fields is noted as a problem.
    #[must_use]
    pub fn new(header: &'static [&'static str], record: &'a ByteRecord) -> Self {
        let mut fields = Self {
            header,
            record,
            problems: Vec::new(),
        };
        if let Some(missing) = header.get(record.len()) {
            fields.note(missing, "is missing");
        }
        if record.len() > header.len() {
            let problem = format!(
                "{} fields, but the header has {}",
                record.len(),
                header.len()
            );
            fields.note(&(header.len() + 1).to_string(), problem);
        }
        fields
    }

    /// Whether the row has as many fields as the header.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.record.len() == self.header.len()
    }

    /// Notes a problem of a field.
    pub fn note(&mut self, field: &str, problem: impl Display) {
        self.problems.push((field.to_owned(), problem.to_string()));
    }

    /// The problems as pairs of a field and what is wrong with it.
    #[must_use]
    pub fn into_problems(self) -> Vec<(String, String)> {
        self.problems
    }

    /// A field as text.
    pub fn text(&mut self, field: &'static str) -> Option<&'a str> {
        let index = self.header.iter().position(|name| *name == field)?;
        let text = std::str::from_utf8(self.record.get(index)?);
        if text.is_err() {
            self.note(field, "is not UTF-8");
        }
        text.ok()
    }

    /// A field that has a text form of its own.
    pub fn parsed<T: FromStr<Err: Display>>(&mut self, field: &'static str) -> Option<T> {
        let text = self.text(field)?;
        let value = text.parse();
        self.kept(field, text, value)
    }

    /// A field that has a text form of its own, or is empty.
    pub fn optional<T: FromStr<Err: Display>>(&mut self, field: &'static str) -> Option<Option<T>> {
        if self.text(field)?.is_empty() {
            return Some(None);
        }
        self.parsed(field).map(Some)
    }

    /// A field that lists values, separated by spaces.
    pub fn list<T: FromStr<Err: Display>>(&mut self, field: &'static str) -> Option<Vec<T>> {
        let text = self.text(field)?;
        let values = text.split_whitespace().map(str::parse).collect();
        self.kept(field, text, values)
    }

    /// A field with a whole number within `range`.
    pub fn number(&mut self, field: &'static str, range: RangeInclusive<u32>) -> Option<u32> {
        let text = self.text(field)?;
        let plain = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        let value = text
            .parse()
            .ok()
            .filter(|value| plain && range.contains(value));
        if value.is_none() {
            let (least, most) = range.into_inner();
            self.note(
                field,
                format!("a whole number from {least} to {most}, not {text:?}"),
            );
        }
        value
    }

    /// A field that says `yes` or `no`.
    pub fn flag(&mut self, field: &'static str) -> Option<bool> {
        match self.text(field)? {
            "yes" => Some(true),
            "no" => Some(false),
            text => {
                self.note(field, format!("`yes` or `no`, not {text:?}"));
                None
            }
        }
    }

    fn kept<T, E: Display>(
        &mut self,
        field: &'static str,
        text: &str,
        value: Result<T, E>,
    ) -> Option<T> {
        match value {
            Ok(value) => Some(value),
            Err(error) => {
                self.note(field, format!("{text:?}: {error}"));
                None
            }
        }
    }
}
