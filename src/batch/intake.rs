//! Gathers the records of clients' calls into few appends.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::oneshot;

use crate::batch::Platform;
use crate::log::AppendError;

/// Longest that an append may take, in milliseconds.
const APPEND_MS: u64 = 2_000;
/// Age of an append from which on another one may be on its way beside it, in milliseconds: the
/// answer may be lost.
const SECOND_MS: u64 = 1_000;
/// Most appends on their way. The store takes them one at a time, so that more only wait there.
const APPEND_LIMIT: usize = 2;
/// Most bytes of one append.
const BYTE_LIMIT: usize = 512 << 10;
/// Time between two looks of a call whose record waits, in milliseconds.
const LOOK_MS: u64 = 100;

/// A record that waits.
struct Waiting {
    number: u64,
    bytes: Vec<u8>,
    reply: oneshot::Sender<Result<(), AppendError>>,
}

/// Appends records of clients' calls; those that come while an append is on its way go together.
pub(super) struct Intake<P> {
    platform: Rc<P>,
    waiting: RefCell<VecDeque<Waiting>>,
    numbers: Cell<u64>,
    flying: Cell<usize>,
    latest: Cell<Instant>,
}

impl<P: Platform> Intake<P> {
    /// An intake without records.
    pub fn new(platform: Rc<P>) -> Rc<Self> {
        Rc::new(Self {
            platform,
            waiting: RefCell::default(),
            numbers: Cell::new(0),
            flying: Cell::new(0),
            latest: Cell::new(Instant::now()),
        })
    }

    /// Appends a record by `deadline`.
    ///
    /// # Errors
    /// An [`AppendError`] that tells whether the record may be in the log.
    pub async fn store(
        self: &Rc<Self>,
        bytes: Vec<u8>,
        deadline: Instant,
    ) -> Result<(), AppendError> {
        let number = self.numbers.get() + 1;
        self.numbers.set(number);
        let (reply, mut answer) = oneshot::channel();
        self.waiting.borrow_mut().push_back(Waiting {
            number,
            bytes,
            reply,
        });
        loop {
            self.start();
            let look = Instant::now() + Duration::from_millis(LOOK_MS);
            match compio::time::timeout_at(look.min(deadline), &mut answer).await {
                Ok(Ok(result)) => return result,
                Ok(Err(_)) => return Err(self.give_up(number)),
                Err(_) if Instant::now() >= deadline => return Err(self.give_up(number)),
                Err(_) => {}
            }
        }
    }

    /// What is known of a record whose call has no more time.
    fn give_up(&self, number: u64) -> AppendError {
        let mut waiting = self.waiting.borrow_mut();
        let before = waiting.len();
        waiting.retain(|record| record.number != number);
        if waiting.len() < before {
            return AppendError::NotAppended("the store is busy".to_owned());
        }
        AppendError::Unknown("no answer in time".to_owned())
    }

    /// Sends the records that wait, unless enough appends are on their way.
    fn start(self: &Rc<Self>) {
        let now = Instant::now();
        let recent = now < self.latest.get() + Duration::from_millis(SECOND_MS);
        let busy = match self.flying.get() {
            0 => false,
            flying => flying >= APPEND_LIMIT || recent,
        };
        let batch = if busy { Vec::new() } else { self.take() };
        if batch.is_empty() {
            return;
        }
        self.flying.set(self.flying.get() + 1);
        self.latest.set(now);
        compio::runtime::spawn(self.clone().send(batch)).detach();
    }

    fn take(&self) -> Vec<Waiting> {
        let mut waiting = self.waiting.borrow_mut();
        let mut batch = Vec::new();
        let mut size = 0;
        while let Some(next) = waiting.front() {
            size += next.bytes.len();
            if size > BYTE_LIMIT && !batch.is_empty() {
                break;
            }
            batch.extend(waiting.pop_front());
        }
        batch
    }

    async fn send(self: Rc<Self>, batch: Vec<Waiting>) {
        let (records, replies): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|waiting| (waiting.bytes, waiting.reply))
            .unzip();
        let deadline = Instant::now() + Duration::from_millis(APPEND_MS);
        let result = self.platform.append(&records, None, deadline).await;
        let result = result.map(drop);
        for reply in replies {
            // A call that has no more time has been answered.
            let _ = reply.send(result.clone());
        }
        self.flying.set(self.flying.get() - 1);
        self.start();
    }
}
