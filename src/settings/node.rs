//! Settings that all programs have.

use std::net::SocketAddr;

use crate::name::DcName;
use crate::name::NodeName;
use crate::settings::BaseUrl;
use crate::settings::InvalidSetting;
use crate::settings::TlsSettings;
use crate::settings::raw::RawNode;
use crate::settings::read::bindable;
use crate::settings::read::name;
use crate::settings::read::reachable;
use crate::settings::read::url;

/// Who a process is, where it listens and whom it knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the process.
    pub node: NodeName,
    /// Data centre that it runs in.
    pub dc: DcName,
    /// QUIC address for the other processes.
    pub listen: SocketAddr,
    /// HTTP address for callers, operators or metrics.
    pub http: SocketAddr,
    /// The platform's log.
    pub log: BaseUrl,
    /// QUIC addresses of the fleet processes; at least one.
    pub fleet: Vec<SocketAddr>,
    /// Files of the node's identity.
    pub tls: TlsSettings,
}

impl TryFrom<RawNode> for NodeSettings {
    type Error = InvalidSetting;

    fn try_from(wire: RawNode) -> Result<Self, InvalidSetting> {
        if wire.fleet.value.is_empty() {
            let allowed = "at least one address of a fleet process";
            return Err(InvalidSetting::of("fleet", &wire.fleet, "empty", allowed));
        }
        let fleet = wire.fleet.value.iter();
        Ok(Self {
            node: name("node", &wire.node)?,
            dc: name("dc", &wire.dc)?,
            listen: bindable("listen", &wire.listen)?,
            http: bindable("http", &wire.http)?,
            log: url("log", &wire.log)?,
            fleet: fleet
                .map(|addr| reachable("fleet", addr))
                .collect::<Result<_, _>>()?,
            tls: wire.tls.try_into()?,
        })
    }
}
