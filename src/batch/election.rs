//! Which process is the owner.

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
use crate::batch::contact::Contact;
use crate::batch::directives_cache::DirectivesCache;
use crate::batch::owner::Owner;
use crate::name::NodeName;

/// Time between two renewals of the membership, in milliseconds.
const RENEW_MS: u64 = 300;

/// This process's part in the election, and the owner if it is elected.
pub struct Election<P> {
    platform: Rc<P>,
    view: Rc<DirectivesCache>,
    node: NodeName,
    log: Logger,
    metrics: BatchMetrics,
    strength: Strength,
    owner: RefCell<Option<Owner>>,
    contact: Rc<Contact>,
    stopping: Cell<bool>,
}

impl<P: Platform> Election<P> {
    /// Takes part until [`Self::stop`].
    pub fn spawn(
        platform: Rc<P>,
        view: Rc<DirectivesCache>,
        node: NodeName,
        log: Logger,
        metrics: BatchMetrics,
        strength: Strength,
    ) -> Rc<Self> {
        let election = Rc::new(Self {
            platform,
            view,
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

    /// Asks the owner, if it is here.
    pub fn ask(&self, ask: OwnerRequest) -> Option<oneshot::Receiver<OwnerResponse>> {
        let owner = self.owner.borrow();
        owner.as_ref().map(|owner| owner.ask(ask))
    }

    /// Ends this process's term, if it has one, and lets another process begin.
    pub async fn stop(&self) {
        self.stopping.set(true);
        self.withdraw().await;
    }

    async fn withdraw(&self) {
        self.owner.take();
        self.platform.leave().await;
    }

    /// Looks who takes part, if this process must know.
    async fn look(&self, candidacy: &mut Candidacy) {
        if !candidacy.needs_check(Instant::now()) {
            return;
        }
        let was = candidacy.is_candidate();
        let attended = self.platform.has_strong_candidate().await.ok();
        candidacy.record_check(Instant::now(), attended);
        if candidacy.is_candidate() != was {
            info!(self.log, "election"; "takes_part" => candidacy.is_candidate(),
                "strong_process" => attended);
        }
    }

    async fn run(self: Rc<Self>) {
        let mut generation = 0;
        let mut reached = true;
        let mut candidacy = Candidacy::new(self.strength, Instant::now());
        while !self.stopping.get() {
            self.look(&mut candidacy).await;
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
                    if !reached {
                        info!(self.log, "election reached again");
                    }
                    reached = true;
                    generation = membership.generation;
                    if membership.leads {
                        self.contact.confirm(asked);
                    }
                    self.follow(membership.leads, generation);
                }
                Err(err) => {
                    if reached {
                        warn!(self.log, "election out of reach"; "why" => %err);
                    }
                    reached = false;
                }
            }
            // Without an answer a term goes on under its fence until its leases end, as in an
            // outage of the store.
            self.contact.ask(asked);
            if self.is_over() {
                // The election's own view lags behind the executors' or the log's.
                self.withdraw().await;
                generation = 0;
            }
            compio::time::sleep(Duration::from_millis(RENEW_MS)).await;
        }
    }

    fn is_over(&self) -> bool {
        self.owner.borrow().as_ref().is_some_and(Owner::is_over)
    }

    fn follow(&self, leads: bool, generation: Fence) {
        let mut owner = self.owner.borrow_mut();
        match (leads, owner.as_ref()) {
            (true, None) => {
                info!(self.log, "elected"; "fence" => generation);
                *owner = Some(Owner::spawn(
                    self.platform.clone(),
                    self.view.clone(),
                    generation,
                    self.node.clone(),
                    self.log.clone(),
                    self.metrics.clone(),
                    self.contact.clone(),
                ));
            }
            (false, Some(old)) => {
                info!(self.log, "no longer elected"; "fence" => old.fence(),
                    "generation" => generation);
                *owner = None;
            }
            _ => {}
        }
    }
}
