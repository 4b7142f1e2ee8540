//! Stand-in of the platform's configuration service. Instances read and watch a
//! bundle and a list of instances by HTTP. It simulates the faults of the real service.

use crate::{
    fabric::lock,
    list::ListedInstance,
    web::{self, HttpServers},
};
use rocket::{
    State, get,
    http::{Header, Status},
    put, routes,
    serde::json::Json,
};
use snafu::prelude::*;
use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

/// Simulated faults of the service; by default there are none.
#[derive(Debug, Default, Clone, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Answers every read with status 503.
    pub down: bool,
    /// Delay of every answer in milliseconds.
    pub delay_ms: u64,
    /// Serves the bundle and list from the time at which this was set.
    pub stale: bool,
    /// Bundle that every second read gets instead of the published one.
    pub second: Option<String>,
}

/// Number of reads and watches; a watch counts as one call.
#[derive(Debug, Default, Clone, Copy, serde::Serialize, serde::Deserialize)]
pub struct Calls {
    /// Number of reads and watches of the bundle.
    pub bundle: u64,
    /// Number of reads and watches of the list.
    pub instances: u64,
}

#[derive(Default)]
struct Store {
    bundle: String,
    instances: String,
    frozen: Option<(String, String)>,
    fault: Fault,
    calls: Calls,
    turn: u64,
}

#[derive(Default)]
struct Shared {
    store: Mutex<Store>,
    changed: Notify,
}

/// A running platform.
pub struct Platform {
    /// Its address.
    pub addr: SocketAddrV4,
    shared: Arc<Shared>,
    _served: HttpServers,
}

/// Reasons why the list of instances can't be read.
#[derive(Debug, Snafu)]
pub enum ListError {
    /// The request failed.
    #[snafu(display("the platform's list of instances can't be read"))]
    Call {
        /// Error of the request.
        source: Box<ureq::Error>,
    },
    /// The list can't be parsed.
    #[snafu(display("the platform's list of instances can't be parsed"))]
    Parse {
        /// Error of the parser.
        source: serde_json::Error,
    },
}

/// Reads the list of instances once.
pub fn read_list(platform: SocketAddrV4) -> Result<Vec<ListedInstance>, ListError> {
    let url = format!("http://{platform}/instances");
    let mut answer = ureq::get(&url).call().map_err(Box::new).context(CallSnafu)?;
    let text = answer.body_mut().read_to_string().map_err(Box::new).context(CallSnafu)?;
    serde_json::from_str(&text).context(ParseSnafu)
}

impl Platform {
    /// Starts the service on `addr`.
    pub fn start(addr: SocketAddrV4) -> Result<Self, web::WebError> {
        let shared = Arc::new(Shared::default());
        lock(&shared.store).instances = "[]".into();
        let routes = routes![bundle, instances, calls, put_bundle, put_instances, put_fault];
        let served = web::serve(addr, vec![(Arc::clone(&shared), routes)])?;
        Ok(Self { addr: served.addrs[0], shared, _served: served })
    }

    /// Publishes a bundle.
    pub fn publish(&self, text: &str) {
        self.shared.change(|store| store.bundle = text.into());
    }

    /// Sets the list of instances.
    pub fn set_list(&self, entries: &[ListedInstance]) {
        let text = serde_json::to_string(entries).unwrap_or_default();
        self.shared.change(|store| store.instances = text);
    }

    /// Sets the faults.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.change(|store| store.set_fault(fault));
    }

    /// Number of reads and watches so far.
    pub fn calls(&self) -> Calls {
        lock(&self.shared.store).calls
    }
}

impl Store {
    fn set_fault(&mut self, fault: Fault) {
        self.frozen = match (fault.stale, self.frozen.take()) {
            (true, Some(frozen)) => Some(frozen),
            (true, None) => Some((self.bundle.clone(), self.instances.clone())),
            (false, _) => None,
        };
        self.fault = fault;
    }

    /// Returns the bundle for the read with this number; with [`Fault::second`], odd
    /// numbers get that bundle.
    fn bundle(&self, turn: u64) -> String {
        match (&self.fault.second, &self.frozen) {
            (Some(second), _) if turn % 2 == 1 => second.clone(),
            (_, Some((bundle, _))) => bundle.clone(),
            _ => self.bundle.clone(),
        }
    }

    fn list(&self) -> String {
        self.frozen.as_ref().map_or(&self.instances, |(_, instances)| instances).clone()
    }
}

impl Shared {
    fn change(&self, with: impl FnOnce(&mut Store)) {
        with(&mut lock(&self.store));
        self.changed.notify_waiters();
    }

    /// Answers a read at once. Answers a watch as soon as the entity tag of the text
    /// differs from `after`, or with status 204 after `wait` seconds.
    async fn answer(
        &self,
        after: Option<&str>,
        wait: u64,
        read: impl Fn(&Store) -> String,
    ) -> Answer {
        // The tag may be given with or without the quotes of the ETag header.
        let after = after.map(|tag| tag.trim_matches('"'));
        let until = Instant::now() + Duration::from_secs(wait);
        loop {
            let changed = self.changed.notified();
            let (text, fault) = {
                let store = lock(&self.store);
                (read(&store), store.fault.clone())
            };
            tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
            if fault.down {
                return Answer::Status(Status::ServiceUnavailable);
            }
            if text.is_empty() {
                return Answer::Status(Status::NotFound);
            }
            let tag = blake3::hash(text.as_bytes()).to_hex().to_string();
            if after != Some(tag.as_str()) {
                return Answer::Text { text, tag: Header::new("ETag", format!("\"{tag}\"")) };
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return Answer::Status(Status::NoContent);
            }
        }
    }
}

enum Answer {
    Status(Status),
    Text { text: String, tag: Header<'static> },
}

impl<'r> rocket::response::Responder<'r, 'static> for Answer {
    fn respond_to(self, request: &'r rocket::Request<'_>) -> rocket::response::Result<'static> {
        match self {
            Self::Status(status) => status.respond_to(request),
            Self::Text { text, tag } => {
                rocket::Response::build_from(text.respond_to(request)?).header(tag).ok()
            }
        }
    }
}

#[get("/bundle?<after>&<wait>")]
async fn bundle(shared: &State<Arc<Shared>>, after: Option<&str>, wait: Option<u64>) -> Answer {
    let turn = {
        let mut store = lock(&shared.store);
        store.calls.bundle += 1;
        store.turn += 1;
        store.turn
    };
    shared.answer(after, wait.unwrap_or(0), |store| store.bundle(turn)).await
}

#[get("/instances?<after>&<wait>")]
async fn instances(shared: &State<Arc<Shared>>, after: Option<&str>, wait: Option<u64>) -> Answer {
    lock(&shared.store).calls.instances += 1;
    shared.answer(after, wait.unwrap_or(0), Store::list).await
}

#[get("/calls")]
fn calls(shared: &State<Arc<Shared>>) -> Json<Calls> {
    Json(lock(&shared.store).calls)
}

#[put("/bundle", data = "<text>")]
fn put_bundle(shared: &State<Arc<Shared>>, text: String) {
    shared.change(|store| store.bundle = text);
}

#[put("/instances", data = "<entries>")]
fn put_instances(shared: &State<Arc<Shared>>, entries: Json<Vec<ListedInstance>>) {
    let text = serde_json::to_string(&*entries).unwrap_or_default();
    shared.change(|store| store.instances = text);
}

#[put("/fault", data = "<fault>")]
fn put_fault(shared: &State<Arc<Shared>>, fault: Json<Fault>) {
    shared.change(|store| store.set_fault(fault.into_inner()));
}
