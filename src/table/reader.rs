//! Reads a file of rows.

use std::collections::HashMap;

use csv::ByteRecord;
use csv::ReaderBuilder;
use csv::Trim;

use crate::table::Fields;
use crate::table::Row;
use crate::table::TableError;

/// Most bytes of a file.
pub const FILE_LIMIT: usize = 1024 * 1024;

/// Reads the rows of `bytes`; `file` names the file in errors.
///
/// # Errors
/// Every [`TableError`] of the file.
pub fn parse<R: Row>(file: &str, bytes: &[u8]) -> Result<Vec<R>, Vec<TableError>> {
    if bytes.len() > FILE_LIMIT {
        return Err(vec![TableError::TooLarge(file.to_owned(), bytes.len())]);
    }
    let mut reader = Reader::new(file);
    let mut records = ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(Trim::All)
        .from_reader(bytes);
    let mut record = ByteRecord::new();
    // A reader of bytes in memory that takes rows of any length has no errors.
    while records.read_byte_record(&mut record).unwrap_or(false) {
        reader.take(line_of(bytes, &record), &record);
    }
    reader.finish()
}

/// The line that a record starts on: the position of the crate is before skipped blank lines.
fn line_of(bytes: &[u8], record: &ByteRecord) -> u64 {
    let Some(position) = record.position() else {
        return 1;
    };
    let start = usize::try_from(position.byte()).unwrap_or(usize::MAX);
    let rest = bytes.get(start..).unwrap_or_default();
    let blank = rest.iter().take_while(|byte| matches!(byte, b'\r' | b'\n'));
    position.line() + blank.filter(|byte| **byte == b'\n').count() as u64
}

struct Reader<'a, R> {
    file: &'a str,
    headed: bool,
    rows: Vec<R>,
    lines: HashMap<Vec<u8>, u64>,
    errors: Vec<TableError>,
}

impl<'a, R: Row> Reader<'a, R> {
    fn new(file: &'a str) -> Self {
        Self {
            file,
            headed: false,
            rows: Vec::new(),
            lines: HashMap::new(),
            errors: Vec::new(),
        }
    }

    fn take(&mut self, line: u64, record: &ByteRecord) {
        if self.headed {
            return self.row(line, record);
        }
        self.headed = true;
        if !record
            .iter()
            .eq(R::HEADER.iter().map(|name| name.as_bytes()))
        {
            self.header_error(line);
        }
    }

    fn row(&mut self, line: u64, record: &ByteRecord) {
        let mut fields = Fields::new(R::HEADER, record);
        let row = if fields.complete() {
            R::read(&mut fields)
        } else {
            None
        };
        let name = record.get(0).unwrap_or_default();
        match self.lines.get(name) {
            Some(first) => fields.note(R::HEADER[0], format!("stands already on line {first}")),
            None => drop(self.lines.insert(name.to_vec(), line)),
        }
        for (field, problem) in fields.into_problems() {
            self.error(line, field, problem);
        }
        self.rows.extend(row);
    }

    fn header_error(&mut self, line: u64) {
        let problem = format!("the first line must be `{}`", R::HEADER.join(","));
        self.error(line, R::HEADER[0].to_owned(), problem);
    }

    fn error(&mut self, line: u64, field: String, problem: String) {
        self.errors.push(TableError::Field(
            self.file.to_owned(),
            line,
            field,
            problem,
        ));
    }

    fn finish(mut self) -> Result<Vec<R>, Vec<TableError>> {
        if !self.headed {
            self.header_error(1);
        }
        if self.errors.is_empty() {
            Ok(self.rows)
        } else {
            Err(self.errors)
        }
    }
}
