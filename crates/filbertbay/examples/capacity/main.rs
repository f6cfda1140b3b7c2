//! Slopes of state, messages and processor time by size.
//!
//! ```text
//! cargo run --release --locked -p filbertbay --example capacity -- [FILE]
//! ```
//!
//! Every figure is measured at four sizes or more on this machine, fitted with a straight line and
//! carried to the size that the fleet is designed for. Nothing here opens a socket.

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
    /// Quantity, with the role that it belongs to.
    name: &'static str,
    /// Unit of the value.
    unit: &'static str,
    /// What the size counts.
    size: &'static str,
    /// Measured pairs of size and value.
    points: Vec<(f64, f64)>,
    /// Line through the points.
    line: Line,
    /// Size that the fleet is designed for.
    design_size: f64,
    /// Value of the line at that size.
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
    let series: Vec<Series> = membership::series()
        .into_iter()
        .chain(configuration::series())
        .chain(decider::series())
        .collect();
    for one in &series {
        println!(
            "{:<34} {:>14.1} {} at {} {} (slope {:.4}, intercept {:.1}, residual {:.1}%)",
            one.name,
            one.at_design_size,
            one.unit,
            one.design_size,
            one.size,
            one.line.slope,
            one.line.intercept,
            one.line.residual * 100.0
        );
    }
    if let Some(path) = env::args_os().nth(1) {
        fs::write(path, serde_json::to_string_pretty(&series)?)?;
    }
    Ok(())
}

/// Builds a state and returns the bytes that it holds.
fn bytes_of<T, F>(build: F) -> f64
where
    F: Fn() -> T,
{
    let mut kept = None;
    let counted = allocation_counter::measure(|| kept = Some(build()));
    drop(kept);
    counted.bytes_current as f64
}
