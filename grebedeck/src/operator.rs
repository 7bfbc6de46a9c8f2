//! The operators' port: configuration, dump, metrics.

use std::sync::Arc;

use async_std::net::TcpListener;
use futures::StreamExt;
use grebedeck_config::{AcceptResult, Change, Document};
use grebedeck_core::{InstanceName, Revision};
use grebedeck_kernel::{Kernel, Metrics};
use grebedeck_net::http::{ServerOptions, serve_http};
use grebedeck_net::platform::HttpTable;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tide::{Body, Request, Response, StatusCode};

use crate::config::ConfigService;
use crate::config::spread::Members;
use crate::config::store::ConfigStore;
use crate::directory::Directory;
use crate::message::{Control, ControlAnswer};

/// Processes that are asked for their revision at the same time.
const ASKED_AT_ONCE: usize = 32;
/// Most entries of the history in one answer.
const HISTORY_COUNT: u64 = 50;

/// What the operators' port works with.
#[derive(Clone)]
pub struct OperatorApi {
    /// The process's services.
    pub kernel: Kernel,
    /// The process's metrics.
    pub metrics: Metrics,
    /// The configuration's store, in a process that takes changes.
    pub store: Option<ConfigStore<HttpTable>>,
    /// The configuration in force.
    pub config: Arc<ConfigService>,
    /// The instances that the platform lists.
    pub members: Arc<Members>,
    /// Links to peers.
    pub directory: Arc<Directory>,
}

/// The configuration as an operator gets it.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConfigView {
    /// The revision in force in the process that was asked.
    pub revision: Revision,
    /// The document.
    pub document: Document,
}

/// Which processes have a revision in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct InForce {
    /// The revision asked about.
    pub revision: Revision,
    /// Processes that have it.
    pub confirmed: usize,
    /// Processes that have not.
    pub missing: Vec<InstanceName>,
}

/// Serves the operators' port until the task is dropped.
pub async fn serve_operator(listener: TcpListener, operator: OperatorApi) {
    let app = app(operator);
    let respond = move |request: http_types::Request, _| {
        let app = app.clone();

        async move {
            let answer: http_types::Result<http_types::Response> = app.respond(request).await;
            answer.unwrap_or_else(|_| http_types::Response::new(500))
        }
    };

    serve_http(listener, ServerOptions::default(), respond, || ()).await;
}

fn app(operator: OperatorApi) -> tide::Server<OperatorApi> {
    let mut app = tide::with_state(operator);

    app.at("/health").get(health);
    app.at("/dump").get(|request: Request<OperatorApi>| async move {
        Body::from_json(&request.state().kernel.dump())
    });
    app.at("/metrics")
        .get(|request: Request<OperatorApi>| async move { Ok(request.state().metrics.text()) });
    app.at("/config").get(get_config);
    app.at("/config/changes").post(post_change);
    app.at("/config/history").get(get_history);
    app.at("/config/in-force").get(get_in_force);

    app
}

/// Tells the platform's balancer whether the process takes requests.
async fn health(request: Request<OperatorApi>) -> tide::Result {
    let operator = request.state();
    let stopping = operator.kernel.dump()["entry"]["stopping"].as_bool().unwrap_or(false);
    let ready = operator.config.revision() > 0 && !stopping;
    let status = if ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable };

    let mut response = Response::new(status);
    response.set_body(json!({ "ready": ready, "revision": operator.config.revision() }));
    Ok(response)
}

async fn get_config(request: Request<OperatorApi>) -> tide::Result<Body> {
    let snapshot = request.state().config.with_replica(|r| r.snapshot());

    Body::from_json(&ConfigView { revision: snapshot.revision, document: snapshot.document })
}

#[derive(Deserialize)]
struct ChangeQuery {
    #[serde(default)]
    dry_run: bool,
}

async fn post_change(mut request: Request<OperatorApi>) -> tide::Result {
    let query: ChangeQuery = request.query()?;
    let text = request.body_bytes().await?;

    let change: Change = match serde_json::from_slice(&text) {
        Ok(change) => change,
        Err(error) => {
            let place = format!("line {}, column {}", error.line(), error.column());
            let mut faults = grebedeck_core::Faults::default();
            faults.add(place, "", error.to_string());
            return answer_change(&AcceptResult::Refused(faults));
        }
    };

    let operator = request.state();

    if query.dry_run {
        let document = operator.config.with_replica(|r| r.document().clone());
        let result = match change.check(&document) {
            Ok(_) => AcceptResult::Accepted(operator.config.revision()),
            Err(faults) => AcceptResult::Refused(faults),
        };

        return answer_change(&result);
    }

    match &operator.store {
        Some(store) => answer_change(&store.accept(change).await),
        None => Ok(Response::new(StatusCode::MethodNotAllowed)),
    }
}

fn answer_change(result: &AcceptResult) -> tide::Result {
    let status = match result {
        AcceptResult::Accepted(_) => StatusCode::Ok,
        AcceptResult::Refused(_) => StatusCode::Conflict,
        AcceptResult::Unknown => StatusCode::GatewayTimeout,
    };

    let mut response = Response::new(status);
    response.set_body(Body::from_json(result)?);
    Ok(response)
}

async fn get_history(request: Request<OperatorApi>) -> tide::Result {
    let Some(store) = &request.state().store else {
        return Ok(Response::new(StatusCode::MethodNotAllowed));
    };

    match store.history(HISTORY_COUNT).await {
        Ok(entries) => Ok(Body::from_json(&entries)?.into()),
        Err(error) => {
            let mut response = Response::new(StatusCode::ServiceUnavailable);
            response.set_body(json!({ "error": error.to_string() }));
            Ok(response)
        }
    }
}

#[derive(Deserialize)]
struct InForceQuery {
    revision: Revision,
}

async fn get_in_force(request: Request<OperatorApi>) -> tide::Result<Body> {
    let query: InForceQuery = request.query()?;
    let operator = request.state();
    let instances = operator.members.all();

    let asks = instances.into_iter().map(|instance| async move {
        let ask = Control::Heartbeat { revision: Revision::MAX };
        let answer = operator.directory.control(instance.peer_address, &ask).await;
        let has = matches!(
            answer,
            Ok(ControlAnswer::Heartbeat { revision, .. }) if revision >= query.revision
        );

        (instance.name, has)
    });

    let answers: Vec<(InstanceName, bool)> =
        futures::stream::iter(asks).buffer_unordered(ASKED_AT_ONCE).collect().await;
    let confirmed = answers.iter().filter(|(_, has)| *has).count();
    let missing = answers.into_iter().filter(|(_, has)| !has).map(|(name, _)| name).collect();

    Body::from_json(&InForce { revision: query.revision, confirmed, missing })
}
