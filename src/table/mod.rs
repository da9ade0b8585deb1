//! Parser of operators' CSV tables: teams, pools and hosts.

mod fields;
mod hosts;
mod pools;
mod reader;
mod row;
mod table_error;
mod teams;

pub use reader::FILE_LIMIT;
pub use reader::parse;
pub use row::Row;
pub use table_error::TableError;

pub use fields::Fields;
