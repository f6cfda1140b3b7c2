//! Measures how state, messages and processor time grow with the size of a deployment.
//!
//! ```text
//! cargo run --release --locked -p filbertbay --example capacity -- [FILE]
//! ```
//!
//! Each quantity is measured at four or more sizes on this machine, fitted with a straight line and
//! extrapolated to the design size. The program opens no sockets. It writes the results to FILE as
//! JSON if one is given.

mod configuration;
mod decider;
mod fit;
mod membership;

use std::env;
use std::error::Error;
use std::fs;

use serde::Serialize;

use self::fit::Line;

/// One quantity at several sizes.
#[derive(Clone, Debug, Serialize)]
struct Series {
    /// Name of the quantity, prefixed with its component.
    name: &'static str,
    /// Unit of the value.
    unit: &'static str,
    /// Unit of the size, such as instances or groups.
    size: &'static str,
    /// Measured pairs of size and value.
    points: Vec<(f64, f64)>,
    /// Least-squares line through the points.
    line: Line,
    /// Size for which the deployment is designed.
    design_size: f64,
    /// Value of the line at the design size.
    at_design_size: f64,
}

impl Series {
    /// Measures a quantity at several sizes.
    fn measure<F>(
        name: &'static str,
        unit: &'static str,
        size: &'static str,
        sizes: &[usize],
        design_size: usize,
        mut value: F,
    ) -> Self
    where
        F: FnMut(usize) -> f64,
    {
        let points: Vec<(f64, f64)> = sizes
            .iter()
            .map(|&size| (size as f64, value(size)))
            .collect();
        let line = Line::fit(&points);
        let design_size = design_size as f64;
        let at_design_size = line.at(design_size);
        Self {
            name,
            unit,
            size,
            points,
            line,
            design_size,
            at_design_size,
        }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let all_series: Vec<Series> = membership::series()
        .into_iter()
        .chain(configuration::series())
        .chain(decider::series())
        .collect();
    for series in &all_series {
        println!(
            "{:<34} {:>14.1} {} at {} {} (slope {:.4}, intercept {:.1}, residual {:.1}%)",
            series.name,
            series.at_design_size,
            series.unit,
            series.design_size,
            series.size,
            series.line.slope,
            series.line.intercept,
            series.line.residual * 100.0
        );
    }
    if let Some(path) = env::args_os().nth(1) {
        fs::write(path, serde_json::to_string_pretty(&all_series)?)?;
    }
    Ok(())
}

/// Returns the heap bytes that the value returned by `build` occupies.
fn bytes_of<T, F>(build: F) -> f64
where
    F: Fn() -> T,
{
    let mut value = None;
    let counts = allocation_counter::measure(|| value = Some(build()));
    drop(value);
    counts.bytes_current as f64
}
