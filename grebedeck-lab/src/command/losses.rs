//! Where worth was lost, by the logs of a bad minute.

use std::path::PathBuf;

use anyhow::{Context, Result};
use bpaf::Bpaf;

use crate::losses::{Limits, LossSummary, find_losses};

/// Which logs to read.
#[derive(Clone, Debug, Bpaf)]
pub struct LossesOptions {
    /// Longest pause between events that is wanted, in milliseconds
    #[bpaf(long("pause-ms"), argument("MS"), fallback(120))]
    pub pause_ms: i64,
    /// Length of the spans that losses are counted in, in milliseconds
    #[bpaf(long("span-ms"), argument("MS"), fallback(2_000))]
    pub span_ms: i64,
    /// Print JSON
    pub json: bool,
    /// Logs of gateways and rank processes
    #[bpaf(positional("LOG"), some("at least one log"))]
    pub logs: Vec<PathBuf>,
}

/// Reads the logs and prints what was lost to which cause.
pub fn run(options: &LossesOptions) -> Result<()> {
    let read =
        |path: &PathBuf| std::fs::read_to_string(path).with_context(|| path.display().to_string());
    let texts: Vec<String> = options.logs.iter().map(read).collect::<Result<_>>()?;
    let found = find_losses(&texts, Limits { pause_ms: options.pause_ms });
    let table = LossSummary::new(&found, options.span_ms);

    if options.json {
        println!("{}", serde_json::to_string(&table)?);
        return Ok(());
    }

    println!("losses: {}", found.len());

    for (cause, count) in &table.by_cause {
        println!("{count:>7}  {}", word(cause)?);
    }

    for (route, count) in &table.by_route {
        println!("{count:>7}  on {route}");
    }

    for (span, causes) in &table.by_span {
        let at_s = (span * table.span_ms) as f64 / 1000.0;
        let parts: Result<Vec<String>> =
            causes.iter().map(|(cause, count)| Ok(format!("{} {count}", word(cause)?))).collect();
        println!("{at_s:>7.1} s  {}", parts?.join(", "));
    }

    Ok(())
}

/// Gets a cause's word as it stands in the JSON.
fn word(cause: &crate::losses::Cause) -> Result<String> {
    Ok(serde_json::to_value(cause)?.as_str().unwrap_or_default().to_string())
}
