//! Settings that all programs have.

use std::net::SocketAddr;

use crate::intake::Budget;
use crate::name::DcName;
use crate::name::NodeName;
use crate::settings::BaseUrl;
use crate::settings::InvalidSetting;
use crate::settings::TlsSettings;
use crate::settings::raw::RawLimits;
use crate::settings::raw::RawNode;
use crate::settings::read::parse_bind_addr;
use crate::settings::read::parse_name;
use crate::settings::read::parse_remote_addr;
use crate::settings::read::parse_url;

/// Name, addresses and TLS files of a process, and the addresses of the servers it connects to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the process; unique among all processes.
    pub node: NodeName,
    /// Data centre that it runs in.
    pub dc: DcName,
    /// Address for links from other processes (QUIC).
    pub listen: SocketAddr,
    /// Address for HTTP requests of callers and operators, probes and metrics.
    pub http: SocketAddr,
    /// HTTP server of the platform's log.
    pub log: BaseUrl,
    /// Link addresses of fleet processes (QUIC); at least one.
    pub fleet: Vec<SocketAddr>,
    /// Certificate and key files for links.
    pub tls: TlsSettings,
    /// What connections may occupy, by the memory and descriptors of the machine.
    pub budget: Budget,
}

impl TryFrom<RawNode> for NodeSettings {
    type Error = InvalidSetting;

    fn try_from(raw: RawNode) -> Result<Self, InvalidSetting> {
        if raw.fleet.value.is_empty() {
            let allowed = "at least one address of a fleet process";
            return Err(InvalidSetting::in_field(
                "fleet", &raw.fleet, "empty", allowed,
            ));
        }
        let fleet = raw.fleet.value.iter();
        Ok(Self {
            node: parse_name("node", &raw.node)?,
            dc: parse_name("dc", &raw.dc)?,
            listen: parse_bind_addr("listen", &raw.listen)?,
            http: parse_bind_addr("http", &raw.http)?,
            log: parse_url("log", &raw.log)?,
            fleet: fleet
                .map(|addr| parse_remote_addr("fleet", addr))
                .collect::<Result<_, _>>()?,
            tls: raw.tls.try_into()?,
            budget: raw.limits.into(),
        })
    }
}

impl From<RawLimits> for Budget {
    fn from(raw: RawLimits) -> Self {
        let memory = raw.memory_mb;
        let memory = memory.map(|megabytes| megabytes.saturating_mul(1 << 20));
        Self::of_machine(memory, raw.descriptors)
    }
}
