//! Steps of a listener, and what runs between them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use mimosastep::http::Pacer;
use mimosastep::http::Turn;

/// Time between two steps of another task.
const TICK: Duration = Duration::from_micros(100);

/// Asks for steps until one is not granted at once; returns how many were, and the one that was not.
fn exhaust(pacer: &Rc<Pacer>) -> (usize, Turn) {
    let mut granted = 0;
    loop {
        match pacer.ask() {
            None => granted += 1,
            Some(turn) => return (granted, turn),
        }
    }
}

/// Guards against a listener that keeps the event loop for as long as it has something to read.
#[compio::test]
async fn between_two_rounds_other_tasks_run() {
    let pacer = Rc::<Pacer>::default();
    let ticks = Rc::new(Cell::new(0));
    let counted = Rc::clone(&ticks);
    compio::runtime::spawn(async move {
        loop {
            compio::time::sleep(TICK).await;
            counted.set(counted.get() + 1);
        }
    })
    .detach();
    for _ in 0..5 {
        let before = ticks.get();
        let (granted, turn) = exhaust(&pacer);
        assert!(granted > 0);
        turn.await.expect("a step");
        assert!(ticks.get() > before, "nothing else has run");
    }
}

#[compio::test]
async fn steps_are_granted_in_the_order_in_which_they_are_asked_for() {
    let pacer = Rc::<Pacer>::default();
    let (granted, first) = exhaust(&pacer);
    let mut turns: Vec<Turn> = (0..granted).filter_map(|_| pacer.ask()).collect();
    assert_eq!(turns.len(), granted, "nobody passes those that wait");
    let last = turns.pop().expect("a step");
    first.await.expect("a step");
    assert!(
        last.now_or_never().is_none(),
        "it belongs to the next round"
    );
    for turn in turns {
        assert!(turn.now_or_never().is_some());
    }
}

/// A connection that is cut while it waits takes no step from another.
#[compio::test]
async fn a_step_that_nobody_waits_for_goes_to_the_next() {
    let pacer = Rc::<Pacer>::default();
    let (granted, dropped) = exhaust(&pacer);
    drop(dropped);
    let mut turns: Vec<Turn> = (0..granted).filter_map(|_| pacer.ask()).collect();
    let last = turns.pop().expect("a step");
    last.await.expect("a step of the first round");
    for turn in turns {
        assert!(turn.now_or_never().is_some());
    }
}
