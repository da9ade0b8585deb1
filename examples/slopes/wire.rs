//! Encoded size of messages and records, and the time to encode and decode messages.

use std::net::SocketAddr;

use mimosastep::net::Decoder;
use mimosastep::net::encode;
use mimosastep::record::Change;
use mimosastep::record::Role;
use mimosastep::wire::AttemptId;
use mimosastep::wire::Evidence;
use mimosastep::wire::Grant;
use mimosastep::wire::Message;
use mimosastep::wire::PermitGrant;
use mimosastep::wire::PermitReport;
use mimosastep::wire::Refusal;
use mimosastep::wire::RefusalCode;
use mimosastep::wire::RequestId;
use mimosastep::wire::Running;
use mimosastep::wire::SlotRequest;

use crate::fleet::Size;
use crate::fleet::host;
use crate::fleet::key;
use crate::fleet::node;
use crate::fleet::record;
use crate::fleet::service;
use crate::fleet::team;
use crate::micros;

/// Prints the tables of messages and of records.
pub fn print() {
    println!("| message | bytes | encoded, µs | decoded, µs |\n|---|---|---|---|");
    for (name, message) in messages() {
        let mut frame = Vec::new();
        encode(&message, &mut frame).expect("message within the frame size limit");
        let encoded = micros(|| {
            let mut out = Vec::with_capacity(frame.len());
            encode(&message, &mut out).map(|()| out)
        });
        let decoded = micros(|| {
            let mut decoder = Decoder::new();
            decoder.feed(&frame);
            decoder.take().expect("valid frame")
        });
        println!("| {name} | {} | {encoded:.3} | {decoded:.3} |", frame.len());
    }
    println!("\n| record | bytes |\n|---|---|");
    for (name, change) in changes() {
        println!("| {name} | {} |", record(change).encode().len());
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let attempt = AttemptId {
        request: RequestId(u128::MAX),
        number: 1,
    };
    let ask = SlotRequest {
        attempt,
        service: service(0),
        team: team(0),
        urgent: false,
        remaining: 10_000,
        waited: 0,
        avoid: Vec::new(),
    };
    let grant = Grant {
        attempt,
        host: host(0),
        addr: SocketAddr::from(([10, 0, 0, 1], 7_100)),
    };
    let running = Running {
        attempt,
        service: service(0),
        team: team(0),
        host: host(0),
    };
    let mark = record(changes().remove(1).1).encode();
    let state = Size::DESIGN.state().snapshot();
    vec![
        (
            "Probe",
            Message::Probe {
                nonce: 500_000,
                offset: 1_000_000,
            },
        ),
        (
            "Vouch",
            Message::ProbeReply {
                nonce: 500_000,
                offset: 1_000_000,
                age: Some(300),
            },
        ),
        ("Ask", Message::SlotRequest(ask)),
        ("Grant", Message::Grant(grant)),
        (
            "Finished",
            Message::Finished {
                attempt,
                evidence: Evidence::Served,
            },
        ),
        ("Cancel", Message::Cancel(attempt)),
        (
            "Refuse",
            Message::Refuse(Refusal {
                attempt,
                code: RefusalCode::Overloaded,
                retry_after: 1_000,
            }),
        ),
        (
            "Report of 100",
            Message::Report {
                epoch: 1_000,
                running: vec![running; 100],
            },
        ),
        (
            "Permits",
            Message::PermitReport(PermitReport {
                team: team(0),
                epoch: 1_000,
                number: 1_000,
                seen: 1_000,
                held: 100,
                wanted: 100,
                adopted: 1_000,
                target: 100,
                frozen: false,
            }),
        ),
        (
            "Permit",
            Message::PermitGrant(PermitGrant {
                team: team(0),
                heard: 1_000,
                number: 1_000,
                limit: 100,
                added: 100,
                target: 100,
            }),
        ),
        (
            "Records of one mark",
            Message::Records(vec![(1_000_000, mark)]),
        ),
        (
            "Snapshot at the design size",
            Message::Snapshot {
                offset: 1_000_000,
                state,
            },
        ),
    ]
}

fn changes() -> Vec<(&'static str, Change)> {
    let join = Size {
        entries: 1,
        ..Size::MIN
    }
    .changes()
    .pop()
    .expect("at least one change");
    vec![
        ("table of 130 teams", Size::DESIGN.table()),
        (
            "mark of a host",
            Change::MarkHost {
                host: host(0),
                active: false,
            },
        ),
        (
            "key granted",
            Change::GrantKey {
                team: team(0),
                hash: key(0),
            },
        ),
        ("drain", Change::Drain(host(0))),
        (
            "end of a drain",
            Change::Undrain {
                host: host(0),
                maintained: Some(1_790_000_000_000),
            },
        ),
        ("join", join),
        (
            "suspicion",
            Change::Suspect {
                node: node(0, Role::Gate),
                incarnation: 1_790_000_000_000,
                by: node(1, Role::Fleet),
            },
        ),
        (
            "snapshot at the design size",
            Change::Snapshot(Size::DESIGN.state().snapshot()),
        ),
    ]
}
