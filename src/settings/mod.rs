//! Settings of the programs, read from YAML files.

mod base_url;
mod error;
mod fleet;
mod gate;
mod invalid_setting;
mod node;
mod raw;
mod read;
mod sched;
mod tls;

pub use base_url::BaseUrl;
pub use error::SettingsError;
pub use fleet::FleetSettings;
pub use gate::GateSettings;
pub use invalid_setting::InvalidSetting;
pub use node::NodeSettings;
pub use sched::SchedSettings;
pub use tls::TlsSettings;
