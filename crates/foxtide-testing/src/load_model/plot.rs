//! Worth and load over time, as a picture.

use super::outcome::LoadOutcome;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

const SIZE_PX: (u32, u32) = (900, 520);
const WINDOW_S: f64 = 2.0;

/// Draws the worth of the windows (left) and the requests at upstreams (right) of
/// several plays into an SVG file.
///
/// # Errors
///
/// Fails where the file cannot be written.
pub fn plot(path: &Path, plays: &[(&str, &LoadOutcome)]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let windows = plays.iter().map(|(_, play)| play.windows.len()).max();
    let length_s = windows.unwrap_or(0) as f64 * WINDOW_S;
    let of_all = |play: &&LoadOutcome| play.windows.iter().map(|window| window.in_flight_max).max();
    let load_max = plays.iter().filter_map(|(_, play)| of_all(play)).max();
    let load_max = load_max.unwrap_or(1) as f64 * 1.1;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "worth (solid), requests at upstreams (thin)",
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .right_y_label_area_size(45)
        .build_cartesian_2d(0.0..length_s, 0.0..1.0)?
        .set_secondary_coord(0.0..length_s, 0.0..load_max);
    chart.configure_mesh().x_desc("seconds").draw()?;
    chart.configure_secondary_axes().draw()?;
    for (number, (name, play)) in plays.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let at = |number: usize| (number as f64 + 0.5) * WINDOW_S;
        let windows = || play.windows.iter().enumerate();
        let worth = windows().map(|(number, window)| (at(number), window.mean_worth()));
        chart
            .draw_series(LineSeries::new(worth, colour.stroke_width(3)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(3)));
        let load = windows().map(|(number, window)| (at(number), window.in_flight_max as f64));
        chart.draw_secondary_series(LineSeries::new(load, colour.stroke_width(1)))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
