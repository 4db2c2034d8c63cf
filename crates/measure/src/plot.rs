//! Slopes as SVG.

use std::path::Path;

use plotters::prelude::*;

use crate::bench::Result;

/// Points of one axis.
#[derive(Debug, Clone)]
pub struct Series {
    /// What the axis is.
    pub name: String,
    /// Share of the target, and value.
    pub points: Vec<(f64, f64)>,
}

const SIZE: (u32, u32) = (820, 480);

/// Draws series over the share of their axis' target.
///
/// # Errors
///
/// Where the file cannot be written.
pub fn draw(path: &Path, figure: &str, series: &[Series]) -> Result<()> {
    let points = series.iter().flat_map(|one| &one.points);
    let (right, top) =
        points.fold((1.0_f64, 0.0_f64), |(x, y), point| (x.max(point.0), y.max(point.1)));
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..right * 1.05, 0.0..top * 1.1)?;
    chart.configure_mesh().x_desc("share of the target size, one region").y_desc(figure).draw()?;
    for (index, one) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(one.points.iter().copied(), color.stroke_width(2)))?
            .label(&one.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
        chart.draw_series(one.points.iter().map(|point| Circle::new(*point, 3, color.filled())))?;
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
