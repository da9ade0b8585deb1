//! Reader of table files.

use std::collections::HashMap;

use csv::ByteRecord;
use csv::ReaderBuilder;
use csv::Trim;

use crate::table::Fields;
use crate::table::Row;
use crate::table::TableError;

/// Maximum size of a table file, in bytes.
pub const FILE_LIMIT: usize = 1024 * 1024;

/// Parses the rows of `bytes`, which start with a header line; `file` names the file in errors.
///
/// # Errors
/// All [`TableError`]s of the file.
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
    // Reading flexible records from memory can't fail.
    while records.read_byte_record(&mut record).unwrap_or(false) {
        reader.read_record(start_line(bytes, &record), &record);
    }
    reader.finish()
}

/// Line on which a record starts. The position that `csv` reports lies before any blank lines that
/// it skipped.
fn start_line(bytes: &[u8], record: &ByteRecord) -> u64 {
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
    /// Whether the header line was read.
    has_header: bool,
    rows: Vec<R>,
    /// First line of each row's first field, to detect duplicates.
    lines: HashMap<Vec<u8>, u64>,
    errors: Vec<TableError>,
}

impl<'a, R: Row> Reader<'a, R> {
    fn new(file: &'a str) -> Self {
        Self {
            file,
            has_header: false,
            rows: Vec::new(),
            lines: HashMap::new(),
            errors: Vec::new(),
        }
    }

    fn read_record(&mut self, line: u64, record: &ByteRecord) {
        if self.has_header {
            return self.read_row(line, record);
        }
        self.has_header = true;
        if !record
            .iter()
            .eq(R::HEADER.iter().map(|name| name.as_bytes()))
        {
            self.add_header_error(line);
        }
    }

    fn read_row(&mut self, line: u64, record: &ByteRecord) {
        let mut fields = Fields::new(R::HEADER, record);
        let row = if fields.is_complete() {
            R::read(&mut fields)
        } else {
            None
        };
        let name = record.get(0).unwrap_or_default();
        match self.lines.get(name) {
            Some(first) => fields.add_problem(R::HEADER[0], format!("duplicate of line {first}")),
            None => drop(self.lines.insert(name.to_vec(), line)),
        }
        for (field, problem) in fields.into_problems() {
            self.add_error(line, field, problem);
        }
        self.rows.extend(row);
    }

    fn add_header_error(&mut self, line: u64) {
        let problem = format!("the first line must be `{}`", R::HEADER.join(","));
        self.add_error(line, R::HEADER[0].to_owned(), problem);
    }

    fn add_error(&mut self, line: u64, field: String, problem: String) {
        self.errors.push(TableError::Field(
            self.file.to_owned(),
            line,
            field,
            problem,
        ));
    }

    fn finish(mut self) -> Result<Vec<R>, Vec<TableError>> {
        if !self.has_header {
            self.add_header_error(1);
        }
        if self.errors.is_empty() {
            Ok(self.rows)
        } else {
            Err(self.errors)
        }
    }
}
