//! The `switch` command: checks the switch protocol in long random runs.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Instant;

use anyhow::{Result, bail};
use bpaf::Bpaf;
use grebedeck_core::random::SeededSource;
use serde_json::json;

use crate::switch_model::{Bounds, ProtocolFault, random_run};

/// Options of the `switch` command.
#[derive(Clone, Debug, Bpaf)]
pub struct SwitchOptions {
    /// Number of runs
    #[bpaf(long, argument("N"), fallback(10_000))]
    pub runs: u64,
    /// Number of actions of each run
    #[bpaf(long, argument("N"), fallback(600))]
    pub actions: usize,
    /// Number of members of the group
    #[bpaf(long, argument("N"), fallback(3))]
    pub members: usize,
    /// Maximum number of members replaced in a run
    #[bpaf(long, argument("N"), fallback(4))]
    pub replacements: u32,
    /// Seed of the first run
    #[bpaf(long, argument("SEED"), fallback(1))]
    pub seed: u64,
    /// Fault to inject into the protocol: none, commit, join or hold
    #[bpaf(long("break"), argument("WHAT"), fallback("none".to_string()))]
    pub broken: String,
    /// Print JSON
    pub json: bool,
}

/// Makes the runs and prints a summary.
///
/// A violation is an error unless a fault was injected.
pub fn run(options: &SwitchOptions) -> Result<()> {
    let bounds = Bounds {
        members: options.members,
        steps: 60,
        replacements: options.replacements,
        proposals: 12,
        start_arming: false,
        fault: parse_fault(&options.broken)?,
    };
    let start = Instant::now();
    let (mut commits, mut violations, mut first_seed) = (0, 0, None);

    for seed in options.seed..options.seed + options.runs {
        let mut random = SeededSource::new(seed);
        let run = || random_run(bounds, options.actions, &mut random);

        match catch_unwind(AssertUnwindSafe(run)) {
            Ok(Ok(seen)) => commits += seen.commits,
            _ => {
                violations += 1;
                first_seed.get_or_insert(seed);
            }
        }
    }

    let report = json!({
        "runs": options.runs,
        "actions": options.actions,
        "members": options.members,
        "commits": commits,
        "violations": violations,
        "first_seed_with_one": first_seed,
        "seconds": start.elapsed().as_secs_f64(),
    });
    println!("{report}");

    if bounds.fault == ProtocolFault::None && violations > 0 {
        bail!("the switch protocol failed in {violations} runs");
    }

    Ok(())
}

fn parse_fault(text: &str) -> Result<ProtocolFault> {
    match text {
        "none" => Ok(ProtocolFault::None),
        "commit" => Ok(ProtocolFault::CommitWithoutAll),
        "join" => Ok(ProtocolFault::NoJoin),
        "hold" => Ok(ProtocolFault::NoHold),
        other => bail!("break: `{other}`: one of none, commit, join, hold"),
    }
}
