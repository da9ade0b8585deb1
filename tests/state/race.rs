//! Concurrent changes of operators through two fleet processes over HTTP.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use compio::time::sleep;
use futures_util::future::join;
use mimosastep::ctl::CtlError;
use mimosastep::ctl::FleetClient;
use mimosastep::fleet::FleetServer;
use mimosastep::fleet::Submission;
use mimosastep::record::KeyHash;
use mimosastep::record::RecordId;
use mimosastep::settings::FleetSettings;
use test_case::test_case;

use crate::certs::Authority;
use crate::fake_log::FakeLog;
use crate::fake_log::Mode;
use crate::node::free_addr;
use crate::node::settings;
use crate::test_fleet::table;

const KEY: &str = "operator's key";

/// Limit for an accepted configuration to be in force on every process.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(9);

/// A fleet process, and an operator's client that uses only this process.
struct FleetEndpoint {
    server: FleetServer,
    client: FleetClient,
}

async fn start_endpoint(
    authority: &Authority,
    log: &FakeLog,
    number: usize,
    fleet: &[SocketAddr],
) -> FleetEndpoint {
    let mut common = settings(authority, log, number, fleet);
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    common.http = socket.local_addr().expect("an address");
    drop(socket);
    let client = FleetClient::new(vec![common.http.to_string()], KEY.to_owned()).unwrap();
    let settings = FleetSettings {
        hosts: common.log,
        operators: vec![KeyHash::of(KEY.as_bytes())],
        common,
    };
    let server = FleetServer::spawn(settings).await.expect("a fleet process");
    FleetEndpoint { server, client }
}

impl FleetEndpoint {
    async fn wait_ready(&self) {
        while self.client.readiness().await[0].1 != "ready" {
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn weight(&self) -> (u64, u32) {
        let view = self.client.view().await.expect("a view");
        (view.revision, view.teams["x"].row.weight)
    }

    async fn submit(&self, base: u64, weight: u32) -> Result<u32, CtlError> {
        let submission = Submission {
            id: RecordId::random(),
            base: Some(base),
            change: table(weight),
        };
        let accepted = self.client.submit(&submission).await?;
        assert!(accepted.in_force, "the reply reports the change in force");
        assert_eq!(accepted.revision, base + 1);
        Ok(weight)
    }
}

#[test_case(Mode::Up; "the log is well")]
#[test_case(Mode::Slow; "the log is slow")]
#[test_case(Mode::LoseReply; "the log loses its answers")]
fn of_two_tables_at_once_one_wins_everywhere(mode: Mode) {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (authority, log) = (Authority::new(), FakeLog::start());
        let fleet = [free_addr(), free_addr()];
        let one = start_endpoint(&authority, &log, 1, &fleet).await;
        let two = start_endpoint(&authority, &log, 2, &fleet).await;
        one.wait_ready().await;
        two.wait_ready().await;
        log.set_mode(mode);
        for base in 0..5 {
            let (first, second) = (2 * base as u32 + 1, 2 * base as u32 + 2);
            let (a, b) = join(one.submit(base, first), two.submit(base, second)).await;
            let winner = match (a, b) {
                (Ok(weight), Err(CtlError::Rejected(why)))
                | (Err(CtlError::Rejected(why)), Ok(weight)) => {
                    assert!(
                        why.contains(&format!("its revision is {}", base + 1)),
                        "{why}"
                    );
                    weight
                }
                other => panic!("expected one winner and one rejection, got {other:?}"),
            };
            let deadline = Instant::now() + IN_FORCE_TIMEOUT;
            for process in [&one, &two] {
                while process.weight().await != (base + 1, winner) {
                    assert!(Instant::now() < deadline, "not in force within the limit");
                }
            }
        }
        log.set_mode(Mode::Up);
        join(one.server.stop(), two.server.stop()).await;
    });
}
