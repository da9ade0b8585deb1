//! Why a command failed, and the exit code that says so.

use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CtlError {
        /// The change lost a race or is invalid.
        Rejected(message: String) {
            display("{}", message)
        }
        /// The command line or files are wrong; one line a problem.
        Usage(problems: Vec<String>) {
            display("{}", problems.join("\n"))
        }
        /// Nothing was appended: a repeat is safe.
        NotAppended(message: String) {
            display("{}; nothing was changed, a repeat is safe", message)
        }
        /// The change may be in the log.
        Unknown(message: String) {
            display("{}; the outcome is unknown, see the state before a repeat", message)
        }
    }
}

impl CtlError {
    /// One problem of the command line or a file.
    #[must_use]
    pub fn usage(problem: impl ToString) -> Self {
        Self::Usage(vec![problem.to_string()])
    }

    /// Exit code of the program.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Rejected(_) => 1,
            Self::Usage(_) => 2,
            Self::NotAppended(_) => 3,
            Self::Unknown(_) => 4,
        }
    }
}
