//! Names of teams, pools, hosts and the other things that operators create.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a name, in bytes.
pub const NAME_LIMIT: usize = 64;

quick_error! {
    /// Why a text is not a valid name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NameError {
        /// The text is empty.
        Empty {
            display("a name must not be empty")
        }
        /// The text is longer than [`NAME_LIMIT`] bytes.
        TooLong(len: usize) {
            display("a name has at most {} bytes, this one has {}", NAME_LIMIT, len)
        }
        /// The text contains a character other than `a-z A-Z 0-9 - _ .`.
        BadCharacter(character: char) {
            display("a name holds only letters, digits, '-', '_' and '.', not {:?}", character)
        }
    }
}

fn validate(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_LIMIT {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|&c| !allowed(c)) {
        Some(character) => Err(NameError::BadCharacter(character)),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text`.
            ///
            /// # Errors
            /// A [`NameError`] if `text` is empty, too long or contains a forbidden character.
            pub fn new(text: &str) -> Result<Self, NameError> {
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                Self::from(&*name.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// Name of a team that submits requests.
    TeamName
);
name!(
    /// Name of a pool of hosts.
    PoolName
);
name!(
    /// Name of a backend server host.
    HostName
);
name!(
    /// Name of a data centre.
    DcName
);
name!(
    /// Name of a rack, a failure domain inside a data centre.
    RackName
);
name!(
    /// Name of a service that clients send requests to.
    ServiceName
);
name!(
    /// Name of one of the system's own processes (a node).
    NodeName
);
name!(
    /// Name of a queue to which jobs are submitted.
    QueueName
);
name!(
    /// Id of an executor: one incarnation of a host in a pool.
    ExecutorId
);
