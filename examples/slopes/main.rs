//! Measures how the cost of the decisions and of the state grows with the size of the fleet and its
//! load, and prints Markdown tables.
//!
//! Run it with `cargo run --release --example slopes`.

mod fleet;
mod memory;
mod requests;
mod state;
mod wire;

#[path = "../../scenarios/src/fit.rs"]
#[allow(dead_code)]
mod fit;

use std::hint::black_box;
use std::time::Instant;

use fit::Slope;

/// Shortest duration of one measurement, in seconds.
const MIN_DURATION_S: f64 = 0.02;
/// Number of measurements, of which the fastest counts.
const ROUNDS: usize = 12;

fn main() {
    println!("{}", Slope::HEAD);
    // Memory comes first, while the process is small: memory freed by the other measurements
    // would be reused and hide growth.
    let parts = [memory::slopes, state::slopes, requests::slopes];
    for slope in parts.into_iter().flat_map(|part| part()) {
        println!("{slope}");
    }
    println!();
    wire::print();
}

/// Returns the mean time of a call of `work` in the fastest measurement, in microseconds.
fn micros<T>(mut work: impl FnMut() -> T) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..ROUNDS {
        let mut calls = 0_u32;
        let start = Instant::now();
        while start.elapsed().as_secs_f64() < MIN_DURATION_S {
            black_box(work());
            calls += 1;
        }
        best = best.min(start.elapsed().as_secs_f64() / f64::from(calls));
    }
    best * 1e6
}
