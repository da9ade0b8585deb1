//! Growth of the resident memory with the size of the state and of the queue.

use crate::fit::Slope;
use crate::fleet::Size;
use crate::requests::Bench;

/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;
/// Number of states held at once, so that the growth exceeds the free memory that the allocator
/// keeps.
const COPIES: usize = 50;

/// Measures the slopes of resident memory, in kilobytes.
pub fn slopes() -> Vec<Slope> {
    let min = Size::MIN;
    vec![
        Slope::measure(
            "resident memory, KB, of a state",
            "hosts",
            &[1_100, 2_200, 4_400, 8_800],
            |hosts| state(Size { hosts, ..min }),
        ),
        Slope::measure(
            "resident memory, KB, of a state",
            "teams with a key",
            &[260, 520, 1_040, 2_080],
            |teams| state(Size { teams, ..min }),
        ),
        Slope::measure(
            "resident memory, KB, of a scheduler",
            "requests waiting",
            &[10_000, 20_000, 40_000, 80_000],
            |queue| {
                let size = Size {
                    pools: 1,
                    hosts: 440,
                    ..Size::DESIGN
                };
                growth_kb(|| Bench::open(size, queue))
            },
        ),
    ]
}

fn state(size: Size) -> f64 {
    let snapshot = size.state().snapshot();
    let offset = size.state().offset;
    let read =
        || mimosastep::record::State::from_snapshot(offset, &snapshot).expect("valid snapshot");
    growth_kb(|| (0..COPIES).map(|_| read()).collect::<Vec<_>>()) / COPIES as f64
}

/// Returns by how many kilobytes `make` increases the resident memory.
fn growth_kb<T>(make: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes();
    // Never freed, so that the next measurement can't reuse the memory.
    std::mem::forget(make());
    let after = resident_bytes();
    (after - before) / 1_024.0
}

fn resident_bytes() -> f64 {
    let text =
        std::fs::read_to_string("/proc/self/statm").expect("/proc/self/statm should be readable");
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.expect("/proc/self/statm should hold the resident pages as its second field") * PAGE_BYTES
}
