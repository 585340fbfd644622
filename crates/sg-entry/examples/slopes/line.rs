//! Least-squares line through measured points.

/// A measured point.
#[derive(Debug, Clone, Copy)]
pub struct Point {
    /// Size at which the value was measured.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// Prints each point with its residual, and the least-squares line through the points.
pub fn print(what: &str, unit: &str, points: &[Point]) {
    let count = points.len() as f64;
    let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (size, value) = (mean(|point| point.size), mean(|point| point.value));
    let covariance_sum: f64 = points
        .iter()
        .map(|point| (point.size - size) * (point.value - value))
        .sum();
    let variance_sum: f64 = points.iter().map(|point| (point.size - size).powi(2)).sum();
    let slope = covariance_sum / variance_sum;
    let intercept = value - slope * size;
    println!("{what}:");
    for point in points {
        let residual = point.value - (intercept + slope * point.size);
        println!(
            "  {:>7} {:>12.3} {unit}, residual {residual:+.3}",
            point.size, point.value
        );
    }
    println!("  line: {intercept:.3} + {slope:.6} each");
}
