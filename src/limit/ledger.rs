//! Allocation of one team's permits to schedulers.

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

/// How long the permits of a holder that was ended stay counted: 2 s until the state of each
/// scheduler either shows the end or is no longer fresh, then 2 s until the same holds for the
/// gates, 5 s until the task leases of a gate that was lost with the holder have expired, and 1 s
/// for clock differences.
pub const RECLAIM_DELAY: Duration = Duration::from_secs(10);
/// Minimum interval between two rounds of permit messages, in milliseconds.
const MIN_INTERVAL_MS: u64 = 5;
/// Interval at which permits without demand are spread over the holders, in milliseconds.
const SPREAD_INTERVAL_MS: u64 = 100;
/// If the limit is at least this many permits for each holder, a holder without demand counts as
/// wanting one, so that its first request can start at once.
const SPARE_MIN_SHARE: u32 = 8;

/// Permits of a holder that was ended.
#[derive(Debug)]
struct EndedHolder {
    /// Upper bound of the permits that it held.
    held: u32,
    /// Epoch at which it was ended.
    epoch: u64,
    /// Earliest time at which its permits may be released.
    release_at: Instant,
}

/// Counts and allocates one team's permits.
///
/// `held` of each account is an upper bound: it is raised before permits are sent, and lowered only
/// by a report that acknowledges all permits sent. The permits of an ended holder stay counted
/// until [`RECLAIM_DELAY`] has passed and every holder counts the attempts that gates still run for
/// it.
#[derive(Debug)]
pub struct Ledger {
    team: TeamName,
    limit: u32,
    /// Epoch at which this process opened the ledger; none while another process keeps it.
    since: Option<u64>,
    /// Whether every holder has reported since the ledger was opened.
    complete: bool,
    /// Whether more permits may be in use than the limit, because it was lowered.
    frozen: bool,
    accounts: BTreeMap<NodeName, Account>,
    ended: Vec<EndedHolder>,
    next_round: Option<Instant>,
    next_spread: Option<Instant>,
}

impl Ledger {
    /// Creates a closed ledger.
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
            next_round: None,
            next_spread: None,
        }
    }

    /// Opens the ledger as of the state's epoch; no effect if it is open. Schedulers that were
    /// ended up to `epoch` may hold any number of permits until `clear`.
    pub fn open(&mut self, state: &State, epoch: u64, clear: Instant) {
        if self.since.is_some() {
            return;
        }
        self.since = Some(state.epoch);
        self.complete = false;
        self.accounts
            .values_mut()
            .for_each(|account| account.has_reported = false);
        self.ended = vec![EndedHolder {
            held: u32::MAX,
            epoch,
            release_at: clear,
        }];
    }

    /// Closes the ledger, because another process keeps it now. Permits that were sent stay
    /// counted, in case it is opened here again.
    pub const fn close(&mut self) {
        self.since = None;
    }

    /// Applies a newer state: the limit, and the schedulers that joined or ended.
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
                self.ended.push(EndedHolder {
                    held: self.held_bound(&account),
                    epoch: state.epoch,
                    release_at: now + RECLAIM_DELAY,
                });
            }
        }
    }

    /// Applies a holder's report. Reports of other incarnations, or from before the ledger was
    /// opened, are ignored.
    pub fn report(&mut self, from: &Peer, permits: &PermitReport) {
        let current = self.since.is_some_and(|since| permits.epoch >= since);
        let account = self.accounts.get_mut(&from.node);
        if let Some(account) = account
            && account.incarnation == from.incarnation
            && current
        {
            account.report(permits);
        }
        if !self.complete && self.accounts.values().all(|account| account.has_reported) {
            self.complete = true;
            self.frozen |= self.accounts.values().any(|account| account.frozen);
        }
    }

    /// Moves permits to the holders with demand: returns the messages to send. Empty until all
    /// holders have reported.
    pub fn rebalance(&mut self, now: Instant) -> Vec<(Peer, PermitGrant)> {
        let early = self.next_round.is_some_and(|due| now < due);
        if self.since.is_none() || !self.complete || early {
            return Vec::new();
        }
        self.next_round = Some(now + Duration::from_millis(MIN_INTERVAL_MS));
        self.release_ended(now);
        self.frozen &= self.free() < 0;
        let targets = self.targets();
        let short = self.frozen || self.is_short(&targets);
        let spread = self.next_spread.is_none_or(|due| due <= now);
        if spread {
            self.next_spread = Some(now + Duration::from_millis(SPREAD_INTERVAL_MS));
        }
        self.distribute(now, &targets, short, spread)
    }

    /// Number of permits that no holder may have; can be negative after the limit was lowered.
    #[must_use]
    pub fn free(&self) -> i64 {
        let accounts = self.accounts.values().map(|account| account.held);
        let ended = self.ended.iter().map(|ended| ended.held);
        let held: i64 = accounts.chain(ended).map(i64::from).sum();
        i64::from(self.limit) - held
    }

    /// Whether the ledger is open and all holders have reported to it.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.since.is_some() && self.complete
    }

    fn distribute(
        &mut self,
        now: Instant,
        targets: &[u32],
        short: bool,
        spread: bool,
    ) -> Vec<(Peer, PermitGrant)> {
        let mut free = u32::try_from(self.free()).unwrap_or(0);
        let mut out = Vec::new();
        for ((node, account), target) in self.accounts.iter_mut().zip(targets) {
            if !account.has_reported {
                continue;
            }
            let goal = if spread {
                *target
            } else {
                (*target).min(account.wanted)
            };
            let added = goal.saturating_sub(account.held).min(free);
            free -= added;
            let new_target = if short || account.leaving {
                *target
            } else {
                account.target().max(account.held.saturating_add(added))
            };
            if let Some(permit) =
                account.next_message(now, &self.team, self.limit, added, new_target)
            {
                let incarnation = account.incarnation;
                let node = node.clone();
                out.push((Peer { node, incarnation }, permit));
            }
        }
        out
    }

    /// Whether holders lack more permits than are free, so that others have to give some back.
    fn is_short(&self, targets: &[u32]) -> bool {
        let accounts = self.accounts.values().zip(targets);
        let lacking: i64 = accounts
            .filter(|(account, _)| account.has_reported)
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
        let spare = (self.limit / (SPARE_MIN_SHARE * self.accounts.len().max(1) as u32)).min(1);
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

    fn release_ended(&mut self, now: Instant) {
        let adopted = self.accounts.values().map(|account| account.adopted).min();
        self.ended.retain(|ended| {
            now < ended.release_at || adopted.is_none_or(|adopted| adopted < ended.epoch)
        });
    }

    /// Upper bound of the permits of an ended holder; unknown, and so without bound, if it never
    /// reported and the ledger isn't complete.
    const fn held_bound(&self, account: &Account) -> u32 {
        if account.has_reported || self.complete {
            account.held
        } else {
            u32::MAX
        }
    }
}
