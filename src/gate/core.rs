//! The decisions of a gate.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::admit::admit;
use crate::gate::Action;
use crate::gate::Ended;
use crate::gate::Event;
use crate::gate::Failure;
use crate::gate::FailureCode;
use crate::gate::Settled;
use crate::gate::Submission;
use crate::gate::budgets::RetryBudgets;
use crate::gate::callers::Callers;
use crate::gate::closing::Closing;
use crate::gate::closing::ClosingSet;
use crate::gate::links::Links;
use crate::gate::pending::Pending;
use crate::gate::pending::Phase;
use crate::gate::pending::Run;
use crate::net::LinkId;
use crate::observe::NoteKind;
use crate::record::State;
use crate::wire::AttemptId;
use crate::wire::Evidence;
use crate::wire::Grant;
use crate::wire::Message;
use crate::wire::Refusal;
use crate::wire::RefusalCode;
use crate::wire::RequestId;
use crate::wire::Running;
use crate::wire::Verdict;

/// Times that one request is sent to a backend server at most.
const RUN_LIMIT: u32 = 4;
/// When to come back after the gate itself refused, in milliseconds.
const RETRY_MS: u32 = 500;
/// Time until a scheduler is asked again that could not say, in milliseconds.
const PAUSE_MS: u64 = 100;
/// Time until a scheduler is asked again that said nothing, in milliseconds.
const REPEAT_MS: u64 = 2_000;
/// Longest that requests wait for a state known to be recent, in milliseconds.
const STALE_MS: u64 = 1_000;
/// Age from which a backend server should know an attempt, in milliseconds.
const KNOWN_MS: u64 = 1_000;
/// Longest that the answer of a task that has ended is waited for, in milliseconds.
const LATE_MS: u64 = 5_000;

/// State and events in, actions out.
#[derive(Debug, Default)]
pub struct Gate {
    state: Rc<State>,
    fresh: Option<Instant>,
    stopping: bool,
    links: Links,
    requests: HashMap<RequestId, Pending>,
    callers: Callers,
    closing: ClosingSet,
    budgets: RetryBudgets,
}

impl Gate {
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
                self.links.add(node, link, incarnation);
                out.push(self.report(link));
                self.place_all(now, out);
            }
            Event::Down(link) => self.lose(now, link, out),
            Event::Submit(submission) => self.submit(now, submission, out),
            Event::Grant(link, grant) => self.grant(now, link, grant, out),
            Event::Refuse(link, refusal) => self.refuse(now, link, &refusal, out),
            Event::Ended(attempt, ended) => self.end(now, attempt, ended, out),
            Event::Unknown(attempts) => attempts.iter().for_each(|a| self.doubt(now, a, out)),
            Event::Settled(attempt, settled) => self.settle(now, attempt, settled, out),
            Event::Gone(request) => self.forget(now, request, Evidence::Nothing, out),
            Event::Stop => self.stopping = true,
            Event::Tick => self.tick(now, out),
        }
    }

    /// Requests that have no final answer yet, and attempts that have not surely ended.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.requests.len() + self.closing.len()
    }

    /// Whether the gate takes requests.
    #[must_use]
    pub fn ready(&self, now: Instant) -> bool {
        !self.stopping && self.is_fresh(now) && !self.links.is_empty()
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.fresh.is_some_and(|until| now < until)
    }

    fn update(&mut self, now: Instant, state: Rc<State>, out: &mut Vec<Action>) {
        let epoch = self.state.epoch;
        self.state = state;
        if self.state.epoch == epoch {
            return;
        }
        out.extend(self.links.all().map(|link| self.report(link)));
        self.place_all(now, out);
    }

    fn submit(&mut self, now: Instant, submission: Submission, out: &mut Vec<Action>) {
        let request = submission.request;
        let refused = if self.stopping {
            Some(RefusalCode::Unavailable)
        } else if !self.is_fresh(now) {
            Some(RefusalCode::StateNotFresh)
        } else {
            None
        };
        if let Some(code) = refused {
            out.push(Action::Fail(request, Failure::refused(code, RETRY_MS)));
            return;
        }
        let admission = match admit(&self.state, &submission.service, submission.key.as_ref()) {
            Ok(admission) => admission,
            Err(code) => {
                out.push(Action::Fail(request, Failure::not_run(code)));
                return;
            }
        };
        if !self.callers.add(&admission.team, &submission) {
            out.push(Action::Fail(request, Failure::in_progress(RETRY_MS)));
            return;
        }
        self.budgets.deposit(&submission.service);
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
        let owner = self.links.owner(&self.state, &pending.submission.service);
        if let Some(link) = owner {
            let again = now + Duration::from_millis(REPEAT_MS);
            pending.phase = Phase::Asked { link, again };
            out.push(Action::Send(link, Message::Ask(pending.ask(now))));
        }
    }

    /// Asks again for every request whose scheduler is no longer the one in charge.
    fn place_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        let owner = |p: &Pending| self.links.owner(&self.state, &p.submission.service);
        let misplaced = self.select(|pending| match &pending.phase {
            Phase::Unplaced { .. } => owner(pending).is_some(),
            Phase::Asked { link, .. } => owner(pending).is_some_and(|owner| owner != *link),
            Phase::Running(_) | Phase::Settling => false,
        });
        for request in misplaced {
            self.withdraw(now, request, out);
            self.place_one(now, request, out);
        }
    }

    /// Takes back what a scheduler was asked, so that its answer no longer counts.
    fn withdraw(&mut self, again: Instant, request: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if let Phase::Asked { link, .. } = pending.phase {
            out.push(Action::Send(link, Message::Cancel(pending.attempt())));
        }
        pending.number += 1;
        pending.phase = Phase::Unplaced { again };
    }

    fn lose(&mut self, now: Instant, link: LinkId, out: &mut Vec<Action>) {
        self.links.remove(link);
        for pending in self.requests.values_mut() {
            if matches!(pending.phase, Phase::Asked { link: asked, .. } if asked == link) {
                pending.number += 1;
                pending.phase = Phase::Unplaced { again: now };
            }
        }
        self.place_all(now, out);
    }

    fn grant(&mut self, now: Instant, link: LinkId, grant: Grant, out: &mut Vec<Action>) {
        let attempt = grant.attempt;
        let request = attempt.request;
        if self.is_started(&attempt) {
            return;
        }
        let asked = self.is_asked(link, &attempt);
        let admitted = self.admitted(request);
        if asked && admitted.is_ok() && self.may_start(now, link, &grant) {
            self.start(now, link, grant, out);
            return;
        }
        out.push(Action::Send(link, finished(attempt, Evidence::Nothing)));
        if !asked {
            return;
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            let again = now + Duration::from_millis(PAUSE_MS);
            pending.number += 1;
            pending.phase = Phase::Unplaced { again };
        }
        if let Err(code) = admitted {
            self.fail(now, request, code, None, out);
        }
    }

    fn start(&mut self, now: Instant, link: LinkId, grant: Grant, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&grant.attempt.request) else {
            return;
        };
        pending.runs += 1;
        pending.phase = Phase::Running(Run {
            host: grant.host.clone(),
            addr: grant.addr,
            link,
            since: now,
            doubt: None,
        });
        let team = pending.team.clone();
        out.push(Action::Run { grant, team });
    }

    /// Whether a repeated grant names an attempt that occupies its slot already.
    fn is_started(&self, attempt: &AttemptId) -> bool {
        let pending = self.requests.get(&attempt.request);
        let runs = pending.is_some_and(|p| p.attempt() == *attempt && p.run().is_some());
        runs || self.closing.contains(attempt)
    }

    fn is_asked(&self, link: LinkId, attempt: &AttemptId) -> bool {
        let pending = self.requests.get(&attempt.request);
        pending.is_some_and(|p| {
            let asked = matches!(p.phase, Phase::Asked { link: asked, .. } if asked == link);
            asked && p.attempt() == *attempt
        })
    }

    /// Whether the key that came with a request still gives access.
    fn admitted(&self, request: RequestId) -> Result<(), FailureCode> {
        let Some(pending) = self.requests.get(&request) else {
            return Ok(());
        };
        let submission = &pending.submission;
        admit(&self.state, &submission.service, submission.key.as_ref()).map(drop)
    }

    /// Whether a grant may be used: the state is recent, the scheduler still is a member, and the
    /// host still takes work.
    fn may_start(&self, now: Instant, link: LinkId, grant: &Grant) -> bool {
        let host = self.state.hosts.get(&grant.host);
        let usable = host.is_some_and(|host| self.state.usable(host));
        self.is_fresh(now) && self.links.is_member(&self.state, link) && usable
    }

    fn refuse(&mut self, now: Instant, link: LinkId, refusal: &Refusal, out: &mut Vec<Action>) {
        let request = refusal.attempt.request;
        if !self.is_asked(link, &refusal.attempt) {
            return;
        }
        if refusal.code != RefusalCode::Unavailable {
            let code = FailureCode::Refused(refusal.code);
            self.fail(now, request, code, Some(refusal.retry_after), out);
            return;
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            let again = now + Duration::from_millis(PAUSE_MS);
            pending.number += 1;
            pending.phase = Phase::Unplaced { again };
            let owner = self.links.owner(&self.state, &pending.submission.service);
            if owner != Some(link) {
                self.place_one(now, request, out);
            }
        }
    }

    fn end(&mut self, now: Instant, attempt: AttemptId, ended: Ended, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&attempt.request) else {
            return;
        };
        let run = pending.run().filter(|_| pending.attempt() == attempt);
        let Some(run) = run.cloned() else {
            if ended == Ended::Answered {
                self.forget(now, attempt.request, Evidence::Nothing, out);
            }
            return;
        };
        match ended {
            Ended::Answered => {
                self.release(attempt, Evidence::Served, run.link, out);
                self.remove(attempt.request);
            }
            Ended::Unknown => self.give_up(now, attempt.request, out),
            Ended::Failed | Ended::NotRun(_) => {
                self.release(attempt, ended.evidence(), run.link, out);
                self.leave_host(attempt.request, ended == Ended::Failed);
                self.resolve(now, attempt.request, ended.verdict(), out);
            }
        }
    }

    /// Asks the backend server what became of an attempt that got no answer.
    fn give_up(&mut self, now: Instant, request: RequestId, out: &mut Vec<Action>) {
        if let Some(closing) = self.closing_of(request, Evidence::Failed) {
            self.closing.add(now, closing, out);
            self.leave_host(request, false);
        }
    }

    /// Ends the present attempt's run; its host should not get the request again.
    fn leave_host(&mut self, request: RequestId, held: bool) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.held |= held;
        if let Phase::Running(run) = std::mem::replace(&mut pending.phase, Phase::Settling) {
            pending.avoid.push(run.host);
        }
    }

    /// Decides what follows from an attempt that is over: a further one, or the final answer.
    fn resolve(
        &mut self,
        now: Instant,
        request: RequestId,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.verdict = pending.verdict.and(verdict);
        pending.phase = Phase::Unplaced { again: now };
        let safe = verdict == Verdict::NotRun || pending.submission.idempotent;
        let left = pending.runs < RUN_LIMIT && now < pending.submission.deadline;
        if safe && left && self.budgets.withdraw(&pending.submission.service) {
            pending.number += 1;
            let cause = format!("attempt {}: {}", pending.runs, verdict.as_str());
            let note = pending.note(NoteKind::RequestRetried, cause);
            out.push(Action::Note(Box::new(note)));
            self.place_one(now, request, out);
            return;
        }
        self.fail(
            now,
            request,
            FailureCode::AttemptFailed,
            Some(RETRY_MS),
            out,
        );
    }

    /// A backend server says that an attempt does not run.
    fn doubt(&mut self, now: Instant, attempt: &AttemptId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        let present = pending.attempt() == *attempt;
        let Phase::Running(run) = &mut pending.phase else {
            return;
        };
        let known = run.since + Duration::from_millis(KNOWN_MS) <= now;
        if present && known && run.doubt.is_none() {
            run.doubt = Some(now + Duration::from_millis(LATE_MS));
            out.push(Action::Cancel(run.addr, vec![*attempt]));
        }
    }

    /// A backend server says, or does not say, what became of an attempt.
    fn settle(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        settled: Settled,
        out: &mut Vec<Action>,
    ) {
        if settled != Settled::Unreachable
            && let Some(closing) = self.closing.remove(&attempt)
        {
            let refused = settled == Settled::Refused;
            let evidence = if refused {
                Evidence::Nothing
            } else {
                closing.evidence
            };
            self.release_closing(&closing, evidence, out);
        }
        let request = attempt.request;
        let pending = self.requests.get(&request);
        let Some(pending) = pending.filter(|p| p.attempt() == attempt) else {
            return;
        };
        match (&pending.phase, settled) {
            (Phase::Settling, Settled::Refused) => {
                self.resolve(now, request, Verdict::NotRun, out);
            }
            (Phase::Settling, _) => self.resolve(now, request, Verdict::Unknown, out),
            (Phase::Running(run), Settled::Refused) => {
                let link = run.link;
                out.push(Action::Abandon(request, run.addr));
                self.release(attempt, Evidence::Nothing, link, out);
                self.leave_host(request, false);
                self.resolve(now, request, Verdict::NotRun, out);
            }
            _ => {}
        }
    }

    /// Drops a request that needs no further answer and frees its place.
    fn forget(
        &mut self,
        now: Instant,
        request: RequestId,
        evidence: Evidence,
        out: &mut Vec<Action>,
    ) {
        if let Some(closing) = self.closing_of(request, evidence) {
            self.closing.add(now, closing, out);
        }
        let Some(pending) = self.remove(request) else {
            return;
        };
        if let Phase::Asked { link, .. } = pending.phase {
            out.push(Action::Send(link, Message::Cancel(pending.attempt())));
        }
    }

    fn remove(&mut self, request: RequestId) -> Option<Pending> {
        let pending = self.requests.remove(&request)?;
        self.callers.remove(&pending.team, &pending.submission);
        Some(pending)
    }

    fn closing_of(&self, request: RequestId, evidence: Evidence) -> Option<Closing> {
        let pending = self.requests.get(&request)?;
        let run = pending.run()?;
        Some(Closing {
            run: pending.report(run),
            addr: run.addr,
            link: run.link,
            evidence,
        })
    }

    /// Gives the caller its final answer: the backend server's own error if there is one.
    fn fail(
        &mut self,
        now: Instant,
        request: RequestId,
        code: FailureCode,
        retry_after: Option<u32>,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&request) else {
            return;
        };
        let verdict = pending.verdict_now();
        let kind = match code {
            FailureCode::AttemptFailed | FailureCode::DeadlinePassed => NoteKind::RequestFailed,
            _ => NoteKind::RequestRefused,
        };
        let cause = format!("{}, {}", code.as_str(), verdict.as_str());
        out.push(Action::Note(Box::new(pending.note(kind, cause))));
        if pending.held && code != FailureCode::Refused(RefusalCode::JobFailing) {
            out.push(Action::Pass(request));
        } else {
            let failure = Failure {
                code,
                verdict,
                retry_after,
            };
            out.push(Action::Fail(request, failure));
        }
        self.forget(now, request, Evidence::Failed, out);
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.expire(now, out);
        self.drop_doubted(now, out);
        self.refuse_stale(now, out);
        self.ask_again(now, out);
        self.closing.repeat(now, out);
        for closing in self.closing.remove_lapsed(now) {
            let evidence = match closing.evidence {
                Evidence::Nothing => Evidence::Nothing,
                _ => Evidence::Unreachable,
            };
            self.release_closing(&closing, evidence, out);
        }
        if self.is_fresh(now) {
            out.extend(self.renewals());
        }
    }

    fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        for request in self.select(|p| p.submission.deadline <= now) {
            let code = FailureCode::DeadlinePassed;
            self.fail(now, request, code, Some(RETRY_MS), out);
        }
    }

    /// Gives up attempts that have ended at their backend server and sent no answer.
    fn drop_doubted(&mut self, now: Instant, out: &mut Vec<Action>) {
        let doubted = self.select(|p| {
            let doubt = p.run().and_then(|run| run.doubt);
            doubt.is_some_and(|until| until <= now)
        });
        for request in doubted {
            if let Some(run) = self.requests.get(&request).and_then(Pending::run) {
                out.push(Action::Abandon(request, run.addr));
            }
            self.give_up(now, request, out);
        }
    }

    fn refuse_stale(&mut self, now: Instant, out: &mut Vec<Action>) {
        let limit = Duration::from_millis(STALE_MS);
        if self.fresh.is_some_and(|until| now < until + limit) {
            return;
        }
        let waiting = |p: &Pending| matches!(p.phase, Phase::Unplaced { .. } | Phase::Asked { .. });
        for request in self.select(waiting) {
            let code = FailureCode::Refused(RefusalCode::StateNotFresh);
            self.fail(now, request, code, Some(RETRY_MS), out);
        }
    }

    /// Asks for requests whose pause is over, and repeats questions that got no answer.
    fn ask_again(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due = self.select(|p| match p.phase {
            Phase::Unplaced { again } | Phase::Asked { again, .. } => again <= now,
            Phase::Running(_) | Phase::Settling => false,
        });
        for request in due {
            self.place_one(now, request, out);
        }
    }

    /// Requests for which `wanted` holds, in the order of their identities.
    fn select(&self, wanted: impl Fn(&Pending) -> bool) -> Vec<RequestId> {
        let held = self.requests.values().filter(|p| wanted(p));
        let mut requests: Vec<RequestId> = held.map(|p| p.submission.request).collect();
        requests.sort_unstable();
        requests
    }

    fn renewals(&self) -> Vec<Action> {
        let mut groups: BTreeMap<SocketAddr, Vec<AttemptId>> = BTreeMap::new();
        for pending in self.requests.values() {
            if let Some(run) = pending.run() {
                groups.entry(run.addr).or_default().push(pending.attempt());
            }
        }
        groups
            .into_iter()
            .map(|(addr, attempts)| Action::Renew(addr, attempts))
            .collect()
    }

    fn report(&self, link: LinkId) -> Action {
        let runs = self.requests.values().filter_map(Pending::running);
        let running: Vec<Running> = runs.chain(self.closing.reports()).collect();
        let epoch = self.state.epoch;
        Action::Send(link, Message::Report { epoch, running })
    }

    fn release_closing(&self, closing: &Closing, evidence: Evidence, out: &mut Vec<Action>) {
        let owner = self.links.owner(&self.state, &closing.run.service);
        out.extend(release(closing.run.attempt, evidence, closing.link, owner));
    }

    fn release(
        &self,
        attempt: AttemptId,
        evidence: Evidence,
        granter: LinkId,
        out: &mut Vec<Action>,
    ) {
        let pending = self.requests.get(&attempt.request);
        let owner = pending.and_then(|p| self.links.owner(&self.state, &p.submission.service));
        out.extend(release(attempt, evidence, granter, owner));
    }
}

/// Tells the scheduler that granted the slot, and the one in charge if that is another by now,
/// that the slot is free.
fn release(
    attempt: AttemptId,
    evidence: Evidence,
    granter: LinkId,
    owner: Option<LinkId>,
) -> impl Iterator<Item = Action> {
    owner
        .filter(|owner| *owner != granter)
        .into_iter()
        .chain([granter])
        .map(move |link| Action::Send(link, finished(attempt, evidence)))
}

const fn finished(attempt: AttemptId, evidence: Evidence) -> Message {
    Message::Finished { attempt, evidence }
}
