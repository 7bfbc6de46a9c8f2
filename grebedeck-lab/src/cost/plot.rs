//! SVG plots of the slopes.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use super::fit::Slope;

const SIZE_PX: (u32, u32) = (480, 300);

/// Writes a plot of each slope into a directory, which is created if needed.
pub fn write(slopes: &[Slope], dir: &Path) -> Result<()> {
    std::fs::create_dir_all(dir)?;

    for slope in slopes {
        let file = dir.join(format!("{}.svg", slope.name.replace([' ', ','], "-")));
        draw(slope, &file).map_err(|e| anyhow!("{}: {e}", file.display()))?;
    }

    Ok(())
}

fn draw(slope: &Slope, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;

    let x_max = slope.points.iter().map(|p| p.0).fold(0.0, f64::max) * 1.05;
    let y_max = slope.points.iter().map(|p| p.1).fold(0.0, f64::max) * 1.1;
    let line = |x: f64| (x, slope.intercept + slope.slope * x);
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{} ({})", slope.name, slope.unit), ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;

    chart.configure_mesh().x_desc(slope.per).y_desc(slope.unit).draw()?;
    chart.draw_series(LineSeries::new([line(0.0), line(x_max)], &BLUE))?;
    chart.draw_series(slope.points.iter().map(|p| Circle::new(*p, 3, RED.filled())))?;
    root.present()?;
    Ok(())
}
