//! The table of slopes in docs/CAPACITY.md.

use anyhow::{Result, bail};

use super::fit::Slope;

/// Marker before the generated table.
pub const BEGIN_MARKER: &str = "<!-- slopes: written by grebedeck-lab cost -->";
/// Marker after the generated table.
pub const END_MARKER: &str = "<!-- end of slopes -->";
/// Header row of the table.
pub const TABLE_HEADER: &str =
    "| cost | unit | for each | slope | intercept | spread | size | at size |";

/// Formats the slopes as a Markdown table.
pub fn table(slopes: &[Slope]) -> String {
    let mut text = format!("{TABLE_HEADER}\n|---|---|---|---|---|---|---|---|\n");

    for s in slopes {
        text.push_str(&format!(
            "| {} | {} | {} | {} | {} | {:.0}% | {} | {} |\n",
            s.name,
            s.unit,
            s.per,
            format_figure(s.slope),
            format_figure(s.intercept),
            s.spread * 100.0,
            s.size,
            format_figure(s.at_size),
        ));
    }

    text
}

/// Replaces the table between the markers of a page; fails if a marker is missing.
pub fn replace(page: &str, table: &str) -> Result<String> {
    let (Some(begin), Some(end)) = (page.find(BEGIN_MARKER), page.find(END_MARKER)) else {
        bail!("the page has no markers for the table");
    };

    Ok(format!("{}\n\n{table}\n{}", &page[..begin + BEGIN_MARKER.len()], &page[end..]))
}

/// Formats a value with three significant figures.
fn format_figure(value: f64) -> String {
    // The value is rounded first: otherwise 9.9999 would be written with one figure more than 10.
    let rounded: f64 = format!("{value:.2e}").parse().unwrap_or(value);

    if rounded == 0.0 {
        return "0".to_string();
    }

    let digits = (2 - rounded.abs().log10().floor() as i32).clamp(0, 9) as usize;
    format!("{rounded:.digits$}")
}
