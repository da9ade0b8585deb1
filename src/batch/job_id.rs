//! Job ids.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Number of hexadecimal digits of a job id.
const DIGITS: usize = 16;

quick_error! {
    /// Why a text is not a job id.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum JobIdError {
        /// Not 16 hexadecimal digits.
        Malformed {
            display("a job's id has {} hexadecimal digits", DIGITS)
        }
    }
}

/// Id of a job, chosen by its client: 16 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(u64);

impl JobId {
    /// Number by which the job takes part in a draw, the lowest first. It is the same in each draw,
    /// so that a job which has been drawn stays ahead until all its tasks have started.
    #[must_use]
    pub fn draw(self) -> u64 {
        xxh3_64(&self.0.to_be_bytes())
    }
}

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, JobIdError> {
        let plain = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !plain {
            return Err(JobIdError::Malformed);
        }
        let number = u64::from_str_radix(text, 16).map_err(|_| JobIdError::Malformed)?;
        Ok(Self(number))
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
