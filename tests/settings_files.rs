//! Settings files: valid files load; errors name the file, line, field and allowed values.

use std::env;
use std::fs;
use std::path::PathBuf;

use mimosastep::intake::Budget;
use mimosastep::record::KeyHash;
use mimosastep::settings::FleetSettings;
use mimosastep::settings::GateSettings;
use mimosastep::settings::SchedSettings;
use test_case::test_case;
use uuid::Uuid;

const COMMON: &str = "node: entry-1
dc: cardiff
listen: 127.0.0.1:7101
http: 127.0.0.1:8001
log: http://127.0.0.1:7000
fleet: [127.0.0.1:7301, '[::1]:7302']
tls: { ca: Cargo.toml, cert: Cargo.toml, key: Cargo.toml }
";

/// Temporary settings file, removed when dropped.
struct TempSettings(PathBuf);

impl TempSettings {
    fn new(text: &str) -> Self {
        let path = env::temp_dir().join(format!("mimosa-settings-{}.yaml", Uuid::new_v4()));
        fs::write(&path, text).expect("a file");
        Self(path)
    }

    /// Strips the file's path from the start of an error text.
    fn strip_path(&self, text: &str) -> String {
        let name = self.0.display().to_string();
        text.strip_prefix(&name).expect("the file's name").into()
    }
}

impl Drop for TempSettings {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

#[test]
fn a_program_may_be_told_its_machine() {
    let limits = "limits: { memory_mb: 64, descriptors: 400 }\n";
    let told = TempSettings::new(&format!("{COMMON}{limits}"));
    let plain = TempSettings::new(COMMON);
    let told = SchedSettings::open(&told.0).expect("settings");
    let plain = SchedSettings::open(&plain.0).expect("settings");
    let machine = Budget::of_machine(Some(64 << 20), Some(400));
    assert_eq!(told.common.budget, machine);
    assert_eq!(plain.common.budget, Budget::default());
}

#[test]
fn a_gate_may_set_a_limit() {
    let plain = TempSettings::new(COMMON);
    let limited = TempSettings::new(&format!("{COMMON}body_limit: 4096\n"));
    let plain = GateSettings::open(&plain.0).expect("settings");
    let limited = GateSettings::open(&limited.0).expect("settings");
    assert_eq!(plain.body_limit, 1_048_576);
    assert_eq!(limited.body_limit, 4_096);
    assert_eq!(plain.common, limited.common);
    assert_eq!(plain.common.node.as_str(), "entry-1");
    assert_eq!(plain.common.log.to_string(), "http://127.0.0.1:7000");
    assert_eq!(plain.common.fleet[1].to_string(), "[::1]:7302");
}

#[test]
fn a_scheduler_has_the_common_part() {
    let file = TempSettings::new(COMMON);
    let settings = SchedSettings::open(&file.0).expect("settings");
    assert_eq!(settings.common.dc.as_str(), "cardiff");
}

#[test_case(KeyHash::of(b"key"); "letters and digits")]
#[test_case(KeyHash([0x11; 32]); "digits only")]
#[test_case(KeyHash([0x1e; 32]); "like a number with an exponent")]
#[test_case(KeyHash([0; 32]); "zeros")]
fn a_fleet_process_knows_operators(hash: KeyHash) {
    let own = format!("hosts: http://127.0.0.1:7001\noperators: [{hash}]\n");
    let file = TempSettings::new(&format!("{COMMON}{own}"));
    let settings = FleetSettings::open(&file.0).expect("settings");
    assert_eq!(settings.operators, [hash]);
    assert_eq!(settings.hosts.addr().port(), 7001);
}

#[test]
fn a_missing_file_is_named() {
    let err = SchedSettings::open("/nonexistent/a.yaml".as_ref()).expect_err("an error");
    assert!(
        err.to_string().starts_with("/nonexistent/a.yaml: "),
        "{err}"
    );
}

#[test_case("node: entry-1", "node: entry 1", ":1:7: field `node`: a name holds only letters, digits, '-', '_' and '.', not ' '; allowed: 1 to 64 of a-z A-Z 0-9 - _ ."; "a name with a space")]
#[test_case("dc: cardiff", "dc: ''", ":2:5: field `dc`: a name must not be empty; allowed: 1 to 64 of a-z A-Z 0-9 - _ ."; "an empty name")]
#[test_case("listen: 127.0.0.1:7101", "listen: localhost:7101", ":3:9: field `listen`: not an IP address with a port; allowed: an IP address and a port, such as 127.0.0.1:7101"; "a host name")]
#[test_case("http: 127.0.0.1:8001", "http: 127.0.0.1", ":4:7: field `http`: not an IP address with a port; allowed: an IP address and a port, such as 127.0.0.1:7101"; "no port")]
#[test_case("log: http://", "log: https://", ":5:6: field `log`: not an http URL; allowed: http://, an IP address and a port, such as http://127.0.0.1:7000"; "another scheme")]
#[test_case(":7000", ":7000/a", ":5:6: field `log`: not a URL of an IP address and a port; allowed: http://, an IP address and a port, such as http://127.0.0.1:7000"; "a path")]
#[test_case("[127.0.0.1:7301, '[::1]:7302']", "[]", ":6:8: field `fleet`: empty; allowed: at least one address of a fleet process"; "no fleet process")]
#[test_case("127.0.0.1:7301", "127.0.0.1:0", ":6:9: field `fleet`: port 0 cannot be reached; allowed: an IP address and a port, such as 127.0.0.1:7101"; "port zero")]
#[test_case("[127.0.0.1:7301, '[::1]:7302']", "127.0.0.1:7301", ":6:8: field `fleet`: wrong type of value; allowed: a sequence"; "one address instead of a list")]
#[test_case("ca: Cargo.toml", "ca: absent.pem", ":7:12: field `tls.ca`: no such file: absent.pem; allowed: a file that can be read"; "an absent file")]
#[test_case("ca: Cargo.toml", "cafe: Cargo.toml", ":7:8: field `cafe`: unknown; allowed: ca, cert, key"; "an unknown inner field")]
#[test_case("dc: cardiff", "data: cardiff", ":2:1: field `data`: unknown; allowed: node, dc, listen, http, log, fleet, tls, limits, body_limit"; "an unknown field")]
#[test_case("dc: cardiff", "dc: cardiff\nlimits: { memory: 64 }", ":3:11: field `memory`: unknown; allowed: memory_mb, descriptors"; "an unknown limit")]
#[test_case("dc: cardiff", "hosts: http://127.0.0.1:7001", ":2:1: field `hosts`: unknown; allowed: node, dc, listen, http, log, fleet, tls, limits, body_limit"; "another program's field")]
#[test_case("dc: cardiff\n", "", ":6:1: field `dc`: missing"; "a missing field")]
#[test_case(", key: Cargo.toml", "", ":7:24: field `key`: missing"; "a missing inner field")]
#[test_case("dc: cardiff", "node: cardiff", ":2:1: field `node`: given twice"; "a field twice")]
#[test_case("dc: cardiff", "dc: '", ":6:26: invalid trailing content after single-quoted scalar"; "not YAML")]
#[test_case("dc: cardiff", "dc: { a: b }", ":2:5: field `dc`: wrong type of value; allowed: a string"; "a map instead of a text")]
#[test_case("tls: {", "tls: 5 #", ":7:6: field `tls`: wrong type of value; allowed: a mapping"; "a text instead of a map")]
#[test_case("dc: cardiff", "dc: cardiff\nbody_limit: 0", ":3:13: field `body_limit`: not a valid body size; allowed: 1 to 67108864 bytes"; "a limit of zero")]
#[test_case("dc: cardiff", "dc: cardiff\nbody_limit: 1 MiB", ":3:13: field `body_limit`: not a valid body size; allowed: 1 to 67108864 bytes"; "a limit with a unit")]
fn a_bad_gate_file_is_refused(good: &str, bad: &str, expected: &str) {
    assert!(COMMON.contains(good));
    let file = TempSettings::new(&COMMON.replacen(good, bad, 1));
    let err = GateSettings::open(&file.0).expect_err("an error");
    assert_eq!(file.strip_path(&err.to_string()), expected);
}

#[test_case("hosts: http://127.0.0.1:7001\n", "", ":8:1: field `hosts`: missing"; "no list of hosts")]
#[test_case("[abc]", "[abcd]", ":9:13: field `operators`: not a hash; allowed: a BLAKE3 hash of 64 hexadecimal digits"; "not a hash")]
#[test_case("operators: [abc]", "body_limit: 5", ":9:1: field `body_limit`: unknown; allowed: node, dc, listen, http, log, fleet, tls, limits, hosts, operators"; "a gate's field")]
fn a_bad_fleet_file_is_refused(good: &str, bad: &str, expected: &str) {
    let text = format!("{COMMON}hosts: http://127.0.0.1:7001\noperators: [abc]\n");
    assert!(text.contains(good));
    let file = TempSettings::new(&text.replacen(good, bad, 1));
    let err = FleetSettings::open(&file.0).expect_err("an error");
    assert_eq!(file.strip_path(&err.to_string()), expected);
}
