//! Records read from the log and appended to it.

use slog::info;

use crate::batch::Action;
use crate::batch::Dispatcher;
use crate::batch::JobId;
use crate::batch::Now;
use crate::batch::Record;

impl Dispatcher {
    pub(super) fn apply_records(&mut self, now: Now, records: Vec<Record>) {
        for record in records {
            if let Record::TermStarted { fence, .. } = &record
                && *fence > self.fence
            {
                info!(self.log, "another owner has taken over; ending the term";
                    "fence" => self.fence, "by" => *fence);
                self.actions.push(Action::StepDown);
                return;
            }
            // Gates write only these two kinds. Records of this owner are applied when they are
            // written.
            if !matches!(record, Record::Accepted(_) | Record::Cancelled(_)) {
                continue;
            }
            if let Some(id) = self.state.apply(record) {
                self.on_job_changed(now, id);
            }
        }
    }

    /// Applies records that this owner appended for a client.
    pub(super) fn on_stored(&mut self, now: Now, records: Vec<Record>) {
        let changed = records
            .into_iter()
            .filter_map(|record| self.state.apply(record));
        let changed: Vec<JobId> = changed.collect();
        for id in changed {
            self.on_job_changed(now, id);
        }
    }

    pub(super) fn append(&mut self, records: Vec<Record>) -> u64 {
        self.last_append += 1;
        let append_id = self.last_append;
        self.actions.push(Action::Append { append_id, records });
        append_id
    }

    /// Appends records in groups of at most `most`; returns the id of the last append, `None` if there
    /// are no records. Appends take effect in their order.
    pub(super) fn append_grouped(&mut self, mut records: Vec<Record>, most: usize) -> Option<u64> {
        let mut last = None;
        while !records.is_empty() {
            let rest = records.split_off(most.min(records.len()));
            last = Some(self.append(records));
            records = rest;
        }
        last
    }

    pub(super) fn on_appended(&mut self, now: Now, append_id: u64) {
        if let Some(executor) = self.pending_assignments.remove(&append_id) {
            self.on_assigned(&executor, append_id);
        }
        if let Some(grants) = self.pending_grants.remove(&append_id) {
            self.on_granted(grants);
        }
        if let Some(order) = self.pending_orders.remove(&append_id) {
            self.send_order(now, order);
        }
        if let Some(ends) = self.pending_ends.remove(&append_id) {
            self.on_ends_logged(now, ends);
        }
    }
}
