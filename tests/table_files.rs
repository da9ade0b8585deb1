//! Operators' CSV files: every invalid row is reported, and arbitrary bytes cause no panic.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use test_case::test_case;

use mimosastep::record::HostRow;
use mimosastep::record::PoolRow;
use mimosastep::record::TeamRow;
use mimosastep::table::FILE_LIMIT;
use mimosastep::table::Row;
use mimosastep::table::parse;

fn problems<R: Row>(text: &[u8]) -> Vec<String> {
    let errors = parse::<R>("f.csv", text).err().unwrap_or_default();
    errors.iter().map(ToString::to_string).collect()
}

fn row_problem<R: Row>(row: &str) -> String {
    problems::<R>(format!("{}\n{row}\n", R::HEADER.join(",")).as_bytes()).join(" | ")
}

#[test_case("a,0,1,no" => "f.csv:2: field `weight`: expected a whole number from 1 to 10000, got \"0\"")]
#[test_case("a,10001,1,no" => "f.csv:2: field `weight`: expected a whole number from 1 to 10000, got \"10001\"")]
#[test_case("a,+1,1,no" => "f.csv:2: field `weight`: expected a whole number from 1 to 10000, got \"+1\"")]
#[test_case("a,1,1000001,no" => "f.csv:2: field `limit`: expected a whole number from 0 to 1000000, got \"1000001\"")]
#[test_case("a,1,-1,no" => "f.csv:2: field `limit`: expected a whole number from 0 to 1000000, got \"-1\"")]
#[test_case("a,1,1,true" => "f.csv:2: field `urgent`: expected `yes` or `no`, got \"true\"")]
#[test_case("a b,1,1,no" => "f.csv:2: field `team`: \"a b\": a name holds only letters, digits, '-', '_' and '.', not ' '")]
#[test_case(",1,1,no" => "f.csv:2: field `team`: \"\": a name must not be empty")]
#[test_case("a,1,1" => "f.csv:2: field `urgent`: is missing")]
#[test_case("a,1,1,no,x" => "f.csv:2: field `5`: 5 fields, but the header has 4")]
#[test_case("a,1,1,no\na,2,2,no" => "f.csv:3: field `team`: duplicate of line 2")]
#[test_case("a,1,1,no\n\n\nb,0,x,no" => "f.csv:5: field `weight`: expected a whole number from 1 to 10000, got \"0\" | f.csv:5: field `limit`: expected a whole number from 0 to 1000000, got \"x\"")]
#[test_case("a,1,0,no\r\nb,10000,1000000,yes" => "")]
fn team_row(row: &str) -> String {
    row_problem::<TeamRow>(row)
}

#[test_case("p,s,yes,a b,2" => "")]
#[test_case("spare,,no,,0" => "")]
#[test_case("p,s t,no,,0" => "f.csv:2: field `service`: \"s t\": a name holds only letters, digits, '-', '_' and '.', not ' '")]
#[test_case("p,s,maybe,,0" => "f.csv:2: field `open`: expected `yes` or `no`, got \"maybe\"")]
#[test_case("p,s,no,a;b,0" => "f.csv:2: field `teams`: \"a;b\": a name holds only letters, digits, '-', '_' and '.', not ';'")]
#[test_case("p,s,no,,many" => "f.csv:2: field `budget`: expected a whole number from 0 to 1000000, got \"many\"")]
fn pool_row(row: &str) -> String {
    row_problem::<PoolRow>(row)
}

#[test_case("h,d,r,10.0.0.1:80,4,p" => "")]
#[test_case("h,d,r,somewhere,4,p" => "f.csv:2: field `addr`: \"somewhere\": invalid socket address syntax")]
#[test_case("h,d,r,10.0.0.1:80,0,p" => "f.csv:2: field `slots`: expected a whole number from 1 to 10000, got \"0\"")]
#[test_case("h,,r,10.0.0.1:80,4,p" => "f.csv:2: field `dc`: \"\": a name must not be empty")]
fn host_row(row: &str) -> String {
    row_problem::<HostRow>(row)
}

#[test_case(b"" => "f.csv:1: field `team`: the first line must be `team,weight,limit,urgent`")]
#[test_case(b"team,limit\n" => "f.csv:1: field `team`: the first line must be `team,weight,limit,urgent`")]
#[test_case(b"team,weight,limit,urgent\n\xff,1,1,no\n" => "f.csv:2: field `team`: is not UTF-8")]
#[test_case(b"\xef\xbb\xbfteam,weight,limit,urgent\na,1,1,no\n" => "")]
fn whole_file(text: &[u8]) -> String {
    problems::<TeamRow>(text).join(" | ")
}

#[test]
fn a_good_table_is_read_as_it_stands() {
    let rows =
        parse::<TeamRow>("f", b"team,weight,limit,urgent\na,3,40,yes\n").expect("a valid table");
    let row = TeamRow {
        team: "a".parse().expect("name"),
        weight: 3,
        limit: 40,
        urgent: true,
    };
    assert_eq!(rows, [row]);
}

#[test]
fn a_file_beyond_the_limit_is_refused() {
    let expected = "f.csv: 1048577 bytes, expected at most 1048576";
    assert_eq!(
        problems::<TeamRow>(&vec![b'\n'; FILE_LIMIT + 1]),
        [expected]
    );
}

#[test]
fn arbitrary_bytes_never_panic() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config {
        cases: 2000,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&vec(any::<u8>(), 0..200), |bytes| {
        let headed = |header: &[&str]| [header.join(",").as_bytes(), b"\n", &bytes].concat();
        drop(parse::<TeamRow>("f", &bytes));
        drop(parse::<TeamRow>("f", &headed(TeamRow::HEADER)));
        drop(parse::<PoolRow>("f", &headed(PoolRow::HEADER)));
        drop(parse::<HostRow>("f", &headed(HostRow::HEADER)));
        Ok(())
    });
    outcome.expect("no panic");
}
