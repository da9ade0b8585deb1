//! Logs, metrics and the timeline of decisions.

mod batch_writer;
mod clock;
mod counters;
mod entry;
mod hlc_timestamp;
mod hybrid_clock;
mod log;
mod message_kind;
mod metrics;
mod note;
mod note_kind;
mod recorder;
mod state_counters;
mod timeline;

pub use clock::unix_millis;
pub use counters::Counters;
pub use counters::MessageCounter;
pub use entry::Entry;
pub use hlc_timestamp::HlcTimestamp;
pub use hybrid_clock::HybridClock;
pub use log::open_batched_log;
pub use log::open_stderr_log;
pub use log::open_stdout_log;
pub use message_kind::MessageKind;
pub use metrics::Metrics;
pub use metrics::RefreshCallback;
pub use note::Note;
pub use note_kind::NoteKind;
pub use recorder::NOTE_LIMIT;
pub use recorder::Recorder;
pub use recorder::TEXT_LIMIT;
pub use state_counters::update_state_counters;
pub use timeline::Event;
pub use timeline::NodeTimeline;
pub use timeline::Timeline;
