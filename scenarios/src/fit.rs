//! Least-squares lines through measured points.

use std::fmt;

/// Largest relative error at which points count as lying on a straight line.
const MAX_STRAIGHT_ERROR: f64 = 0.15;

/// The least-squares line through a set of points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value of the line at zero.
    pub base: f64,
    /// Increase of the value per unit.
    pub slope: f64,
    /// Root mean square of the residuals, relative to the largest absolute value.
    pub error: f64,
}

impl Fit {
    /// Fits a line through `points`; it is horizontal if all x values are equal.
    #[must_use]
    pub fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (x_mean, y_mean) = (mean(|p| p.0), mean(|p| p.1));
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - x_mean).powi(2)).sum();
        let sum_xy: f64 = points
            .iter()
            .map(|(x, y)| (x - x_mean) * (y - y_mean))
            .sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let base = y_mean - slope * x_mean;
        let squared_error: f64 = points
            .iter()
            .map(|(x, y)| (y - base - slope * x).powi(2))
            .sum();
        let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let error = if largest > 0.0 {
            (squared_error / count).sqrt() / largest
        } else {
            0.0
        };
        Self { base, slope, error }
    }

    /// Value of the line at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }

    /// Whether the relative error is small enough to call the points a straight line.
    #[must_use]
    pub fn is_straight(&self) -> bool {
        self.error <= MAX_STRAIGHT_ERROR
    }
}

/// A quantity measured as a function of a variable, displayed as a row of a Markdown table.
#[derive(Debug, Clone)]
pub struct Slope {
    /// The measured quantity, with its unit.
    pub quantity: String,
    /// The variable that it depends on, with its unit.
    pub variable: String,
    /// The x value and measured value of each point.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// Header rows of the Markdown table.
    pub const HEAD: &str = "| what | against | points | at 0 | a unit | error | straight |\n|---|---|---|---|---|---|---|";

    /// Measures `value` at each of `sizes`.
    pub fn measure(
        quantity: &str,
        variable: &str,
        sizes: &[u32],
        mut value: impl FnMut(u32) -> f64,
    ) -> Self {
        let points = sizes.iter().map(|&x| (f64::from(x), value(x)));
        Self {
            quantity: quantity.to_owned(),
            variable: variable.to_owned(),
            points: points.collect(),
        }
    }

    /// Fits a line through the points.
    #[must_use]
    pub fn fit(&self) -> Fit {
        Fit::of(&self.points)
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fit = self.fit();
        let points = self.points.iter().map(|(x, y)| format!("{x:.0}: {y:.5}"));
        let points: Vec<String> = points.map(|point| format_point(&point)).collect();
        write!(
            f,
            "| {} | {} | {} | {} | {} | {:.1} % | {} |",
            self.quantity,
            self.variable,
            points.join("; "),
            format_value(fit.base),
            format_value(fit.slope),
            fit.error * 100.0,
            if fit.is_straight() { "yes" } else { "no" },
        )
    }
}

/// Rounds the value of an `x: y` point to about three significant digits.
fn format_point(point: &str) -> String {
    let Some((x, y)) = point.split_once(": ") else {
        return point.to_owned();
    };
    format!("{x}: {}", format_value(y.parse().unwrap_or_default()))
}

/// Formats `value` with about three significant digits.
#[must_use]
pub fn format_value(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        size if size >= 0.01 => format!("{value:.4}"),
        _ => format!("{value:.6}"),
    }
}
