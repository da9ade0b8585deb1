//! Fitting lines, and telling straight series of points from curved ones.

use scenarios::fit::Fit;
use test_case::test_case;

#[test_case(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0), (8.0, 19.0)], true; "a line")]
#[test_case(&[(1.0, 1.0), (10.0, 100.0), (20.0, 400.0), (40.0, 1600.0)], false; "a parabola")]
fn tells_lines_from_curves(points: &[(f64, f64)], straight: bool) {
    let fit = Fit::of(points);
    assert_eq!(fit.error < 0.001, straight);
    assert_eq!(
        Fit {
            error: fit.error * 2.0,
            ..fit
        }
        .is_straight(),
        straight
    );
}

#[test]
fn finds_base_and_slope() {
    let fit = Fit::of(&[(0.0, 3.0), (10.0, 23.0), (20.0, 43.0), (30.0, 63.0)]);
    assert!((fit.base - 3.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.at(100.0) - 203.0).abs() < 1e-9);
}
