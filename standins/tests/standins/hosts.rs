//! The list of hosts shows changes after its lag, and reboots hosts on request.

use crate::support::Client;
use crate::support::Program;

const LIST: &str = r#"[{"name":"a","dc":"d","rack":"r","addr":"x","state":"leaving"}]"#;

#[test_case::test_case("0", 1; "without a lag")]
#[test_case::test_case("3600000", 0; "with a lag of an hour")]
fn a_change_shows_after_the_lag(lag_ms: &str, seen: usize) {
    let path = env!("CARGO_BIN_EXE_standin-hosts");
    let arguments = ["--listen", "127.0.0.1:0", "--lag-ms", lag_ms];
    let mut program = Program::start(path, &arguments);
    let mut client = Client::new(&program.next_address());
    assert_eq!(client.call("PUT /control/hosts", LIST).unwrap().0, 200);
    let list = client.json("GET /v1/hosts", "");
    assert_eq!(list["hosts"].as_array().unwrap().len(), seen);
    assert!(program.stop());
}

#[test_case::test_case(0, Some(2); "once for each id, and the last id is listed")]
#[test_case::test_case(3_600_000, None; "while it reboots, a host is not listed")]
fn a_host_reboots_on_request(reboot_ms: u64, seen: Option<u64>) {
    let path = env!("CARGO_BIN_EXE_standin-hosts");
    let reboot_ms = reboot_ms.to_string();
    let arguments = ["--listen", "127.0.0.1:0", "--reboot-ms", &reboot_ms];
    let mut program = Program::start(path, &arguments);
    let mut client = Client::new(&program.next_address());
    assert_eq!(client.call("PUT /control/hosts", LIST).unwrap().0, 200);
    for id in [2, 1, 2] {
        let body = format!("{{\"id\": {id}}}");
        assert_eq!(
            client.call("POST /v1/hosts/a/reboot", &body).unwrap().0,
            200
        );
    }
    assert_eq!(
        client
            .call("POST /v1/hosts/z/reboot", "{\"id\": 1}")
            .unwrap()
            .0,
        404
    );
    let list = client.json("GET /v1/hosts", "");
    assert_eq!(list["hosts"][0]["reboot"].as_u64(), seen);
    assert!(program.stop());
}
