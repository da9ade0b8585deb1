//! A fake `ApiBackend` for tests of the operators' HTTP interface.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use mimosastep::fleet::Accepted;
use mimosastep::fleet::ApiBackend;
use mimosastep::fleet::OperatorsApi;
use mimosastep::fleet::StateView;
use mimosastep::fleet::Submission;
use mimosastep::fleet::SubmitError;
use mimosastep::http::HttpServer;
use mimosastep::intake::Budget;
use mimosastep::record::KeyHash;

pub const KEY: &str = "operators-key";
pub const ACCEPTED: Accepted = Accepted {
    revision: 8,
    in_force: true,
};

/// Replies with scripted answers and records the submissions. Without a scripted answer it
/// replies `ACCEPTED`.
#[derive(Default)]
pub struct FakeBackend {
    pub answers: RefCell<VecDeque<Result<Accepted, SubmitError>>>,
    pub submissions: RefCell<Vec<Submission>>,
    pub view: RefCell<StateView>,
    pub ready: Cell<bool>,
    /// Delays the next answer until the sender is used or dropped.
    pub hold: RefCell<Option<oneshot::Receiver<()>>>,
}

impl ApiBackend for FakeBackend {
    fn submit(
        &self,
        submission: Submission,
    ) -> LocalBoxFuture<'static, Result<Accepted, SubmitError>> {
        self.submissions.borrow_mut().push(submission);
        let answer = self
            .answers
            .borrow_mut()
            .pop_front()
            .unwrap_or(Ok(ACCEPTED));
        let hold = self.hold.take();
        async move {
            if let Some(hold) = hold {
                let _ = hold.await;
            }
            answer
        }
        .boxed_local()
    }

    fn view(&self) -> StateView {
        self.view.borrow().clone()
    }

    fn is_ready(&self) -> bool {
        self.ready.get()
    }
}

/// Serves the operators' interface over a fake backend with scripted answers.
pub fn serve(answers: Vec<Result<Accepted, SubmitError>>) -> (Rc<FakeBackend>, HttpServer) {
    let fake = Rc::new(FakeBackend {
        answers: RefCell::new(answers.into()),
        ..FakeBackend::default()
    });
    let backend: Rc<dyn ApiBackend> = fake.clone();
    let operators = vec![KeyHash::of(b"another"), KeyHash::of(KEY.as_bytes())];
    let handler = OperatorsApi::new(backend, operators).into_handler();
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let server =
        HttpServer::bind(addr, OperatorsApi::limits(Budget::default()), handler).expect("bind");
    (fake, server)
}
