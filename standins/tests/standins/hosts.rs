//! The list of hosts lags.

use crate::support::Client;
use crate::support::Program;

const LIST: &str = r#"[{"name":"a","dc":"d","rack":"r","addr":"x","state":"leaving"}]"#;

#[test_case::test_case("0", 1; "without a lag")]
#[test_case::test_case("3600000", 0; "with a lag of an hour")]
fn a_change_shows_after_the_lag(lag_ms: &str, seen: usize) {
    let path = env!("CARGO_BIN_EXE_standin-hosts");
    let arguments = ["--listen", "127.0.0.1:0", "--lag-ms", lag_ms];
    let mut program = Program::start(path, &arguments);
    let mut client = Client::new(&program.address());
    assert_eq!(client.call("PUT /control/hosts", LIST).unwrap().0, 200);
    let list = client.json("GET /v1/hosts", "");
    assert_eq!(list["hosts"].as_array().unwrap().len(), seen);
    assert!(program.stop());
}
