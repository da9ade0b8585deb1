//! `ConcurrencyLimiter`: the limit of concurrent requests to one server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mimosastep::http::ConcurrencyLimiter;

const ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
const OTHER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 2);

fn short_timeout() -> Duration {
    Duration::from_millis(20)
}

/// All tasks of a wide step start on one executor at the same time.
#[compio::test]
async fn a_burst_takes_few_turns_at_a_time_and_all_in_the_end() {
    let limiter = ConcurrencyLimiter::new(3);
    let active = Rc::new(Cell::new(0));
    let peak = Rc::new(Cell::new(0));
    let done = Rc::new(Cell::new(0));
    let mut tasks = Vec::new();
    for _ in 0..20 {
        let (limiter, active, peak, done) =
            (limiter.clone(), active.clone(), peak.clone(), done.clone());
        tasks.push(compio::runtime::spawn(async move {
            let _turn = limiter.acquire(ADDR).await;
            active.set(active.get() + 1);
            peak.set(peak.get().max(active.get()));
            compio::time::sleep(Duration::from_millis(1)).await;
            active.set(active.get() - 1);
            done.set(done.get() + 1);
        }));
    }
    for task in tasks {
        task.await.expect("a task that ends");
    }
    assert_eq!((peak.get(), done.get()), (3, 20));
}

#[compio::test]
async fn servers_do_not_wait_for_each_other() {
    let limiter = ConcurrencyLimiter::new(1);
    let _first = limiter.acquire(ADDR).await;
    let other = compio::time::timeout(short_timeout(), limiter.acquire(OTHER)).await;
    assert!(other.is_ok());
}

/// Waiters at the head of the queue have timed out when a turn becomes free.
#[compio::test]
async fn a_turn_passes_over_those_that_gave_up() {
    let limiter = ConcurrencyLimiter::new(1);
    let first = limiter.acquire(ADDR).await;
    for _ in 0..2 {
        let late = compio::time::timeout(short_timeout(), limiter.acquire(ADDR)).await;
        assert!(late.is_err());
    }
    drop(first);
    let next = compio::time::timeout(short_timeout(), limiter.acquire(ADDR)).await;
    assert!(next.is_ok());
}
