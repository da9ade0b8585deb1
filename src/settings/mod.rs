//! Settings of the programs, in YAML.

mod base_url;
mod error;
mod fault;
mod fleet;
mod gate;
mod node;
mod read;
mod sched;
mod tls;
mod wire;

pub use base_url::BaseUrl;
pub use error::SettingsError;
pub use fault::Fault;
pub use fleet::FleetSettings;
pub use gate::GateSettings;
pub use node::NodeSettings;
pub use sched::SchedSettings;
pub use tls::TlsSettings;
