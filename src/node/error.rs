//! Why a process cannot start.

use std::io;

use quick_error::quick_error;

use crate::net::NetError;
use crate::settings::SettingsError;

quick_error! {
    /// Why a process cannot start.
    #[derive(Debug)]
    pub enum NodeError {
        /// The settings file cannot be read or is invalid.
        Settings(err: SettingsError) {
            from()
            display("{}", err)
            source(err)
        }
        /// The address for links cannot be bound, or the certificate or key cannot be used.
        Net(err: NetError) {
            from()
            display("{}", err)
            source(err)
        }
        /// The HTTP address cannot be bound, or another part of the process cannot start.
        Io(err: io::Error) {
            from()
            display("{}", err)
            source(err)
        }
    }
}
