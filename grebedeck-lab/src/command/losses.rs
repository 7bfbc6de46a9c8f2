//! The `losses` command: counts late, refused and failed requests by cause, from process logs.

use std::path::PathBuf;

use anyhow::{Context, Result};
use bpaf::Bpaf;

use crate::losses::{Limits, LossSummary, find_losses};

/// Options of the `losses` command.
#[derive(Clone, Debug, Bpaf)]
pub struct LossesOptions {
    /// Longest acceptable pause between the events of a stream, in milliseconds
    #[bpaf(long("pause-ms"), argument("MS"), fallback(120))]
    pub pause_ms: i64,
    /// Length of the time spans by which losses are counted, in milliseconds
    #[bpaf(long("span-ms"), argument("MS"), fallback(2_000))]
    pub span_ms: i64,
    /// Print JSON
    pub json: bool,
    /// Logs of gateways and rank processes
    #[bpaf(positional("LOG"), some("at least one log"))]
    pub logs: Vec<PathBuf>,
}

/// Reads the logs and prints the number of losses by cause, by route and by time span.
pub fn run(options: &LossesOptions) -> Result<()> {
    let read =
        |path: &PathBuf| std::fs::read_to_string(path).with_context(|| path.display().to_string());
    let texts: Vec<String> = options.logs.iter().map(read).collect::<Result<_>>()?;
    let found_losses = find_losses(&texts, Limits { pause_ms: options.pause_ms });
    let table = LossSummary::new(&found_losses, options.span_ms);

    if options.json {
        println!("{}", serde_json::to_string(&table)?);
        return Ok(());
    }

    println!("losses: {}", found_losses.len());

    for (cause, count) in &table.by_cause {
        println!("{count:>7}  {}", cause_name(cause)?);
    }

    for (route, count) in &table.by_route {
        println!("{count:>7}  on {route}");
    }

    for (span, causes) in &table.by_span {
        let at_s = (span * table.span_ms) as f64 / 1000.0;
        let parts: Result<Vec<String>> = causes
            .iter()
            .map(|(cause, count)| Ok(format!("{} {count}", cause_name(cause)?)))
            .collect();
        println!("{at_s:>7.1} s  {}", parts?.join(", "));
    }

    Ok(())
}

/// Returns the name of a cause as in the JSON output.
fn cause_name(cause: &crate::losses::Cause) -> Result<String> {
    Ok(serde_json::to_value(cause)?.as_str().unwrap_or_default().to_string())
}
