//! Who holds the permits of one team.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::limit::account::Account;
use crate::limit::target::targets;
use crate::name::NodeName;
use crate::name::TeamName;
use crate::record::Role;
use crate::record::State;
use crate::wire::Peer;
use crate::wire::PermitGrant;
use crate::wire::PermitReport;

/// How long the permits of a holder that was ended stay counted: until no gate's state that lacks
/// the end is fresh (2 s), twice, once for the scheduler's and once for the gate's, until the task
/// leases of a gate that was lost with it are over (5 s), and 1 s for the clocks.
pub const HOLD_OFF: Duration = Duration::from_secs(10);
/// Shortest time between two rounds of moves, in milliseconds.
const GAP_MS: u64 = 5;
/// Time between two distributions of permits that nobody needs yet, in milliseconds.
const SPREAD_MS: u64 = 100;
/// A holder is left one permit for a first request if its part of the limit is at least this.
const SPARE_PART: u32 = 8;

#[derive(Debug)]
struct Ended {
    held: u32,
    epoch: u64,
    release: Instant,
}

/// The ledger of one team's permits.
///
/// `held` of each account is an upper bound: raised before permits are sent, lowered only by a
/// report that counts all that were sent. What an ended holder had stays counted until
/// [`HOLD_OFF`] has passed and every holder has adopted what its gates still run.
#[derive(Debug)]
pub struct Ledger {
    team: TeamName,
    limit: u32,
    /// Epoch as of which this process keeps the ledger; none while another does.
    since: Option<u64>,
    /// Whether every holder has been heard since then.
    complete: bool,
    /// Whether more may run than the limit, because that was lowered.
    frozen: bool,
    accounts: BTreeMap<NodeName, Account>,
    ended: Vec<Ended>,
    gap: Option<Instant>,
    spread: Option<Instant>,
}

impl Ledger {
    /// A ledger that is kept elsewhere.
    #[must_use]
    pub const fn new(team: TeamName) -> Self {
        Self {
            team,
            limit: 0,
            since: None,
            complete: false,
            frozen: false,
            accounts: BTreeMap::new(),
            ended: Vec::new(),
            gap: None,
            spread: None,
        }
    }

    /// Takes the ledger over as of the state's epoch. Schedulers that were ended up to `epoch` may
    /// hold any number of permits until `clear`.
    pub fn open(&mut self, state: &State, epoch: u64, clear: Instant) {
        if self.since.is_some() {
            return;
        }
        self.since = Some(state.epoch);
        self.complete = false;
        self.accounts
            .values_mut()
            .for_each(|account| account.heard = false);
        self.ended = vec![Ended {
            held: u32::MAX,
            epoch,
            release: clear,
        }];
    }

    /// Leaves the ledger to another process. What was sent stays counted, in case it comes back.
    pub const fn close(&mut self) {
        self.since = None;
    }

    /// Goes on under a newer state.
    pub fn update(&mut self, now: Instant, limit: u32, state: &State) {
        self.frozen |= limit < self.limit;
        self.limit = limit;
        let before = std::mem::take(&mut self.accounts);
        for (node, member) in state.members_of(Role::Sched) {
            let known = before
                .get(node)
                .filter(|account| account.incarnation == member.incarnation);
            let known = known.cloned();
            let mut account = known.unwrap_or_else(|| Account::new(member.incarnation));
            account.leaving = member.leaving;
            self.accounts.insert(node.clone(), account);
        }
        for (node, account) in before {
            let stays = self.accounts.get(&node).map(|account| account.incarnation);
            if stays != Some(account.incarnation) {
                self.ended.push(Ended {
                    held: self.bound(&account),
                    epoch: state.epoch,
                    release: now + HOLD_OFF,
                });
            }
        }
    }

    /// Takes in a holder's report.
    pub fn report(&mut self, from: &Peer, permits: &PermitReport) {
        let current = self.since.is_some_and(|since| permits.epoch >= since);
        let account = self.accounts.get_mut(&from.node);
        if let Some(account) = account
            && account.incarnation == from.incarnation
            && current
        {
            account.report(permits);
        }
        if !self.complete && self.accounts.values().all(|account| account.heard) {
            self.complete = true;
            self.frozen |= self.accounts.values().any(|account| account.frozen);
        }
    }

    /// Moves permits to where they are wanted.
    pub fn settle(&mut self, now: Instant) -> Vec<(Peer, PermitGrant)> {
        let early = self.gap.is_some_and(|gap| now < gap);
        if self.since.is_none() || !self.complete || early {
            return Vec::new();
        }
        self.gap = Some(now + Duration::from_millis(GAP_MS));
        self.release(now);
        self.frozen &= self.free() < 0;
        let targets = self.targets();
        let short = self.frozen || self.is_short(&targets);
        let spread = self.spread.is_none_or(|spread| spread <= now);
        if spread {
            self.spread = Some(now + Duration::from_millis(SPREAD_MS));
        }
        self.tell(now, &targets, short, spread)
    }

    /// Permits that nobody is known to hold; negative after the limit was lowered.
    #[must_use]
    pub fn free(&self) -> i64 {
        let accounts = self.accounts.values().map(|account| account.held);
        let ended = self.ended.iter().map(|ended| ended.held);
        let held: i64 = accounts.chain(ended).map(i64::from).sum();
        i64::from(self.limit) - held
    }

    /// Whether it moves permits.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.since.is_some() && self.complete
    }

    fn tell(
        &mut self,
        now: Instant,
        targets: &[u32],
        short: bool,
        spread: bool,
    ) -> Vec<(Peer, PermitGrant)> {
        let mut free = u32::try_from(self.free()).unwrap_or(0);
        let mut out = Vec::new();
        for ((node, account), target) in self.accounts.iter_mut().zip(targets) {
            if !account.heard {
                continue;
            }
            let goal = if spread {
                *target
            } else {
                (*target).min(account.wanted)
            };
            let added = goal.saturating_sub(account.held).min(free);
            free -= added;
            let told = if short || account.leaving {
                *target
            } else {
                account.target().max(account.held.saturating_add(added))
            };
            if let Some(permit) = account.tell(now, &self.team, self.limit, added, told) {
                let incarnation = account.incarnation;
                let node = node.clone();
                out.push((Peer { node, incarnation }, permit));
            }
        }
        out
    }

    /// Whether holders lack more permits than are free, so that others have to give some up.
    fn is_short(&self, targets: &[u32]) -> bool {
        let accounts = self.accounts.values().zip(targets);
        let lacking: i64 = accounts
            .filter(|(account, _)| account.heard)
            .map(|(account, target)| account.wanted.min(*target).saturating_sub(account.held))
            .map(i64::from)
            .sum();
        lacking > self.free().max(0)
    }

    fn targets(&self) -> Vec<u32> {
        if self.frozen {
            return vec![0; self.accounts.len()];
        }
        let ended = self.ended.iter().map(|ended| u64::from(ended.held)).sum();
        let limit = u64::from(self.limit).saturating_sub(ended);
        let spare = (self.limit / (SPARE_PART * self.accounts.len().max(1) as u32)).min(1);
        let stays = self.accounts.values().filter(|account| !account.leaving);
        let wanted: Vec<u32> = stays.map(|account| account.wanted.max(spare)).collect();
        let mut parts = targets(u32::try_from(limit).unwrap_or(0), &wanted).into_iter();
        let accounts = self.accounts.values();
        accounts
            .map(|account| {
                if account.leaving {
                    0
                } else {
                    parts.next().unwrap_or(0)
                }
            })
            .collect()
    }

    fn release(&mut self, now: Instant) {
        let adopted = self.accounts.values().map(|account| account.adopted).min();
        self.ended.retain(|ended| {
            now < ended.release || adopted.is_none_or(|adopted| adopted < ended.epoch)
        });
    }

    /// What an ended holder may have: anything if it was there first and was never heard.
    const fn bound(&self, account: &Account) -> u32 {
        if account.heard || self.complete {
            account.held
        } else {
            u32::MAX
        }
    }
}
