//! The division itself.

use std::collections::BTreeSet;

use crate::division::Claim;

/// Part of the CPU that is divided regardless of priorities, in percent.
const EQUAL_PERCENT: u64 = 50;

/// Divides `total` CPU between claims; returns what each gets, at most its need, in the order of the
/// claims. All in thousandths of a core. If there is enough, each gets what it needs.
#[must_use]
pub fn divide(total: u64, claims: &[Claim]) -> Vec<u64> {
    let needs: Vec<u64> = claims.iter().map(Claim::total).collect();
    if sum(&needs) <= total {
        return needs;
    }
    let mut granted = fill(percent(total, EQUAL_PERCENT), &needs);
    let priorities: BTreeSet<u32> = claims.iter().flat_map(Claim::priorities).collect();
    for priority in priorities {
        let left = total - sum(&granted);
        let lacking: Vec<u64> = claims
            .iter()
            .zip(&granted)
            .map(|(claim, granted)| claim.up_to(priority).saturating_sub(*granted))
            .collect();
        for (granted, part) in granted.iter_mut().zip(split(left, &lacking)) {
            *granted += part;
        }
    }
    granted
}

/// Divides `amount` by progressive filling: all that need more rise to one common level.
fn fill(amount: u64, needs: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..needs.len()).collect();
    order.sort_by_key(|&at| needs[at]);
    let mut filled = vec![0; needs.len()];
    let mut left = amount;
    for (passed, &at) in order.iter().enumerate() {
        let share = left / (order.len() - passed) as u64;
        filled[at] = needs[at].min(share);
        left -= filled[at];
    }
    filled
}

/// Splits `amount` in proportion to what is lacking; returns no more than that.
fn split(amount: u64, lacking: &[u64]) -> Vec<u64> {
    let total: u128 = lacking.iter().copied().map(u128::from).sum();
    if total <= u128::from(amount) {
        return lacking.to_vec();
    }
    let part = |&lacking: &u64| {
        let part = u128::from(amount) * u128::from(lacking) / total;
        // Less than `amount`.
        u64::try_from(part).unwrap_or(amount)
    };
    lacking.iter().map(part).collect()
}

fn sum(amounts: &[u64]) -> u64 {
    let amounts = amounts.iter();
    amounts.fold(0, |sum, &amount| sum.saturating_add(amount))
}

const fn percent(amount: u64, percent: u64) -> u64 {
    amount / 100 * percent + amount % 100 * percent / 100
}
