//! State shared by the tasks of a follower.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::mpsc;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;

use crate::member::FRESHNESS_TTL;
use crate::member::FailureDetector;
use crate::member::Replica;
use crate::member::StateEvent;
use crate::net::Link;
use crate::net::LinkId;
use crate::observe::Note;
use crate::observe::NoteKind;
use crate::observe::Recorder;
use crate::record::Change;
use crate::record::RecordId;
use crate::record::Role;
use crate::record::Settled;
use crate::wire::Hello;
use crate::wire::Message;

/// Time between two probes while the log is reachable. A member that sends nothing else is heard
/// from three times before it is suspected.
const PROBE_INTERVAL: Duration = Duration::from_millis(850);

/// The replica, the links to other processes, and the local subscribers.
pub(super) struct FollowerCore {
    pub(super) replica: Replica,
    pub(super) links: BTreeMap<LinkId, Link>,
    /// Nonce and time of each probe sent within the last [`FRESHNESS_TTL`].
    probes: VecDeque<(u64, Instant)>,
    /// Nonce of the last probe.
    nonce: u64,
    subscribers: Vec<UnboundedSender<StateEvent>>,
    /// Woken by the next [`publish`](Self::publish).
    waiters: Vec<oneshot::Sender<()>>,
    /// Offset and freshness deadline as of the last publication.
    published: (u64, Option<Instant>),
    /// Whether a snapshot is being appended.
    pub(super) appending_snapshot: bool,
    /// Present on fleet processes only.
    detector: Option<FailureDetector>,
    /// Whether reports of the failure detector are being appended.
    pub(super) appending_reports: bool,
    recorder: Recorder,
    /// Freshness last recorded on the time line.
    recorded_fresh: bool,
}

impl FollowerCore {
    pub(super) fn new(replica: Replica, me: &Hello, recorder: Recorder) -> Self {
        let is_fleet = me.role == Role::Fleet;
        Self {
            replica,
            links: BTreeMap::new(),
            probes: VecDeque::new(),
            nonce: 0,
            subscribers: Vec::new(),
            waiters: Vec::new(),
            published: (0, None),
            appending_snapshot: false,
            detector: is_fleet.then(|| FailureDetector::new(me.node.clone())),
            appending_reports: false,
            recorder,
            recorded_fresh: false,
        }
    }

    pub(super) fn subscribe(&mut self) -> UnboundedReceiver<StateEvent> {
        let (sender, receiver) = mpsc::unbounded();
        let state = Rc::clone(self.replica.state());
        let _ = sender.unbounded_send(StateEvent::State(state));
        if let Some(until) = self.replica.fresh_until() {
            let _ = sender.unbounded_send(StateEvent::Fresh(until));
        }
        self.subscribers.push(sender);
        receiver
    }

    /// Sends changes of the state and its freshness to subscribers, and wakes all waiters.
    pub(super) fn publish(&mut self) {
        let (offset, until) = self.published;
        let state = self.replica.state();
        let mut events = Vec::new();
        if state.offset != offset {
            events.push(StateEvent::State(Rc::clone(state)));
        }
        if let Some(fresh) = self
            .replica
            .fresh_until()
            .filter(|fresh| Some(*fresh) != until)
        {
            events.push(StateEvent::Fresh(fresh));
        }
        self.published = (state.offset, self.replica.fresh_until());
        self.record_notes();
        let notify = |sender: &UnboundedSender<StateEvent>| {
            events
                .iter()
                .all(|event| sender.unbounded_send(event.clone()).is_ok())
        };
        self.subscribers.retain(notify);
        self.waiters
            .drain(..)
            .for_each(|waiter| waiter.send(()).unwrap_or(()));
    }

    /// Records applied changes, and a change of freshness, on the time line.
    pub(super) fn record_notes(&mut self) {
        for note in self.replica.take_notes() {
            self.recorder.record(note);
        }
        let fresh = self.replica.fresh_until() > Some(Instant::now());
        if fresh != self.recorded_fresh {
            self.recorded_fresh = fresh;
            let (kind, cause) = if fresh {
                (
                    NoteKind::FreshnessRegained,
                    "the state is known to be recent",
                )
            } else {
                (
                    NoteKind::FreshnessLost,
                    "neither the log nor a majority of the fleet processes answers",
                )
            };
            self.recorder.record(Note::new(kind, cause));
        }
    }

    pub(super) fn wait_for_publish(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.push(sender);
        receiver
    }

    pub(super) fn find_record(&self, id: RecordId) -> Option<Settled> {
        self.replica.state().recent.find(id).cloned()
    }

    pub(super) fn add_link(&mut self, link: Link) {
        let is_fleet = link.peer().role == Role::Fleet;
        self.mark_heard(&link);
        self.links.insert(link.id(), link);
        if is_fleet {
            self.probe();
        }
    }

    fn mark_heard(&mut self, link: &Link) {
        if let Some(detector) = &mut self.detector {
            detector.hear(Instant::now(), link.peer());
        }
    }

    /// Returns the failure detector's reports to append now; none while earlier ones are being
    /// appended.
    pub(super) fn start_reports(&mut self) -> Vec<Change> {
        let now = Instant::now();
        let fresh = self.replica.fresh_until() > Some(now);
        let Some(detector) = &mut self.detector else {
            return Vec::new();
        };
        let reports = detector.tick(now, self.replica.state(), fresh);
        if self.appending_reports || reports.is_empty() {
            return Vec::new();
        }
        self.appending_reports = true;
        reports
    }

    fn fleet_links(&self) -> impl Iterator<Item = &Link> {
        let links = self.links.values();
        links.filter(|link| link.peer().role == Role::Fleet)
    }

    /// Probes the fleet processes if [`PROBE_INTERVAL`] has passed or the log is unreachable.
    pub(super) fn probe_if_due(&mut self) {
        let now = Instant::now();
        let last = self.probes.back().map(|(_, sent)| *sent);
        let early = last.is_some_and(|sent| now < sent + PROBE_INTERVAL);
        if !early || !self.replica.has_log_contact(now) {
            self.probe();
        }
    }

    pub(super) fn probe(&mut self) {
        let now = Instant::now();
        self.probes.retain(|(_, sent)| now < *sent + FRESHNESS_TTL);
        self.nonce += 1;
        self.probes.push_back((self.nonce, now));
        let probe = Message::Probe {
            nonce: self.nonce,
            offset: self.replica.state().offset,
        };
        self.fleet_links().for_each(|link| link.send(probe.clone()));
    }

    /// Returns the snapshot to append now, if one is due and none is being appended.
    pub(super) fn start_snapshot(&mut self) -> Option<Vec<u8>> {
        if self.appending_snapshot || !self.replica.is_snapshot_due(Instant::now()) {
            return None;
        }
        self.appending_snapshot = true;
        Some(self.replica.next_snapshot())
    }

    /// Applies an appended record, sends it to the fleet processes and probes them for their
    /// offsets.
    pub(super) fn apply_appended(&mut self, offset: u64, data: Vec<u8>) {
        let records = Message::Records(vec![(offset, data.clone())]);
        self.fleet_links()
            .for_each(|link| link.send(records.clone()));
        self.replica.apply(Instant::now(), [(offset, data)]);
        self.probe();
        self.publish();
    }

    pub(super) fn receive(&mut self, link: &Link, message: Message, me: &Hello) {
        let now = Instant::now();
        self.mark_heard(link);
        let (is_fleet, from_fleet) = (me.role == Role::Fleet, link.peer().role == Role::Fleet);
        match message {
            Message::Probe { nonce, .. } if is_fleet => {
                if let Some(reply) = self.replica.probe_reply(now, nonce) {
                    link.send(reply);
                }
            }
            Message::ProbeReply { nonce, offset, age } if from_fleet => {
                let probe = self.probes.iter().find(|(known, _)| *known == nonce);
                if let Some((_, asked)) = probe.copied() {
                    let by = (link.peer(), link.addr());
                    self.replica
                        .observe_probe_reply(now, by, asked, offset, age);
                }
                self.fetch_missing(link);
            }
            Message::Fetch { from } if is_fleet => link.send(self.replica.fetch_reply(from)),
            Message::Records(records) => {
                let before = self.replica.state().offset;
                self.replica.apply(now, records);
                if self.replica.state().offset > before {
                    self.fetch_missing(link);
                }
            }
            Message::Snapshot { offset, state } if from_fleet => {
                let _ = self.replica.install_snapshot(now, offset, &state);
            }
            _ => {}
        }
    }

    fn fetch_missing(&self, link: &Link) {
        if link.peer().role == Role::Fleet && self.replica.is_behind(link.peer()) {
            let from = self.replica.state().offset;
            link.send(Message::Fetch { from });
        }
    }
}
