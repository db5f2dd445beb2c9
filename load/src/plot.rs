//! SVG plots of measured slopes, with the target marked.

use std::path::Path;

use plotters::prelude::*;

use crate::slopes::MeasuredSlope;

const SIZE: (u32, u32) = (720, 420);
/// Factor by which the axes exceed the largest size and value.
const HEADROOM: f64 = 1.1;

/// Draws the points, the fitted line up to the target, and the target, into `<directory>/<name>.svg`.
///
/// # Errors
///
/// The file cannot be written; the error is a message with its path.
pub(crate) fn draw(directory: &Path, slope: &MeasuredSlope) -> Result<(), String> {
    std::fs::create_dir_all(directory).map_err(|error| error.to_string())?;
    let path = directory.join(format!("{}.svg", slope.name));
    draw_into(&path, slope).map_err(|error| format!("{}: {error}", path.display()))
}

fn draw_into(path: &Path, slope: &MeasuredSlope) -> Result<(), Box<dyn std::error::Error>> {
    let measured = slope.points.iter().map(|point| point.size).fold(0.0, f64::max);
    let right = slope.target.max(measured) * HEADROOM;
    let highest = slope.points.iter().map(|point| point.value).fold(0.0, f64::max);
    let top = highest.max(slope.projected).max(f64::MIN_POSITIVE) * HEADROOM;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(&slope.name, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(&slope.size_unit).y_desc(&slope.value_unit).draw()?;
    let ends = [0.0, right].map(|size| (size, slope.fit.at(size)));
    chart.draw_series(LineSeries::new(ends, &BLUE))?;
    let points = slope.points.iter().map(|point| (point.size, point.value));
    chart.draw_series(points.map(|point| Circle::new(point, 4, BLACK.filled())))?;
    let target = [(slope.target, 0.0), (slope.target, top)];
    chart.draw_series(LineSeries::new(target, &RED))?;
    let mark = (slope.target, slope.projected);
    chart.draw_series([Circle::new(mark, 5, RED.filled())])?;
    root.present()?;
    Ok(())
}
