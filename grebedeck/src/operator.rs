//! The operator port: health, configuration, state dump and metrics over HTTP.

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
use crate::config::store::ConfigStore;
use crate::config::sync::Members;
use crate::directory::Directory;
use crate::message::{Control, ControlAnswer};

/// Maximum number of processes that are asked for their revision at the same time.
const MAX_CONCURRENT_QUERIES: usize = 32;
/// Maximum number of history entries in one answer.
const MAX_HISTORY_ENTRIES: u64 = 50;

/// State of the operator port.
#[derive(Clone)]
pub struct OperatorApi {
    /// Services of the process.
    pub kernel: Kernel,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Store of the configuration, in a process that accepts changes.
    pub store: Option<ConfigStore<HttpTable>>,
    /// Configuration in force.
    pub config: Arc<ConfigService>,
    /// Instances that the platform lists.
    pub members: Arc<Members>,
    /// Links to peers.
    pub directory: Arc<Directory>,
}

/// Configuration as shown to an operator.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConfigView {
    /// Revision in force in the answering process.
    pub revision: Revision,
    /// Document of that revision.
    pub document: Document,
}

/// Which processes have a revision in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct InForce {
    /// Requested revision.
    pub revision: Revision,
    /// Number of processes that have this revision or a newer one in force.
    pub confirmed: usize,
    /// Names of the processes that do not, or did not answer.
    pub missing: Vec<InstanceName>,
}

/// Serves the operator port until the task is dropped.
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

/// Readiness check for the platform's balancer.
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
            let position = format!("line {}, column {}", error.line(), error.column());
            let mut faults = grebedeck_core::Faults::default();
            faults.add(position, "", error.to_string());
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

    match store.history(MAX_HISTORY_ENTRIES).await {
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

    let queries = instances.into_iter().map(|instance| async move {
        let heartbeat = Control::Heartbeat { revision: Revision::MAX };
        let answer = operator.directory.control(instance.peer_address, &heartbeat).await;
        let has = matches!(
            answer,
            Ok(ControlAnswer::Heartbeat { revision, .. }) if revision >= query.revision
        );

        (instance.name, has)
    });

    let answers: Vec<(InstanceName, bool)> =
        futures::stream::iter(queries).buffer_unordered(MAX_CONCURRENT_QUERIES).collect().await;
    let confirmed = answers.iter().filter(|(_, has)| *has).count();
    let missing = answers.into_iter().filter(|(_, has)| !has).map(|(name, _)| name).collect();

    Body::from_json(&InForce { revision: query.revision, confirmed, missing })
}
