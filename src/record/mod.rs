//! Records of the platform's log, and the state folded from them.

mod author;
mod change;
mod checkpoint;
mod codec;
mod decode_error;
mod fold;
mod host;
mod key_hash;
mod member;
mod membership;
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

pub use author::AUTHOR_LIMIT;
pub use author::Author;
pub use change::Change;
pub use change::HostRow;
pub use change::PoolRow;
pub use change::TeamRow;
pub use checkpoint::CHECKPOINT_EVERY;
pub use checkpoint::Checkpoint;
pub use decode_error::DecodeError;
pub use fold::STATE_LIMIT;
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
