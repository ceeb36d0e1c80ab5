//! Runs one trial from the start of its fleet to the check of its histories.

use std::io;

use crate::demo::run::Demo;
use crate::demo::run::Outcome;
use crate::trial::Scenario;
use crate::trial::figures::Figures;
use crate::trial::scenarios::Trial;

/// Runs `scenario` on the fleet of `demo`, instead of the demo's planned changes.
///
/// # Errors
///
/// Those of [`Demo::run_with_changes`].
pub async fn run(demo: &mut Demo, scenario: Scenario) -> io::Result<(Outcome, Figures)> {
    let mut figures = Figures::default();
    let outcome = demo
        .run_with_changes(async |demo, operators| {
            let mut trial = Trial::new(demo, operators);
            trial.run_scenario(scenario).await?;
            figures = trial.figures;
            Ok(())
        })
        .await?;
    figures.count_broken_flows(&outcome.check_report);
    Ok((outcome, figures))
}
