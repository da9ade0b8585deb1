//! Settings as deserialized from a file, with positions for error messages.

use serde::Deserialize;
use serde_saphyr::Spanned;

/// Defines the raw settings of a program: the common fields and those of the program.
///
/// `serde(flatten)` is not used because it would accept unknown fields and lose positions.
macro_rules! raw_settings {
    ($(#[$doc:meta])* $name:ident { $($field:ident: $kind:ty,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub(super) struct $name {
            node: Spanned<String>,
            dc: Spanned<String>,
            listen: Spanned<String>,
            http: Spanned<String>,
            log: Spanned<String>,
            fleet: Spanned<Vec<Spanned<String>>>,
            tls: RawTls,
            limits: Option<RawLimits>,
            $($field: $kind,)*
        }

        impl $name {
            /// Splits it into the common fields and those of the program.
            pub(super) fn split(self) -> (RawNode, ($($kind,)*)) {
                let common = RawNode {
                    node: self.node,
                    dc: self.dc,
                    listen: self.listen,
                    http: self.http,
                    log: self.log,
                    fleet: self.fleet,
                    tls: self.tls,
                    limits: self.limits.unwrap_or_default(),
                };
                (common, ($(self.$field,)*))
            }
        }
    };
}

/// Paths of the TLS files.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTls {
    pub(super) ca: Spanned<String>,
    pub(super) cert: Spanned<String>,
    pub(super) key: Spanned<String>,
}

/// What the machine gives to the process.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawLimits {
    pub(super) memory_mb: Option<usize>,
    pub(super) descriptors: Option<usize>,
}

/// The fields common to all programs.
#[derive(Debug)]
pub(super) struct RawNode {
    pub(super) node: Spanned<String>,
    pub(super) dc: Spanned<String>,
    pub(super) listen: Spanned<String>,
    pub(super) http: Spanned<String>,
    pub(super) log: Spanned<String>,
    pub(super) fleet: Spanned<Vec<Spanned<String>>>,
    pub(super) tls: RawTls,
    pub(super) limits: RawLimits,
}

raw_settings!(
    /// Raw settings of a gate.
    RawGate {
        body_limit: Option<Spanned<String>>,
    }
);
raw_settings!(
    /// Raw settings of a scheduler.
    RawSched {}
);
raw_settings!(
    /// Raw settings of a fleet process.
    RawFleet {
        hosts: Spanned<String>,
        operators: Vec<Spanned<String>>,
    }
);
