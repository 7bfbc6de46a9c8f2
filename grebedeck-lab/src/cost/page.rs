//! The table of slopes in docs/CAPACITY.md.

use anyhow::{Result, bail};

use super::fit::Slope;

/// Marks the start of what the command writes.
pub const BEGIN: &str = "<!-- slopes: written by grebedeck-lab cost -->";
/// Marks the end of what the command writes.
pub const END: &str = "<!-- end of slopes -->";
/// The table's head.
pub const HEAD: &str = "| cost | unit | for each | slope | intercept | spread | size | at size |";

/// Writes the table.
pub fn table(slopes: &[Slope]) -> String {
    let mut text = format!("{HEAD}\n|---|---|---|---|---|---|---|---|\n");

    for s in slopes {
        text.push_str(&format!(
            "| {} | {} | {} | {} | {} | {:.0}% | {} | {} |\n",
            s.name,
            s.unit,
            s.per,
            figure(s.slope),
            figure(s.intercept),
            s.spread * 100.0,
            s.size,
            figure(s.at_size),
        ));
    }

    text
}

/// Puts a table in the place of the page's present one.
pub fn replace(page: &str, table: &str) -> Result<String> {
    let (Some(begin), Some(end)) = (page.find(BEGIN), page.find(END)) else {
        bail!("the page has no markers for the table");
    };

    Ok(format!("{}\n\n{table}\n{}", &page[..begin + BEGIN.len()], &page[end..]))
}

/// Three significant figures.
fn figure(value: f64) -> String {
    // Rounding comes first, or 9.9999 would get a figure more than 10.
    let rounded: f64 = format!("{value:.2e}").parse().unwrap_or(value);

    if rounded == 0.0 {
        return "0".to_string();
    }

    let digits = (2 - rounded.abs().log10().floor() as i32).clamp(0, 9) as usize;
    format!("{rounded:.digits$}")
}
