//! Output of measured figures.

use lynxmast_testing::load;

/// Prints a figure as a line `name value unit`.
pub fn figure(name: &str, value: f64, unit: &str) {
    println!("{name} {value:.3} {unit}");
}

/// Prints the latencies of a load run and the percentage of each outcome.
pub fn load_stats(name: &str, stats: &load::LoadStats) {
    figure(&format!("{name}.p50"), stats.quantile_ms(0.5), "ms");
    figure(&format!("{name}.p99"), stats.quantile_ms(0.99), "ms");
    for (outcome, &count) in &stats.outcomes {
        figure(&format!("{name}.{outcome}"), count as f64 / stats.sent as f64 * 100.0, "percent");
    }
    figure(&format!("{name}.wrong"), stats.mismatched as f64, "answers");
    figure(&format!("{name}.sent"), stats.sent as f64, "requests");
}
