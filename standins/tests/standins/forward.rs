//! The forwarder drops traffic in one direction, and silences open connections.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;

use crate::support::Client;
use crate::support::Program;
use crate::support::TEST_TIMEOUT;
use crate::support::connect;
use crate::support::is_open_and_silent;

fn start(kind: &str, target: String) -> (Program, Client, String) {
    let link = format!("127.0.0.1:0={target}");
    let path = env!("CARGO_BIN_EXE_standin-forward");
    let mut program = Program::start(path, &["--control", "127.0.0.1:0", kind, &link]);
    let control = Client::new(&program.next_address());
    let address = program.next_address();
    (program, control, address)
}

fn assert_passes(mut from: &TcpStream, mut to: &TcpStream, text: &str) {
    from.write_all(text.as_bytes()).unwrap();
    let mut buffer = vec![0; text.len()];
    to.read_exact(&mut buffer).unwrap();
    assert_eq!(buffer, text.as_bytes());
}

#[test]
fn a_cut_drops_one_way_without_closing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (program, mut control, address) =
        start("--tcp", listener.local_addr().unwrap().to_string());
    let client = connect(&address);
    let (target, _) = listener.accept().unwrap();
    target.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert_passes(&client, &target, "one");
    control.json("PUT /control", r#"{"link":0,"cut":"to_target"}"#);
    (&client).write_all(b"lost").unwrap();
    assert_passes(&target, &client, "two");
    control.json("PUT /control", r#"{"link":"127.0.0.1:0","cut":"none"}"#);
    assert_passes(&client, &target, "three");
    control.json("PUT /control", r#"{"link":0,"forget":true}"#);
    (&client).write_all(b"lost").unwrap();
    let new = connect(&address);
    let (new_target, _) = listener.accept().unwrap();
    assert_passes(&new, &new_target, "four");
    assert_passes(&new_target, &new, "five");
    assert!(is_open_and_silent(&target) && is_open_and_silent(&client));
    assert!(program.stop());
}

#[test]
fn datagrams_are_cut_one_way_and_forgotten_by_client() {
    let target = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (_program, mut control, address) = start("--udp", target.local_addr().unwrap().to_string());
    let bind = || UdpSocket::bind("127.0.0.1:0").unwrap();
    let (client, new) = (bind(), bind());
    for socket in [&client, &new] {
        socket.connect(&address).unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    }
    target.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut buffer = [0; 8];
    client.send(b"one").unwrap();
    let (length, flow) = target.recv_from(&mut buffer).unwrap();
    assert_eq!(&buffer[..length], b"one");
    control.json("PUT /control", r#"{"link":0,"cut":"to_target"}"#);
    client.send(b"lost").unwrap();
    target.send_to(b"two", flow).unwrap();
    let length = client.recv(&mut buffer).unwrap();
    assert_eq!(&buffer[..length], b"two");
    control.json("PUT /control", r#"{"link":0,"cut":"none","forget":true}"#);
    client.send(b"lost").unwrap();
    new.send(b"three").unwrap();
    let (length, _) = target.recv_from(&mut buffer).unwrap();
    assert_eq!(&buffer[..length], b"three");
}
