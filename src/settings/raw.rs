//! Settings as they stand in a file; places are kept for the checks.

use serde::Deserialize;
use serde_saphyr::Spanned;

/// Defines a program's wire form: the fields that all have, and its own.
///
/// Not by `serde(flatten)`, which would accept unknown fields and lose their places.
macro_rules! wire {
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
            $($field: $kind,)*
        }

        impl $name {
            /// Parts it into the fields that all have and its own.
            pub(super) fn part(self) -> (RawNode, ($($kind,)*)) {
                let common = RawNode {
                    node: self.node,
                    dc: self.dc,
                    listen: self.listen,
                    http: self.http,
                    log: self.log,
                    fleet: self.fleet,
                    tls: self.tls,
                };
                (common, ($(self.$field,)*))
            }
        }
    };
}

/// Files of a node's identity.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTls {
    pub(super) ca: Spanned<String>,
    pub(super) cert: Spanned<String>,
    pub(super) key: Spanned<String>,
}

/// The fields that all programs have.
#[derive(Debug)]
pub(super) struct RawNode {
    pub(super) node: Spanned<String>,
    pub(super) dc: Spanned<String>,
    pub(super) listen: Spanned<String>,
    pub(super) http: Spanned<String>,
    pub(super) log: Spanned<String>,
    pub(super) fleet: Spanned<Vec<Spanned<String>>>,
    pub(super) tls: RawTls,
}

wire!(
    /// Of a gate.
    RawGate {
        body_limit: Option<Spanned<String>>,
    }
);
wire!(
    /// Of a scheduler.
    RawSched {}
);
wire!(
    /// Of a fleet process.
    RawFleet {
        hosts: Spanned<String>,
        operators: Vec<Spanned<String>>,
    }
);
