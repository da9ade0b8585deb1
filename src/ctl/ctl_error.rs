//! Failure of a command, with its exit code.

use quick_error::quick_error;

quick_error! {
    /// Failure of a command; each variant has an exit code of its own.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CtlError {
        /// The change is invalid or conflicts with a later revision, or nothing matched.
        Rejected(message: String) {
            display("{}", message)
        }
        /// The command line, a key or a file is invalid; one line for each problem.
        Usage(problems: Vec<String>) {
            display("{}", problems.join("\n"))
        }
        /// Nothing was appended to the log: retrying is safe.
        NotAppended(message: String) {
            display("{}; nothing was changed, retrying is safe", message)
        }
        /// The outcome is unknown: the change may be in the log.
        Unknown(message: String) {
            display("{}; the outcome is unknown, check the state before retrying", message)
        }
    }
}

impl CtlError {
    /// Creates a usage error with a single problem.
    #[must_use]
    pub fn usage(problem: impl ToString) -> Self {
        Self::Usage(vec![problem.to_string()])
    }

    /// Exit code of the process, from 1 to 4.
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
