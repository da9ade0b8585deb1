//! Reads the files given on the command line.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use crate::ctl::CtlError;
use crate::table::FILE_LIMIT;
use crate::table::Row;
use crate::table::parse;

/// Reads and parses the rows of a file; a usage error lists every invalid row.
pub fn read_rows<R: Row>(path: &Path) -> Result<Vec<R>, CtlError> {
    let bytes = read(path)?;
    parse(&path.display().to_string(), &bytes)
        .map_err(|errors| CtlError::Usage(errors.iter().map(ToString::to_string).collect()))
}

/// Reads the key in a file, without surrounding whitespace.
pub fn read_key(path: &Path) -> Result<String, CtlError> {
    let bytes = read(path)?;
    let text = String::from_utf8(bytes).unwrap_or_default();
    let key = text.trim();
    let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || !printable {
        let problem = format!(
            "{}: expected a key of printable ASCII without spaces",
            path.display()
        );
        return Err(CtlError::usage(problem));
    }
    Ok(key.to_owned())
}

fn read(path: &Path) -> Result<Vec<u8>, CtlError> {
    let mut bytes = Vec::new();
    // One byte beyond the limit suffices for the parser to reject the file.
    File::open(path)
        .and_then(|file| file.take(FILE_LIMIT as u64 + 1).read_to_end(&mut bytes))
        .map_err(|error| CtlError::usage(format!("{}: {error}", path.display())))?;
    Ok(bytes)
}
