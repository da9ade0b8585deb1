//! Host moves and drains within the budget of the pool.

use mimosastep::record::Change;
use mimosastep::record::Rejection;
use test_case::test_case;

use crate::support::apply_change;
use crate::support::mark_dc_out;
use crate::support::mark_host_out;
use crate::support::move_host;
use crate::support::name;
use crate::support::populated_state;

#[test_case("q", "r")]
#[test_case("r", "q")]
fn of_two_planners_that_move_a_host_the_first_wins(first: &str, second: &str) {
    let mut state = populated_state();
    apply_change(&mut state, Change::Drain(name("h0"))).unwrap();
    apply_change(&mut state, move_host("p", first)).unwrap();
    let lost = apply_change(&mut state, move_host("p", second));
    assert_eq!(lost, Err(Rejection::WrongPool(name("h0"), name(first))));
    assert_eq!(state.hosts["h0"].pool, name(first));
    assert!(state.hosts["h0"].draining, "a move does not end the drain");
}

#[test_case("p", "q", Rejection::NotDraining(name("h0")); "not drained")]
#[test_case("p", "z", Rejection::UnknownPool(name("z")); "to no pool")]
#[test_case("q", "r", Rejection::WrongPool(name("h0"), name("p")); "from another pool")]
fn a_move_is_rejected(from: &str, to: &str, expected: Rejection) {
    let mut state = populated_state();
    assert_eq!(apply_change(&mut state, move_host(from, to)), Err(expected));
}

#[test_case(&[], true; "none out")]
#[test_case(&[Change::Drain(name("h1"))], true; "one draining")]
#[test_case(&[Change::Drain(name("h1")), Change::Drain(name("h2"))], false; "two draining")]
#[test_case(&[Change::Drain(name("h1")), mark_host_out("h2")], false; "one draining, one lost")]
#[test_case(&[mark_host_out("h1"), mark_host_out("h2")], false; "two lost")]
#[test_case(&[mark_dc_out("b")], false; "a data centre with two")]
fn drains_keep_to_the_budget_losses_included(before: &[Change], is_accepted: bool) {
    let mut state = populated_state();
    for change in before {
        apply_change(&mut state, change.clone()).unwrap();
    }
    let drained = apply_change(&mut state, Change::Drain(name("h0")));
    let refused = Rejection::BudgetExceeded(name("p"), 2);
    assert_eq!(drained.err(), (!is_accepted).then_some(refused));
    assert_eq!(state.hosts["h0"].draining, is_accepted);
}
