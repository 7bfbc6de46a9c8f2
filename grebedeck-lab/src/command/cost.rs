//! x
use bpaf::Bpaf;
/// What to run.
#[derive(Clone, Debug, Bpaf)]
pub struct CostOptions {
    /// Print JSON
    pub json: bool,
}
/// x
pub fn run(_options: &CostOptions) -> anyhow::Result<()> {
    Ok(())
}
