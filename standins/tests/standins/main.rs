//! Tests that the stand-ins behave as the tests that use them expect.

mod executor;
mod forward;
mod hosts;
mod load;
mod log;
mod support;
