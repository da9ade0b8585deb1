//! Participation in the election of the owner.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::oneshot;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::batch::BatchMetrics;
use crate::batch::Candidacy;
use crate::batch::Fence;
use crate::batch::OwnerRequest;
use crate::batch::OwnerResponse;
use crate::batch::Platform;
use crate::batch::Strength;
use crate::batch::contact::Confirmation;
use crate::batch::contact::Contact;
use crate::batch::directives_cache::DirectivesCache;
use crate::batch::owner::Owner;
use crate::name::NodeName;

/// Time between two renewals of the election membership, in milliseconds.
const RENEW_MS: u64 = 300;

/// This process's participation in the election, and its owner while it is elected.
pub struct Election<P> {
    platform: Rc<P>,
    directives: Rc<DirectivesCache>,
    node: NodeName,
    log: Logger,
    metrics: BatchMetrics,
    strength: Strength,
    owner: RefCell<Option<Owner>>,
    contact: Rc<Contact>,
    stopping: Cell<bool>,
}

impl<P: Platform> Election<P> {
    /// Takes part in the election until [`Self::stop`].
    pub fn spawn(
        platform: Rc<P>,
        directives: Rc<DirectivesCache>,
        node: NodeName,
        log: Logger,
        metrics: BatchMetrics,
        strength: Strength,
    ) -> Rc<Self> {
        let election = Rc::new(Self {
            platform,
            directives,
            node,
            log,
            metrics,
            strength,
            owner: RefCell::new(None),
            contact: Rc::new(Contact::new(Instant::now())),
            stopping: Cell::new(false),
        });
        compio::runtime::spawn(election.clone().run()).detach();
        election
    }

    /// Sends a request to the owner if it runs in this process.
    pub fn ask(&self, request: OwnerRequest) -> Option<oneshot::Receiver<OwnerResponse>> {
        let owner = self.owner.borrow();
        owner.as_ref().map(|owner| owner.ask(request))
    }

    /// Ends the term of this process, if any, and leaves the election.
    pub async fn stop(&self) {
        self.stopping.set(true);
        self.withdraw().await;
    }

    async fn withdraw(&self) {
        self.owner.take();
        self.platform.leave().await;
    }

    /// Checks for strong candidates if that is due.
    async fn check_candidacy(&self, candidacy: &mut Candidacy) {
        if !candidacy.needs_check(Instant::now()) {
            return;
        }
        let before = candidacy.is_candidate();
        let strong_candidate = self.platform.has_strong_candidate().await.ok();
        candidacy.record_check(Instant::now(), strong_candidate);
        if candidacy.is_candidate() != before {
            info!(self.log, "candidacy changed"; "takes_part" => candidacy.is_candidate(),
                "strong_process" => strong_candidate);
        }
    }

    async fn run(self: Rc<Self>) {
        let mut generation = 0;
        let mut reachable = true;
        let mut candidacy = Candidacy::new(self.strength, Instant::now());
        while !self.stopping.get() {
            self.check_candidacy(&mut candidacy).await;
            if !candidacy.is_candidate() {
                if generation > 0 {
                    self.withdraw().await;
                    generation = 0;
                }
                compio::time::sleep(Duration::from_millis(RENEW_MS)).await;
                continue;
            }
            let asked = Instant::now();
            match self.platform.join(generation).await {
                Ok(_) if self.stopping.get() => return,
                Ok(membership) => {
                    if !reachable {
                        info!(self.log, "election reachable again");
                    }
                    reachable = true;
                    generation = membership.generation;
                    if membership.leads {
                        self.contact
                            .record_confirmation(Confirmation { asked, generation });
                    }
                    self.apply_membership(membership.leads, generation);
                }
                Err(err) => {
                    if reachable {
                        warn!(self.log, "election unreachable; retrying"; "why" => %err);
                    }
                    reachable = false;
                }
            }
            // Without an answer the term continues under its fence until its leases end, so that an
            // outage of the platform's store does not interrupt it.
            self.contact.record_request(asked);
            if self.is_over() {
                // The log or an executor has reported a later owner before the election did.
                self.withdraw().await;
                generation = 0;
            }
            compio::time::sleep(Duration::from_millis(RENEW_MS)).await;
        }
    }

    fn is_over(&self) -> bool {
        self.owner.borrow().as_ref().is_some_and(Owner::is_over)
    }

    fn apply_membership(&self, leads: bool, generation: Fence) {
        let mut owner = self.owner.borrow_mut();
        match (leads, owner.as_ref()) {
            (true, None) => {
                info!(self.log, "elected; starting the term"; "fence" => generation);
                *owner = Some(Owner::spawn(
                    self.platform.clone(),
                    self.directives.clone(),
                    generation,
                    self.node.clone(),
                    self.log.clone(),
                    self.metrics.clone(),
                    self.contact.clone(),
                ));
            }
            (false, Some(old)) => {
                info!(self.log, "no longer elected; ending the term"; "fence" => old.fence(),
                    "generation" => generation);
                *owner = None;
            }
            _ => {}
        }
    }
}
