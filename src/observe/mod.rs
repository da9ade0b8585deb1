//! Logs, metrics and the time line.

mod clock;
mod counters;
mod entry;
mod hybrid_clock;
mod log;
mod message_kind;
mod metrics;
mod monitor;
mod note;
mod note_kind;
mod recorder;
mod stamp;
mod timeline;

pub use clock::unix_millis;
pub use counters::Counters;
pub use counters::Flow;
pub use entry::Entry;
pub use hybrid_clock::HybridClock;
pub use log::open_log;
pub use log::open_stdout;
pub use message_kind::MessageKind;
pub use metrics::Metrics;
pub use metrics::Refresh;
pub use monitor::monitor;
pub use note::Note;
pub use note_kind::NoteKind;
pub use recorder::NOTE_LIMIT;
pub use recorder::Recorder;
pub use recorder::TEXT_LIMIT;
pub use stamp::Stamp;
pub use timeline::Event;
pub use timeline::Share;
pub use timeline::Timeline;
