//! What state, messages and decisions cost, as slopes.

use std::path::PathBuf;

use anyhow::{Context, Result};
use bpaf::Bpaf;

use crate::cost::{page, plot, probes};

/// What to do with the figures.
#[derive(Clone, Debug, Bpaf)]
pub struct CostOptions {
    /// Print JSON
    pub json: bool,
    /// Write the table into this page, between its markers, and a plot of each slope beside it
    #[bpaf(long, argument("FILE"))]
    pub page: Option<PathBuf>,
}

/// Measures all slopes and prints or writes them.
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
