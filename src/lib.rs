//! Fleet capacity and maintenance manager.
