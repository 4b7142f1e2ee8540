//! The HTTP routes. All of them are `GET`.

use crate::{
    meters::Meters,
    source::{MarkedSource, Source},
};
use medlarspur_lib::{
    packet::FlowKey,
    status::{Explanation, FlowStatus, MarkedExplanation, MarkedStatus, Status},
};
use rocket::{
    Request, Route, State, catch,
    catcher::Catcher,
    catchers, get,
    http::{ContentType, Status as Code},
    response::status::Custom,
    routes,
    serde::json::Json,
};
use serde::Serialize;
use std::sync::Arc;

/// Number of flows in a response to a request without a limit.
const DEFAULT_FLOWS: usize = 100;
/// Maximum number of flows in a response, about two megabytes of JSON.
const MAX_FLOWS: usize = 10_000;

/// The instance, as rocket's managed state.
pub(crate) type SharedSource = Arc<dyn Source>;
/// The instance at a site whose fabric returns marks, as rocket's managed state.
pub(crate) type SharedMarkedSource = Arc<dyn MarkedSource>;

/// Body of an error response.
#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

type JsonResult<T> = Result<Json<T>, Custom<Json<ErrorBody>>>;

/// Returns the routes of an instance that maps flows to targets by bucket tables.
pub(crate) fn table_routes() -> Vec<Route> {
    routes![healthz, readyz, status, explain, flows, metrics]
}

/// Returns the routes of an instance at a site whose fabric returns marks.
pub(crate) fn marked_routes() -> Vec<Route> {
    routes![healthz, marked_status, marked_explain, metrics]
}

pub(crate) fn catchers() -> Vec<Catcher> {
    catchers![not_found, other_error]
}

#[get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

#[get("/readyz")]
fn readyz(source: &State<SharedSource>) -> Custom<String> {
    match source.status().unready {
        None => Custom(Code::Ok, "ready\n".to_owned()),
        Some(unready) => Custom(Code::ServiceUnavailable, format!("{unready}\n")),
    }
}

#[get("/status")]
fn status(source: &State<SharedSource>) -> Json<Status> {
    Json(source.status())
}

#[get("/explain?<flow>")]
fn explain(source: &State<SharedSource>, flow: &str) -> JsonResult<Explanation> {
    let key: FlowKey = flow.parse().map_err(|error| error_response(Code::BadRequest, &error))?;
    Ok(Json(source.explain(&key)))
}

#[get("/status")]
fn marked_status(source: &State<SharedMarkedSource>) -> JsonResult<MarkedStatus> {
    source.status().map(Json).ok_or_else(busy_response)
}

#[get("/explain?<flow>")]
fn marked_explain(source: &State<SharedMarkedSource>, flow: &str) -> JsonResult<MarkedExplanation> {
    let key: FlowKey = flow.parse().map_err(|error| error_response(Code::BadRequest, &error))?;
    source.explain(&key).map(Json).ok_or_else(busy_response)
}

/// The response if the packet path did not answer in time.
fn busy_response() -> Custom<Json<ErrorBody>> {
    let error = "the instance is too busy to answer; ask again".to_owned();
    Custom(Code::ServiceUnavailable, Json(ErrorBody { error }))
}

#[get("/flows?<limit>")]
fn flows(source: &State<SharedSource>, limit: Option<usize>) -> Json<Vec<FlowStatus>> {
    Json(source.flows(limit.unwrap_or(DEFAULT_FLOWS).min(MAX_FLOWS)))
}

#[get("/metrics")]
fn metrics(meters: &State<Meters>) -> Result<(ContentType, String), Custom<Json<ErrorBody>>> {
    let text = meters.text().map_err(|error| error_response(Code::InternalServerError, &error))?;
    let kind = ContentType::new("text", "plain").with_params([("version", "0.0.4")]);
    Ok((kind, text))
}

#[catch(404)]
fn not_found(request: &Request<'_>) -> Json<ErrorBody> {
    let paths = "/healthz, /readyz, /status, /explain?flow=, /flows?limit= and /metrics";
    Json(ErrorBody { error: format!("nothing at {}; there are {paths}", request.uri()) })
}

#[catch(default)]
fn other_error(code: Code, request: &Request<'_>) -> Json<ErrorBody> {
    Json(ErrorBody { error: format!("{} {}: {code}", request.method(), request.uri()) })
}

fn error_response(code: Code, error: &dyn std::error::Error) -> Custom<Json<ErrorBody>> {
    Custom(code, Json(ErrorBody { error: error.to_string() }))
}
