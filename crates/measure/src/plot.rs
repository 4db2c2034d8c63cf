//! Draws measured series as SVG files.

use std::path::Path;

use plotters::prelude::*;

use crate::bench::Result;

/// Points that were measured along one axis.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name of the axis in the legend.
    pub name: String,
    /// Pairs of the share of the axis' target and the value.
    pub points: Vec<(f64, f64)>,
}

/// Width and height of the image in pixels.
const IMAGE_SIZE: (u32, u32) = (820, 480);

/// Draws the series of a figure over the share of each axis' target.
///
/// # Errors
///
/// If the file cannot be written.
pub fn draw(path: &Path, figure: &str, series: &[Series]) -> Result<()> {
    let points = series.iter().flat_map(|line| &line.points);
    let (right, top) =
        points.fold((1.0_f64, 0.0_f64), |(x, y), point| (x.max(point.0), y.max(point.1)));
    let root = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..right * 1.05, 0.0..top * 1.1)?;
    chart.configure_mesh().x_desc("share of the target size, one region").y_desc(figure).draw()?;
    for (index, line) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color.stroke_width(2)))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
        chart
            .draw_series(line.points.iter().map(|point| Circle::new(*point, 3, color.filled())))?;
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
