//! Admission control: which API key may use which service.

mod admission;

pub use admission::Admission;
pub use admission::admit;
