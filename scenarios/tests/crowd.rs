//! Crowds that press on the processes of a whole site: callers' and operators' connections, and links
//! that stop half way through their handshake. Each test checks that the processes live within what
//! their settings allow, and that an ordinary request is answered afterwards.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use compio::runtime::Runtime;
use compio_quic::ClientConfig;
use compio_quic::Endpoint;
use compio_quic::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls::crypto::ring;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;
use scenarios::http;
use scenarios::layout::Layout;
use scenarios::site::ROLES;
use scenarios::site::Site;
use standins::measure::Machine;
use standins::measure::alone;
use standins::measure::queued_memory;
use test_case::test_case;

/// The machine of each process.
const MACHINE: Machine = Machine {
    memory: 64,
    descriptors: 400,
};
/// Number of connections of a crowd, for each process.
const CROWD: usize = 400;
/// Threads that open the connections of one process.
const THREADS: usize = 4;
/// Size of the bodies that a crowd announces, in bytes: what a gate takes.
const BODY_BYTES: usize = 1 << 20;
/// Time for which a member of the crowd waits for a process to take its bytes.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two measurements.
const MEASURE_PAUSE: Duration = Duration::from_millis(20);
/// Protocol of the links.
const PROTOCOL: &[u8] = b"mimosa/1";
/// Number of handshakes that stop half way.
const HANDSHAKES: usize = 2_000;
/// Time between two of their datagrams, so that the process's socket has room for each.
const DATAGRAM_PAUSE: Duration = Duration::from_micros(200);
/// Largest datagram.
const DATAGRAM_BYTES: usize = 1_500;
/// Limit of the time in which an ordinary request must be answered, in milliseconds.
const ANSWER_MS: u64 = 20_000;

/// What each connection of a crowd sends before it stops and stays open.
#[derive(Debug, Clone, Copy)]
enum Kind {
    /// A body of legal size but for its last byte.
    Whole,
    /// 20,000 chunks of one byte, without the last chunk.
    TinyChunks,
    /// Headers without their end.
    Headers,
    /// Nothing.
    Silent,
    /// Requests whose answers are never read.
    Unread,
}

/// The head of a request that a gate passes on.
fn head(length: &str) -> Vec<u8> {
    let key = Site::key("museum");
    let head = format!(
        "POST /v1/services/captions/requests HTTP/1.1\r\nhost: site\r\nauthorization: Bearer {key}\r\n{length}\r\n\r\n"
    );
    head.into_bytes()
}

impl Kind {
    /// What a connection sends.
    fn bytes(self) -> Vec<u8> {
        match self {
            Self::Whole => {
                let head = head(&format!("content-length: {BODY_BYTES}"));
                [head, vec![b' '; BODY_BYTES - 1]].concat()
            }
            Self::TinyChunks => {
                let head = head("transfer-encoding: chunked");
                [head, b"1\r\n \r\n".repeat(20_000)].concat()
            }
            Self::Headers => {
                let head = head(&format!("x-filler: {}", "f".repeat(15_000)));
                head.trim_ascii_end().to_vec()
            }
            Self::Silent => Vec::new(),
            Self::Unread => b"GET /metrics HTTP/1.1\r\nhost: site\r\n\r\n".repeat(20_000),
        }
    }
}

/// Opens a part of a crowd; returns the connections that are open. One that the process refuses or
/// closes counts as served.
fn gather(addr: SocketAddr, kind: Kind) -> Vec<TcpStream> {
    let mut crowd = Vec::new();
    for _ in 0..CROWD / THREADS {
        let Ok(mut stream) = TcpStream::connect(addr) else {
            continue;
        };
        stream
            .set_write_timeout(Some(WRITE_TIMEOUT))
            .expect("a time limit");
        // An error means that the process takes no more.
        let _ = stream.write_all(&kind.bytes());
        crowd.push(stream);
    }
    crowd
}

/// Fails unless each process lives within its machine. `queued` is the most that the system held for
/// the connections of each, in KiB.
fn check(site: &Site, queued: &[u64]) {
    let ids = site.system_ids();
    assert_eq!(ids.len(), ROLES.len());
    for ((id, role), queued) in ids.into_iter().zip(ROLES).zip(queued) {
        MACHINE.check(role, id, *queued);
    }
}

/// Fails unless an ordinary request is answered by a backend server.
fn expect_answer(site: &Site) {
    let key = format!("Bearer {}", Site::key("museum"));
    let headers = [("authorization", key.as_str())];
    let path = "/v1/services/captions/requests";
    let gate = site.gates()[0];
    let answered = || {
        let response = http::send(gate, "POST", path, &headers, "work");
        response.is_ok_and(|response| response.status == 200)
    };
    Site::wait_until("an ordinary request to be answered", ANSWER_MS, answered).expect("an answer");
}

fn open() -> Site {
    let layout = Layout {
        entries: 1,
        machine: Some(scenarios::layout::Machine {
            memory: MACHINE.memory,
            descriptors: MACHINE.descriptors,
        }),
        ..Layout::small()
    };
    Site::spawn(layout).expect("a site")
}

/// Threads that open a crowd of one kind at each process's address for callers.
fn spawn_crowd(addrs: &[SocketAddr], kind: Kind) -> Vec<JoinHandle<Vec<TcpStream>>> {
    let threads = addrs
        .iter()
        .flat_map(|&addr| (0..THREADS).map(move |_| thread::spawn(move || gather(addr, kind))));
    threads.collect()
}

/// Waits for a crowd and measures meanwhile; returns it with the most that the system held for the
/// connections of each process, in KiB.
fn join_measured(
    addrs: &[SocketAddr],
    gathering: Vec<JoinHandle<Vec<TcpStream>>>,
) -> (Vec<Vec<TcpStream>>, Vec<u64>) {
    let mut queued = vec![0; addrs.len()];
    while gathering.iter().any(|thread| !thread.is_finished()) {
        for (most, addr) in queued.iter_mut().zip(addrs) {
            *most = queued_memory(&[*addr]).max(*most);
        }
        thread::sleep(MEASURE_PAUSE);
    }
    let crowd = gathering.into_iter();
    let crowd = crowd.map(|thread| thread.join().expect("a part of the crowd"));
    (crowd.collect(), queued)
}

#[test_case(Kind::Whole; "whole bodies")]
#[test_case(Kind::TinyChunks; "tiny chunks")]
#[test_case(Kind::Headers; "headers without an end")]
#[test_case(Kind::Silent; "connections that send nothing")]
#[test_case(Kind::Unread; "answers that are not read")]
fn a_crowd_leaves_gate_scheduler_and_fleet_process_within_their_machines(kind: Kind) {
    let _alone = alone();
    let site = open();
    let addrs = site.addresses[0].map(|own| own.http);
    let (crowd, queued) = join_measured(&addrs, spawn_crowd(&addrs, kind));
    check(&site, &queued);
    expect_answer(&site);
    check(&site, &queued);
    drop(crowd);
}

/// The first datagrams of handshakes that have nothing in common, as a client without a certificate sends
/// them.
async fn first_datagrams(site: &Site) -> Vec<Vec<u8>> {
    let mut roots = RootCertStore::empty();
    let authority = CertificateDer::from_pem_file(site.path("ca.pem")).expect("a certificate");
    roots.add(authority).expect("a root");
    let mut config =
        rustls::ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .expect("a protocol")
            .with_root_certificates(roots)
            .with_no_client_auth();
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    let crypto = QuicClientConfig::try_from(Arc::new(config)).expect("a configuration");
    let sink = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    sink.set_nonblocking(true).expect("a mode");
    let addr = sink.local_addr().expect("an address");
    let mut endpoint = Endpoint::client("127.0.0.1:0").await.expect("an endpoint");
    endpoint.default_client_config = Some(ClientConfig::new(Arc::new(crypto)));
    let mut datagrams = Vec::new();
    let mut connecting = Vec::new();
    let mut buffer = [0; DATAGRAM_BYTES];
    for _ in 0..HANDSHAKES {
        connecting.push(
            endpoint
                .connect(addr, "mimosa.node", None)
                .expect("a handshake"),
        );
        compio::time::sleep(Duration::from_micros(200)).await;
        while let Ok(length) = sink.recv(&mut buffer) {
            datagrams.push(buffer[..length].to_vec());
        }
    }
    drop(connecting);
    datagrams
}

/// Sends the first datagrams of handshakes and nothing after them.
fn begin_handshakes(addr: SocketAddr, datagrams: &[Vec<u8>]) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket.set_nonblocking(true).expect("a mode");
    let mut answers = 0;
    for datagram in datagrams {
        socket.send_to(datagram, addr).expect("a datagram");
        thread::sleep(DATAGRAM_PAUSE);
        while socket.recv(&mut [0; DATAGRAM_BYTES]).is_ok() {
            answers += 1;
        }
    }
    println!("{answers} answers to {} handshakes", datagrams.len());
    assert!(answers >= HANDSHAKES / 2, "{answers} answers");
}

/// Guards against memory that handshakes take before the peer is known, beside a crowd of callers.
#[test]
fn handshakes_that_stop_half_way_leave_the_processes_within_their_machines() {
    let _alone = alone();
    let site = open();
    let runtime = Runtime::new().expect("a runtime");
    let datagrams = runtime.block_on(first_datagrams(&site));
    assert!(datagrams.len() >= HANDSHAKES, "{} sent", datagrams.len());
    let addrs = site.addresses[0].map(|own| own.http);
    let gathering = spawn_crowd(&addrs, Kind::Whole);
    let links = site.addresses[0].map(|own| own.quic);
    let handshakes = thread::spawn(move || {
        for addr in links {
            begin_handshakes(addr, &datagrams);
        }
    });
    let (crowd, queued) = join_measured(&addrs, gathering);
    handshakes.join().expect("handshakes");
    check(&site, &queued);
    expect_answer(&site);
    check(&site, &queued);
    drop(crowd);
}
