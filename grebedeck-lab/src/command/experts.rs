//! x
use bpaf::Bpaf;
/// What to run.
#[derive(Clone, Debug, Bpaf)]
pub struct ExpertsOptions {
    /// Print JSON
    pub json: bool,
}
/// x
pub fn run(_options: &ExpertsOptions) -> anyhow::Result<()> {
    Ok(())
}
