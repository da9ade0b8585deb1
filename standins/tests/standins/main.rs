//! The stand-ins keep what they promise to the tests that lean on them.

mod executor;
mod forward;
mod hosts;
mod load;
mod log;
mod support;
