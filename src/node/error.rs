//! Why a process cannot start.

use std::io;

use quick_error::quick_error;

use crate::net::NetError;
use crate::settings::SettingsError;

quick_error! {
    /// Why a process cannot start.
    #[derive(Debug)]
    pub enum NodeError {
        /// The settings file is wrong.
        Settings(err: SettingsError) {
            from()
            display("{}", err)
            source(err)
        }
        /// The address for other processes or the certificate is unfit.
        Net(err: NetError) {
            from()
            display("{}", err)
            source(err)
        }
        /// The HTTP address cannot be bound.
        Io(err: io::Error) {
            from()
            display("{}", err)
            source(err)
        }
    }
}
