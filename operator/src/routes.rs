//! The routes, all of them `GET`.

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

/// How many flows are listed if the caller names no number.
const FLOWS: usize = 100;
/// The most flows in one answer, about two megabytes of JSON.
const MAX_FLOWS: usize = 10_000;

/// The instance, as rocket keeps it.
pub(crate) type Shared = Arc<dyn Source>;
/// The same where marks are used.
pub(crate) type SharedMarked = Arc<dyn MarkedSource>;

/// What is wrong with a question.
#[derive(Serialize)]
struct Wrong {
    error: String,
}

type Answer<T> = Result<Json<T>, Custom<Json<Wrong>>>;

pub(crate) fn all() -> Vec<Route> {
    routes![healthz, readyz, status, explain, flows, metrics]
}

pub(crate) fn marked() -> Vec<Route> {
    routes![healthz, marked_status, marked_explain, metrics]
}

pub(crate) fn catchers() -> Vec<Catcher> {
    catchers![not_found, other]
}

#[get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

#[get("/readyz")]
fn readyz(source: &State<Shared>) -> Custom<String> {
    match source.status().unready {
        None => Custom(Code::Ok, "ready\n".to_owned()),
        Some(unready) => Custom(Code::ServiceUnavailable, format!("{unready}\n")),
    }
}

#[get("/status")]
fn status(source: &State<Shared>) -> Json<Status> {
    Json(source.status())
}

#[get("/explain?<flow>")]
fn explain(source: &State<Shared>, flow: &str) -> Answer<Explanation> {
    let key: FlowKey = flow.parse().map_err(|error| wrong(Code::BadRequest, &error))?;
    Ok(Json(source.explain(&key)))
}

#[get("/status")]
fn marked_status(source: &State<SharedMarked>) -> Answer<MarkedStatus> {
    source.status().map(Json).ok_or_else(busy)
}

#[get("/explain?<flow>")]
fn marked_explain(source: &State<SharedMarked>, flow: &str) -> Answer<MarkedExplanation> {
    let key: FlowKey = flow.parse().map_err(|error| wrong(Code::BadRequest, &error))?;
    source.explain(&key).map(Json).ok_or_else(busy)
}

/// The packet path has not answered.
fn busy() -> Custom<Json<Wrong>> {
    let error = "the instance is too busy to answer; ask again".to_owned();
    Custom(Code::ServiceUnavailable, Json(Wrong { error }))
}

#[get("/flows?<limit>")]
fn flows(source: &State<Shared>, limit: Option<usize>) -> Json<Vec<FlowStatus>> {
    Json(source.flows(limit.unwrap_or(FLOWS).min(MAX_FLOWS)))
}

#[get("/metrics")]
fn metrics(meters: &State<Meters>) -> Result<(ContentType, String), Custom<Json<Wrong>>> {
    let text = meters.text().map_err(|error| wrong(Code::InternalServerError, &error))?;
    let kind = ContentType::new("text", "plain").with_params([("version", "0.0.4")]);
    Ok((kind, text))
}

#[catch(404)]
fn not_found(request: &Request<'_>) -> Json<Wrong> {
    let known = "/healthz, /readyz, /status, /explain?flow=, /flows?limit= and /metrics";
    Json(Wrong { error: format!("nothing at {}; there are {known}", request.uri()) })
}

#[catch(default)]
fn other(code: Code, request: &Request<'_>) -> Json<Wrong> {
    Json(Wrong { error: format!("{} {}: {code}", request.method(), request.uri()) })
}

fn wrong(code: Code, error: &dyn std::error::Error) -> Custom<Json<Wrong>> {
    Custom(code, Json(Wrong { error: error.to_string() }))
}
