//! The decisions of a gate.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use crate::admit::admit;
use crate::gate::Action;
use crate::gate::Ended;
use crate::gate::Event;
use crate::gate::Failure;
use crate::gate::FailureCode;
use crate::gate::RetryBudget;
use crate::gate::Submission;
use crate::gate::pending::Pending;
use crate::gate::pending::Phase;
use crate::member::place;
use crate::name::NodeName;
use crate::name::ServiceName;
use crate::net::LinkId;
use crate::record::Role;
use crate::record::State;
use crate::wire::AttemptId;
use crate::wire::Grant;
use crate::wire::Message;
use crate::wire::Peer;
use crate::wire::Refusal;
use crate::wire::RefusalCode;
use crate::wire::RequestId;
use crate::wire::Verdict;

/// Attempts that one request gets at most.
const ATTEMPT_LIMIT: u32 = 4;
/// When to come back after the gate itself refused, in milliseconds.
const RETRY_MS: u32 = 500;

/// State and events in, actions out.
#[derive(Debug, Default)]
pub struct Gate {
    /// This process; none in tests of a gate alone.
    me: Option<Peer>,
    state: Rc<State>,
    fresh: Option<Instant>,
    stopping: bool,
    links: BTreeMap<NodeName, (LinkId, u64)>,
    requests: HashMap<RequestId, Pending>,
    budget: RetryBudget,
}

impl Gate {
    /// A gate that knows no state yet.
    #[must_use]
    pub fn new(me: Peer) -> Self {
        Self {
            me: Some(me),
            ..Self::default()
        }
    }

    /// Takes an event in and adds what follows from it to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::State(state) => self.update(now, state, out),
            Event::Fresh(until) => self.fresh = Some(until),
            Event::Up {
                link,
                node,
                incarnation,
            } => {
                self.links.insert(node, (link, incarnation));
                out.push(self.report(link));
                self.place_all(now, out);
            }
            Event::Down(link) => self.lose(now, link, out),
            Event::Submit(submission) => self.submit(now, submission, out),
            Event::Grant(link, grant) => self.grant(now, link, grant, out),
            Event::Refuse(link, refusal) => self.refuse(now, link, &refusal, out),
            Event::Ended(attempt, ended) => self.end(now, attempt, ended, out),
            Event::Gone(request) => self.forget(request, out),
            Event::Stop => self.stopping = true,
            Event::Tick => self.tick(now, out),
        }
    }

    /// Requests that have no final answer yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.requests.len()
    }

    /// Whether the gate takes requests.
    #[must_use]
    pub fn ready(&self, now: Instant) -> bool {
        !self.stopping && self.is_fresh(now) && !self.links.is_empty()
    }

    /// Whether it may start and keep work: its state is recent and shows no end of its membership.
    /// Others count the work of a gate that was ended as over once its task leases are.
    fn is_fresh(&self, now: Instant) -> bool {
        let ended = self.me.as_ref().is_some_and(|me| self.state.has_ended(me));
        self.fresh.is_some_and(|until| now < until) && !ended
    }

    fn update(&mut self, now: Instant, state: Rc<State>, out: &mut Vec<Action>) {
        let epoch = self.state.epoch;
        self.state = state;
        if self.state.epoch == epoch {
            return;
        }
        let links: Vec<LinkId> = self.links.values().map(|(link, _)| *link).collect();
        out.extend(links.into_iter().map(|link| self.report(link)));
        self.place_all(now, out);
    }

    fn submit(&mut self, now: Instant, submission: Submission, out: &mut Vec<Action>) {
        let request = submission.request;
        if self.stopping {
            let failure = Failure::refused(RefusalCode::Unavailable, RETRY_MS);
            out.push(Action::Fail(request, failure));
            return;
        }
        if !self.is_fresh(now) {
            let failure = Failure::refused(RefusalCode::StateNotFresh, RETRY_MS);
            out.push(Action::Fail(request, failure));
            return;
        }
        let admission = match admit(&self.state, &submission.service, submission.key.as_ref()) {
            Ok(admission) => admission,
            Err(code) => {
                out.push(Action::Fail(request, Failure::not_run(code)));
                return;
            }
        };
        self.budget.deposit();
        let urgent = submission.urgent && admission.urgent;
        let pending = Pending::new(submission, admission.team, urgent, now);
        self.requests.insert(request, pending);
        self.place_one(now, request, out);
    }

    /// Asks the scheduler of the request's service, if it is connected.
    fn place_one(&mut self, now: Instant, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let owner = owner(&self.state, &self.links, &pending.submission.service);
        if let Some(link) = owner {
            pending.phase = Phase::Asked(link);
            out.push(Action::Send(link, Message::Ask(pending.ask(now))));
        }
    }

    /// Asks again for every request whose scheduler is no longer the one in charge.
    fn place_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        let misplaced: Vec<RequestId> = self
            .requests
            .values()
            .filter(|pending| {
                let owner = owner(&self.state, &self.links, &pending.submission.service);
                match &pending.phase {
                    Phase::Unplaced => owner.is_some(),
                    Phase::Asked(link) => owner.is_some() && owner != Some(*link),
                    Phase::Running { .. } => false,
                }
            })
            .map(|pending| pending.submission.request)
            .collect();
        for request in misplaced {
            self.next_attempt(request);
            self.place_one(now, request, out);
        }
    }

    fn lose(&mut self, now: Instant, link: LinkId, out: &mut Vec<Action>) {
        self.links.retain(|_, (id, _)| *id != link);
        for pending in self.requests.values_mut() {
            if pending.phase == Phase::Asked(link) {
                pending.phase = Phase::Unplaced;
            }
        }
        self.place_all(now, out);
    }

    fn grant(&mut self, now: Instant, link: LinkId, grant: Grant, out: &mut Vec<Action>) {
        let wanted = self
            .requests
            .get(&grant.attempt.request)
            .is_some_and(|p| p.attempt() == grant.attempt && p.phase == Phase::Asked(link));
        if !wanted || !self.may_start(now, link, &grant) {
            out.push(Action::Send(link, finished(grant.attempt, true)));
            if wanted {
                self.fail(
                    grant.attempt.request,
                    Failure::refused(RefusalCode::StateNotFresh, RETRY_MS),
                    out,
                );
            }
            return;
        }
        if let Some(pending) = self.requests.get_mut(&grant.attempt.request) {
            pending.phase = Phase::Running {
                host: grant.host.clone(),
                addr: grant.addr,
                link,
            };
            let team = pending.team.clone();
            out.push(Action::Run { grant, team });
        }
    }

    /// Whether a grant may be used: the state is recent, the scheduler still is a member, and the
    /// host still takes work.
    fn may_start(&self, now: Instant, link: LinkId, grant: &Grant) -> bool {
        let granter = self.links.iter().find(|(_, (id, _))| *id == link);
        let member = granter.is_some_and(|(node, (_, incarnation))| {
            let member = self.state.members.get(node);
            member.is_some_and(|m| m.incarnation == *incarnation)
        });
        let usable = self
            .state
            .hosts
            .get(&grant.host)
            .is_some_and(|host| self.state.usable(host));
        self.is_fresh(now) && member && usable
    }

    fn refuse(&mut self, now: Instant, link: LinkId, refusal: &Refusal, out: &mut Vec<Action>) {
        let request = refusal.attempt.request;
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if pending.attempt() != refusal.attempt || pending.phase != Phase::Asked(link) {
            return;
        }
        let owner = owner(&self.state, &self.links, &pending.submission.service);
        if refusal.code == RefusalCode::Unavailable && owner != Some(link) {
            pending.phase = Phase::Unplaced;
            self.place_all(now, out);
            return;
        }
        let mut failure = Failure::from(refusal);
        failure.verdict = pending.verdict;
        self.fail(request, failure, out);
    }

    fn end(&mut self, now: Instant, attempt: AttemptId, ended: Ended, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        if pending.attempt() != attempt {
            return;
        }
        let phase = std::mem::replace(&mut pending.phase, Phase::Unplaced);
        let Phase::Running { host, link, .. } = phase else {
            return;
        };
        let informed = informed(&self.state, &self.links, pending, link);
        out.extend(release(attempt, ended.healthy(), informed));
        match ended {
            Ended::Answered { .. } => {
                self.requests.remove(&attempt.request);
                return;
            }
            Ended::Unknown => pending.verdict = Verdict::Unknown,
            Ended::NotRun { .. } => {}
        }
        pending.avoid.push(host);
        let safe = ended.verdict() == Verdict::NotRun || pending.submission.idempotent;
        let left = pending.number < ATTEMPT_LIMIT && now < pending.submission.deadline;
        if safe && left && self.budget.withdraw() {
            self.next_attempt(attempt.request);
            self.place_one(now, attempt.request, out);
            return;
        }
        let failure = Failure {
            code: FailureCode::AttemptFailed,
            verdict: pending.verdict,
            retry_after: Some(RETRY_MS),
        };
        self.fail(attempt.request, failure, out);
    }

    fn next_attempt(&mut self, request: RequestId) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.number += 1;
            pending.phase = Phase::Unplaced;
        }
    }

    /// Drops a request whose caller went away and frees its place.
    fn forget(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.remove(&request) else {
            return;
        };
        let attempt = pending.attempt();
        match pending.phase {
            Phase::Unplaced => {}
            Phase::Asked(link) => out.push(Action::Send(link, Message::Cancel(attempt))),
            Phase::Running { addr, link, .. } => {
                out.push(Action::Cancel(addr, vec![attempt]));
                let informed = informed(&self.state, &self.links, &pending, link);
                out.extend(release(attempt, true, informed));
            }
        }
    }

    fn fail(&mut self, request: RequestId, failure: Failure, out: &mut Vec<Action>) {
        self.forget(request, out);
        out.push(Action::Fail(request, failure));
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        let expired: Vec<(RequestId, Verdict)> = self
            .requests
            .values()
            .filter(|p| p.submission.deadline <= now)
            .map(|p| (p.submission.request, verdict_now(p)))
            .collect();
        for (request, verdict) in expired {
            let failure = Failure {
                code: FailureCode::DeadlinePassed,
                verdict,
                retry_after: Some(RETRY_MS),
            };
            self.fail(request, failure, out);
        }
        if self.is_fresh(now) {
            out.extend(self.renewals());
        }
    }

    fn renewals(&self) -> Vec<Action> {
        let mut groups: BTreeMap<SocketAddr, Vec<AttemptId>> = BTreeMap::new();
        for pending in self.requests.values() {
            if let Phase::Running { addr, .. } = pending.phase {
                groups.entry(addr).or_default().push(pending.attempt());
            }
        }
        groups
            .into_iter()
            .map(|(addr, attempts)| Action::Renew(addr, attempts))
            .collect()
    }

    /// Tells a scheduler what runs; the ends of all that is said go to every scheduler.
    fn report(&mut self, link: LinkId) -> Action {
        for pending in self.requests.values_mut() {
            pending.reported = true;
        }
        let message = Message::Report {
            epoch: self.state.epoch,
            running: self
                .requests
                .values()
                .filter_map(Pending::running)
                .collect(),
        };
        Action::Send(link, message)
    }
}

/// Link to the scheduler that a service is placed on.
fn owner(
    state: &State,
    links: &BTreeMap<NodeName, (LinkId, u64)>,
    service: &ServiceName,
) -> Option<LinkId> {
    let node = place(state, Role::Sched, service.as_str().as_bytes())?;
    let (link, incarnation) = links.get(node)?;
    let current = state.members.get(node)?.incarnation;
    (current == *incarnation).then_some(*link)
}

/// What is known about a request at its deadline.
const fn verdict_now(pending: &Pending) -> Verdict {
    match pending.phase {
        Phase::Running { .. } => Verdict::Unknown,
        Phase::Unplaced | Phase::Asked(_) => pending.verdict,
    }
}

/// The schedulers that may count a slot: the one that granted it, the one in charge if that is
/// another by now, and all if they have been told that it runs.
fn informed(
    state: &State,
    links: &BTreeMap<NodeName, (LinkId, u64)>,
    pending: &Pending,
    granter: LinkId,
) -> BTreeSet<LinkId> {
    let all = links.values().map(|(link, _)| *link);
    let owner = owner(state, links, &pending.submission.service);
    all.filter(|link| pending.reported || Some(*link) == owner)
        .chain([granter])
        .collect()
}

/// Tells schedulers that a slot is free.
fn release(
    attempt: AttemptId,
    healthy: bool,
    informed: BTreeSet<LinkId>,
) -> impl Iterator<Item = Action> {
    let links = informed.into_iter();
    links.map(move |link| Action::Send(link, finished(attempt, healthy)))
}

const fn finished(attempt: AttemptId, healthy: bool) -> Message {
    Message::Finished { attempt, healthy }
}
