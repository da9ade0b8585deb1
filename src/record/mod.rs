//! Records of the platform's log, and the state folded from them.

mod change;
mod host;
mod key_hash;
mod member;
mod pool;
mod record_id;
mod role;
mod team;

pub use change::Change;
pub use change::HostRow;
pub use change::PoolRow;
pub use change::TeamRow;
pub use host::Host;
pub use key_hash::KeyHash;
pub use member::Member;
pub use pool::Pool;
pub use record_id::RecordId;
pub use role::Role;
pub use team::Team;
