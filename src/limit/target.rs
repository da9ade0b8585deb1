//! Division of a limit by demand.

/// Divides `limit` permits among holders with the demands `wanted`: by max-min fairness, then the
/// remaining permits in equal parts.
#[must_use]
pub fn targets(limit: u32, wanted: &[u32]) -> Vec<u32> {
    let mut targets = vec![0; wanted.len()];
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|&index| wanted[index]);
    let mut left = limit;
    for (done, &index) in order.iter().enumerate() {
        let parts = (wanted.len() - done) as u32;
        targets[index] = wanted[index].min(left.div_ceil(parts));
        left -= targets[index];
    }
    for (done, &index) in order.iter().enumerate() {
        let parts = (wanted.len() - done) as u32;
        let extra = left.div_ceil(parts);
        targets[index] += extra;
        left -= extra;
    }
    targets
}
