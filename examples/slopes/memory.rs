//! Growth of the resident memory.

use crate::fit::Slope;
use crate::fleet::Size;
use crate::requests::Bench;

/// Size of a page, in bytes.
const PAGE: f64 = 4_096.0;
/// States that are held at once, so that one is larger than what the allocator keeps free.
const COPIES: usize = 50;

/// All slopes of memory.
pub fn slopes() -> Vec<Slope> {
    let least = Size::LEAST;
    vec![
        Slope::measure(
            "resident memory, KB, of a state",
            "hosts",
            &[1_100, 2_200, 4_400, 8_800],
            |hosts| state(Size { hosts, ..least }),
        ),
        Slope::measure(
            "resident memory, KB, of a state",
            "teams with a key",
            &[260, 520, 1_040, 2_080],
            |teams| state(Size { teams, ..least }),
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
                grown(|| Bench::open(size, queue))
            },
        ),
    ]
}

fn state(size: Size) -> f64 {
    let snapshot = size.state().snapshot();
    let offset = size.state().offset;
    let read = || mimosastep::record::State::from_snapshot(offset, &snapshot).expect("a state");
    grown(|| (0..COPIES).map(|_| read()).collect::<Vec<_>>()) / COPIES as f64
}

/// By how many kilobytes `make` lets the process grow.
fn grown<T>(make: impl FnOnce() -> T) -> f64 {
    let before = resident();
    // Never freed, so that the next measurement finds no free memory to take.
    std::mem::forget(make());
    let after = resident();
    (after - before) / 1_024.0
}

fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("Linux tells the memory");
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.expect("a number of pages") * PAGE
}
