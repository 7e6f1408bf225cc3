//! Draws curves as SVG.

use std::path::Path;

use burdockslip_types::{ErrorKind, Result};
use error_stack::ResultExt;
use plotters::prelude::{ChartBuilder, IntoDrawingArea, LineSeries, SVGBackend};
use plotters::style::{BLUE, WHITE};

use crate::experiment::Curve;

/// The size of a plot, in pixels.
const SIZE: (u32, u32) = (800, 500);

/// Writes a plot of `curve` to the file at `path`.
///
/// # Errors
///
/// Returns `Internal` if the file cannot be written.
pub fn draw(curve: &Curve, path: &Path) -> Result<()> {
    let (right, top) = curve
        .points
        .iter()
        .fold((0.0_f64, 0.0_f64), |(x, y), point| {
            (x.max(point.0), y.max(point.1))
        });
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).change_context(ErrorKind::Internal)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(0.0..right, 0.0..top * 1.1)
        .change_context(ErrorKind::Internal)?;
    chart
        .configure_mesh()
        .x_desc(curve.across)
        .y_desc(curve.upward)
        .draw()
        .change_context(ErrorKind::Internal)?;
    chart
        .draw_series(LineSeries::new(curve.points.iter().copied(), &BLUE))
        .change_context(ErrorKind::Internal)?;
    area.present().change_context(ErrorKind::Internal)
}
