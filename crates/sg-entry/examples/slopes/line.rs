//! A straight line through measured points.

/// One measured point.
#[derive(Debug, Clone, Copy)]
pub struct Point {
    /// The size that it was measured at.
    pub size: f64,
    /// What was measured.
    pub value: f64,
}

/// Prints each point, the least-squares line through them, and how far off it each one is.
pub fn print(what: &str, unit: &str, points: &[Point]) {
    let count = points.len() as f64;
    let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (size, value) = (mean(|point| point.size), mean(|point| point.value));
    let over: f64 = points
        .iter()
        .map(|point| (point.size - size) * (point.value - value))
        .sum();
    let under: f64 = points.iter().map(|point| (point.size - size).powi(2)).sum();
    let slope = over / under;
    let start = value - slope * size;
    println!("{what}:");
    for point in points {
        let residual = point.value - (start + slope * point.size);
        println!(
            "  {:>7} {:>12.3} {unit}, residual {residual:+.3}",
            point.size, point.value
        );
    }
    println!("  line: {start:.3} + {slope:.6} each");
}
