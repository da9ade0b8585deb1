//! A host as it really is.

/// A host as it really is; times are Unix milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Machine {
    /// When it is up again; none while it is up.
    pub down: Option<u64>,
    /// Slots in use.
    pub used: u32,
    /// When the last of its tasks ends.
    pub busy: u64,
    /// Last reboot that the platform began on request.
    pub asked: u64,
    /// Last reboot that ended.
    pub reboot: u64,
}

impl Machine {
    pub const fn is_up(&self) -> bool {
        self.down.is_none()
    }

    pub const fn is_idle(&self, now: u64) -> bool {
        self.busy <= now
    }

    /// Goes down, with all its tasks.
    pub const fn fail(&mut self, back: u64) {
        self.down = Some(back);
        self.used = 0;
        self.busy = 0;
    }

    /// Takes no new tasks; one runs on until the last ends.
    pub const fn rest(&mut self, now: u64) {
        self.used = if self.is_idle(now) { 0 } else { 1 };
    }

    pub fn wake(&mut self, now: u64) {
        if self.down.is_some_and(|back| back <= now) {
            self.down = None;
            self.reboot = self.asked;
        }
    }
}
