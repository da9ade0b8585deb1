//! The actual condition of a host.

/// The actual condition of a host, as opposed to the recorded state; times are Unix milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Machine {
    /// When it is up again; none while it is up.
    pub down_until: Option<u64>,
    /// Number of slots in use.
    pub used_slots: u32,
    /// When the last of its tasks ends.
    pub busy_until: u64,
    /// Plan of the last reboot that the platform started.
    pub started_reboot: u64,
    /// Plan of the last reboot that ended.
    pub ended_reboot: u64,
}

impl Machine {
    pub const fn is_up(&self) -> bool {
        self.down_until.is_none()
    }

    pub const fn is_idle(&self, now: u64) -> bool {
        self.busy_until <= now
    }

    /// Takes the host down until `back`; its tasks are lost.
    pub const fn fail(&mut self, back: u64) {
        self.down_until = Some(back);
        self.used_slots = 0;
        self.busy_until = 0;
    }

    /// Starts no new tasks; one slot stays in use until the last task ends.
    pub const fn stop_new_tasks(&mut self, now: u64) {
        self.used_slots = if self.is_idle(now) { 0 } else { 1 };
    }

    /// Brings the host up again once its time down is over.
    pub fn end_downtime(&mut self, now: u64) {
        if self.down_until.is_some_and(|back| back <= now) {
            self.down_until = None;
            self.ended_reboot = self.started_reboot;
        }
    }
}
