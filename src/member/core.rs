//! What a follower's tasks share.

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

/// Time between two probes while the log is in reach. A member that sends nothing else is heard
/// three times before it is reported as silent.
const PROBE_SELDOM: Duration = Duration::from_millis(850);

/// The replica with its links and those that wait for it.
pub(super) struct Core {
    pub(super) replica: Replica,
    pub(super) links: BTreeMap<LinkId, Link>,
    /// Probes sent lately, by nonce.
    probes: VecDeque<(u64, Instant)>,
    nonce: u64,
    subscribers: Vec<UnboundedSender<StateEvent>>,
    waiters: Vec<oneshot::Sender<()>>,
    /// Offset and freshness that the subscribers know.
    published: (u64, Option<Instant>),
    /// Whether a snapshot is being appended.
    pub(super) snapping: bool,
    /// Watches the other members, on a fleet process.
    detector: Option<FailureDetector>,
    /// Whether reports of the detector are being appended.
    pub(super) reporting: bool,
    recorder: Recorder,
    /// Whether the state was fresh when the time line was last told.
    fresh: bool,
}

impl Core {
    pub(super) fn new(replica: Replica, me: &Hello, recorder: Recorder) -> Self {
        let fleet = me.role == Role::Fleet;
        Self {
            replica,
            links: BTreeMap::new(),
            probes: VecDeque::new(),
            nonce: 0,
            subscribers: Vec::new(),
            waiters: Vec::new(),
            published: (0, None),
            snapping: false,
            detector: fleet.then(|| FailureDetector::new(me.node.clone())),
            reporting: false,
            recorder,
            fresh: false,
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

    /// Tells subscribers what has changed, and wakes those that wait for a change.
    pub(super) fn publish(&mut self) {
        let (offset, until) = self.published;
        let state = self.replica.state();
        let mut news = Vec::new();
        if state.offset != offset {
            news.push(StateEvent::State(Rc::clone(state)));
        }
        if let Some(fresh) = self
            .replica
            .fresh_until()
            .filter(|fresh| Some(*fresh) != until)
        {
            news.push(StateEvent::Fresh(fresh));
        }
        self.published = (state.offset, self.replica.fresh_until());
        self.take_notes();
        let tell = |sender: &UnboundedSender<StateEvent>| {
            news.iter()
                .all(|event| sender.unbounded_send(event.clone()).is_ok())
        };
        self.subscribers.retain(tell);
        self.waiters
            .drain(..)
            .for_each(|waiter| waiter.send(()).unwrap_or(()));
    }

    /// Puts what was folded, and a change of the freshness, on the time line.
    pub(super) fn take_notes(&mut self) {
        for note in self.replica.take_notes() {
            self.recorder.record(note);
        }
        let fresh = self.replica.fresh_until() > Some(Instant::now());
        if fresh != self.fresh {
            self.fresh = fresh;
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

    pub(super) fn wait(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.push(sender);
        receiver
    }

    pub(super) fn find(&self, id: RecordId) -> Option<Settled> {
        self.replica.state().recent.find(id).cloned()
    }

    pub(super) fn up(&mut self, link: Link) {
        let fleet = link.peer().role == Role::Fleet;
        self.hear(&link);
        self.links.insert(link.id(), link);
        if fleet {
            self.probe();
        }
    }

    fn hear(&mut self, link: &Link) {
        if let Some(detector) = &mut self.detector {
            detector.hear(Instant::now(), link.peer());
        }
    }

    /// The reports of silent members that should be appended now.
    pub(super) fn start_reports(&mut self) -> Vec<Change> {
        let now = Instant::now();
        let fresh = self.replica.fresh_until() > Some(now);
        let Some(detector) = &mut self.detector else {
            return Vec::new();
        };
        let reports = detector.tick(now, self.replica.state(), fresh);
        if self.reporting || reports.is_empty() {
            return Vec::new();
        }
        self.reporting = true;
        reports
    }

    fn fleet(&self) -> impl Iterator<Item = &Link> {
        let links = self.links.values();
        links.filter(|link| link.peer().role == Role::Fleet)
    }

    /// Probes if it is time to.
    pub(super) fn probe_in_time(&mut self) {
        let now = Instant::now();
        let last = self.probes.back().map(|(_, asked)| *asked);
        let early = last.is_some_and(|asked| now < asked + PROBE_SELDOM);
        if !early || !self.replica.has_log_contact(now) {
            self.probe();
        }
    }

    pub(super) fn probe(&mut self) {
        let now = Instant::now();
        self.probes
            .retain(|(_, asked)| now < *asked + FRESHNESS_TTL);
        self.nonce += 1;
        self.probes.push_back((self.nonce, now));
        let probe = Message::Probe {
            nonce: self.nonce,
            offset: self.replica.state().offset,
        };
        self.fleet().for_each(|link| link.send(probe.clone()));
    }

    pub(super) fn start_snapshot(&mut self) -> Option<Vec<u8>> {
        if self.snapping || !self.replica.is_snapshot_due(Instant::now()) {
            return None;
        }
        self.snapping = true;
        Some(self.replica.next_snapshot())
    }

    /// Folds a record that the log has taken, hands it to the fleet and asks who has it.
    pub(super) fn push(&mut self, offset: u64, data: Vec<u8>) {
        let records = Message::Records(vec![(offset, data.clone())]);
        self.fleet().for_each(|link| link.send(records.clone()));
        self.replica.apply(Instant::now(), [(offset, data)]);
        self.probe();
        self.publish();
    }

    pub(super) fn receive(&mut self, link: &Link, message: Message, me: &Hello) {
        let now = Instant::now();
        self.hear(link);
        let (of_fleet, from_fleet) = (me.role == Role::Fleet, link.peer().role == Role::Fleet);
        match message {
            Message::Probe { nonce, .. } if of_fleet => {
                if let Some(vouch) = self.replica.probe_reply(now, nonce) {
                    link.send(vouch);
                }
            }
            Message::ProbeReply { nonce, offset, age } if from_fleet => {
                let probe = self.probes.iter().find(|(sent, _)| *sent == nonce);
                if let Some((_, asked)) = probe.copied() {
                    let by = (link.peer(), link.addr());
                    self.replica
                        .observe_probe_reply(now, by, asked, offset, age);
                }
                self.fetch(link);
            }
            Message::Fetch { from } if of_fleet => link.send(self.replica.fetch_reply(from)),
            Message::Records(records) => {
                let before = self.replica.state().offset;
                self.replica.apply(now, records);
                if self.replica.state().offset > before {
                    self.fetch(link);
                }
            }
            Message::Snapshot { offset, state } if from_fleet => {
                let _ = self.replica.install_snapshot(now, offset, &state);
            }
            _ => {}
        }
    }

    fn fetch(&self, link: &Link) {
        if link.peer().role == Role::Fleet && self.replica.is_behind(link.peer()) {
            let from = self.replica.state().offset;
            link.send(Message::Fetch { from });
        }
    }
}
