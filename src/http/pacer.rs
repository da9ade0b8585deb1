//! Lets the rest of the process run between the requests of a listener.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;

/// Steps that are granted before the process looks for other events.
const STEPS: usize = 128;
/// Steps left at which the next round is prepared: in calm it comes before they are used up.
const FEW_STEPS: usize = STEPS / 2;
/// Shortest time between two rounds of steps, in milliseconds.
const ROUND_MS: u64 = 1;

/// Grants steps, a few in each round, in the order in which they are asked for. Between two rounds the
/// event loop handles what else has happened; otherwise a listener with much to read keeps it for so long
/// that the process's own connections time out.
#[derive(Debug)]
pub struct Pacer {
    state: RefCell<State>,
}

#[derive(Debug)]
struct State {
    // Steps left in this round.
    left: usize,
    waiting: VecDeque<oneshot::Sender<()>>,
    // Whether a task waits for the next round.
    running: bool,
}

/// A step that is not granted yet.
pub type Turn = oneshot::Receiver<()>;

impl Default for Pacer {
    fn default() -> Self {
        Self {
            state: RefCell::new(State {
                left: STEPS,
                waiting: VecDeque::new(),
                running: false,
            }),
        }
    }
}

impl Pacer {
    /// Asks for a step; `None` if it is granted at once.
    pub fn ask(self: &Rc<Self>) -> Option<Turn> {
        let turn = self.state.borrow_mut().take_step();
        if self.state.borrow().left <= FEW_STEPS {
            self.start_round();
        }
        turn
    }

    /// Waits for a step.
    pub async fn step(self: &Rc<Self>) {
        if let Some(turn) = self.ask() {
            let _ = turn.await;
        }
    }

    /// Sees to it that a next round comes.
    fn start_round(self: &Rc<Self>) {
        if std::mem::replace(&mut self.state.borrow_mut().running, true) {
            return;
        }
        let pacer = Rc::clone(self);
        compio::runtime::spawn(async move {
            let mut more = true;
            while more {
                compio::time::sleep(Duration::from_millis(ROUND_MS)).await;
                more = pacer.state.borrow_mut().begin_round();
            }
        })
        .detach();
    }
}

impl State {
    /// Takes a step; `None` if it is granted at once.
    fn take_step(&mut self) -> Option<Turn> {
        if self.left > 0 {
            self.left -= 1;
            return None;
        }
        let (sender, turn) = oneshot::channel();
        self.waiting.push_back(sender);
        Some(turn)
    }

    /// Grants the steps of a round to those that wait; returns whether another round is needed.
    fn begin_round(&mut self) -> bool {
        self.left = STEPS;
        while self.left > 0
            && let Some(next) = self.waiting.pop_front()
        {
            // One that was dropped meanwhile needs no step.
            if next.send(()).is_ok() {
                self.left -= 1;
            }
        }
        self.running = self.left <= FEW_STEPS;
        self.running
    }
}
