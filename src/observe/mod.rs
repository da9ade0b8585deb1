//! Logs, metrics and the time line.

mod clock;
mod log;
mod note;
mod note_kind;
mod recorder;

pub use clock::unix_millis;
pub use log::open_log;
pub use note::Note;
pub use note_kind::NoteKind;
pub use recorder::Recorder;
