//! Records of the platform's log, and the state folded from them.

mod author;
mod change;
mod codec;
mod decode_error;
mod fold;
mod host;
mod key_hash;
mod member;
mod outcome;
mod pool;
mod recent;
#[allow(clippy::module_inception)]
mod record;
mod record_id;
mod reject;
mod role;
mod snapshot;
mod state;
mod team;
mod upkeep;

pub use author::AUTHOR_LIMIT;
pub use author::Author;
pub use change::Change;
pub use change::HostRow;
pub use change::PoolRow;
pub use change::TeamRow;
pub use decode_error::DecodeError;
pub use host::Host;
pub use key_hash::KeyHash;
pub use member::Member;
pub use outcome::Outcome;
pub use pool::Pool;
pub use recent::RECENT_IDS;
pub use recent::Recent;
pub use recent::Settled;
pub use record::Record;
pub use record_id::RecordId;
pub use reject::Reject;
pub use role::Role;
pub use state::State;
pub use team::Team;
pub use upkeep::End;
pub use upkeep::Goal;
pub use upkeep::Phase;
pub use upkeep::Upkeep;
