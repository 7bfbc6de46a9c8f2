//! The `cost` command: measures how the cost of state, messages and decisions grows with size.

use std::path::PathBuf;

use anyhow::{Context, Result};
use bpaf::Bpaf;

use crate::cost::{page, plot, probes};

/// Options of the `cost` command.
#[derive(Clone, Debug, Bpaf)]
pub struct CostOptions {
    /// Print JSON
    pub json: bool,
    /// Write the table between the markers of this page, and a plot of each slope into the
    /// directory that has the page's name without its extension
    #[bpaf(long, argument("FILE"))]
    pub page: Option<PathBuf>,
}

/// Runs all probes, prints the slopes and, if a page is given, writes the table and plots.
pub fn run(options: &CostOptions) -> Result<()> {
    let slopes: Vec<_> = probes::ALL.iter().map(|probe| probe.measure()).collect();

    if options.json {
        println!("{}", serde_json::to_string_pretty(&slopes)?);
    } else {
        println!("{}", page::table(&slopes));
    }

    if let Some(file) = &options.page {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        std::fs::write(file, page::replace(&text, &page::table(&slopes))?)?;
        plot::write(&slopes, &file.with_extension(""))?;
    }

    Ok(())
}
