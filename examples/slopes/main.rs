//! Measures how the decisions and the state grow, and prints Markdown tables.
//!
//! `cargo run --release --example slopes`

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

/// Shortest time of one measurement, in seconds.
const LEAST_S: f64 = 0.02;
/// Measurements of which the fastest counts.
const ROUNDS: usize = 12;

fn main() {
    println!("{}", Slope::HEAD);
    // Memory first, while the process is small.
    let parts = [memory::slopes, state::slopes, requests::slopes];
    for slope in parts.into_iter().flat_map(|part| part()) {
        println!("{slope}");
    }
    println!();
    wire::print();
}

/// Time of one call of `work`, in microseconds: the fastest of some rounds.
fn micros<T>(mut work: impl FnMut() -> T) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..ROUNDS {
        let mut calls = 0_u32;
        let start = Instant::now();
        while start.elapsed().as_secs_f64() < LEAST_S {
            black_box(work());
            calls += 1;
        }
        best = best.min(start.elapsed().as_secs_f64() / f64::from(calls));
    }
    best * 1e6
}
