//! Finding a place for a request on one of its service's targets.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use grebedeck_core::Moment;
use grebedeck_gateway::{TargetEntry, TargetId};

use super::options::PATIENCE_PART;
use super::request::RoutedRequest;
use super::service::Gateway;
use crate::random::ProcessRandom;

/// Why there is no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPlace {
    /// No target of the service is known that takes work.
    NoTargets,
    /// All targets have as many requests as they should.
    Full,
}

/// Waits for a place for a short while, as a refusal is of use only while the caller has time left.
pub async fn find(
    gateway: &Rc<Gateway>,
    request: &RoutedRequest,
    tried: &[TargetId],
) -> Result<Arc<TargetEntry>, NoPlace> {
    let patience = request.admitted.rule.objective.mul_f64(PATIENCE_PART);
    let give_up = (request.request.arrived + patience).min(request.deadline);

    loop {
        // Listening begins before the look, so that no place is missed between them.
        let freed = gateway.freed.listen();
        let now = gateway.now();

        match choose(gateway, request, tried, now) {
            Ok(target) => return Ok(target),
            Err(reason) if now >= give_up => return Err(reason),
            Err(_) => {}
        }

        let wait = give_up.saturating_sub(now).max(Duration::from_millis(1));
        let _ = timeout(wait, freed).await;
    }
}

fn choose(
    gateway: &Gateway,
    request: &RoutedRequest,
    tried: &[TargetId],
    now: Moment,
) -> Result<Arc<TargetEntry>, NoPlace> {
    let serving = gateway.serving(&request.service).ok_or(NoPlace::NoTargets)?;
    let per_place = requests_per_place(gateway, &request.service);
    let chooser = gateway.chooser.borrow();
    let has_room = |t: &&Arc<TargetEntry>| chooser.has_room(&t.id, per_place, now);
    let with_room: Vec<Arc<TargetEntry>> = serving.iter().filter(has_room).cloned().collect();

    let chosen = chooser.choose(&with_room, tried, now, &mut ProcessRandom::default());
    chosen.cloned().ok_or(NoPlace::Full)
}

fn requests_per_place(gateway: &Gateway, service: &str) -> f64 {
    let load = &gateway.settings.load;
    let is_model = gateway.table().service(service).is_some_and(|s| s.engine.is_some());

    if is_model { load.model } else { load.plain }
}
