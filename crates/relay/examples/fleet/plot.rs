//! Plots bytes per VM and second over the size of the fleet, one line per mechanism.

use std::error::Error;
use std::path::Path;

use plotters::prelude::BLACK;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoLogRange;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use crate::measure::Figures;

/// Width and height in pixels.
const PIXELS: (u32, u32) = (900, 560);

/// Writes the plot.
///
/// # Errors
///
/// Fails if the file can't be written.
#[expect(clippy::cast_precision_loss, reason = "a fleet has some hundred VMs")]
pub fn draw(figures: &[Figures], path: &Path) -> Result<(), Box<dyn Error>> {
    let (Some(first), Some(last)) = (figures.first(), figures.last()) else {
        return Ok(());
    };
    let area = SVGBackend::new(path, PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let most = figures.iter().map(|row| row.mean_bytes).fold(1.0, f64::max);
    let across = (first.vms as f64)..(last.vms as f64 + 1.0);
    let mut chart = ChartBuilder::on(&area)
        .caption("bytes per VM and second, by mechanism", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(72)
        .build_cartesian_2d(across.log_scale(), (1.0..most * 1.2).log_scale())?;
    chart.configure_mesh().x_desc("VMs").y_desc("B/s").draw()?;
    for at in 0..first.mechanisms.len() {
        let color = Palette99::pick(at).mix(1.0);
        let points = figures
            .iter()
            .map(|row| (row.vms as f64, row.mechanisms[at].2));
        let points = points.filter(|(_, bytes)| *bytes >= 1.0);
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(first.mechanisms[at].0)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
