//! Small HTTP servers on ports that the system may choose.

use rocket::{Config, Route, config::LogLevel, fairing::AdHoc};
use snafu::prelude::*;
use std::{
    io,
    net::{IpAddr, SocketAddrV4},
    sync::mpsc,
};
use tokio::runtime::{Builder, Runtime};

/// Why a server did not start.
#[derive(Debug, Snafu)]
pub enum WebError {
    /// The threads could not be started.
    #[snafu(display("the server's threads can't be started"))]
    Threads {
        /// What the system said.
        source: io::Error,
    },
    /// The address is taken or not this machine's.
    #[snafu(display("the server can't listen on {addr}"))]
    Listen {
        /// The address that was asked for.
        addr: SocketAddrV4,
    },
}

/// Servers that run until this is dropped.
pub struct HttpServers {
    /// Where each listens, in the order given.
    pub addrs: Vec<SocketAddrV4>,
    runtime: Option<Runtime>,
}

impl Drop for HttpServers {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Keeps rocket from printing. It sets its own logger if there is none, and
/// then logs everything for the moment in which another server starts, into
/// the lines that a program's reader expects on its output.
pub fn silence_logs() {
    // A logger that is set already is as good.
    let _ = log::set_logger(&DiscardLogs);
}

struct DiscardLogs;

impl log::Log for DiscardLogs {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &log::Record<'_>) {}

    fn flush(&self) {}
}

/// The largest body; a bundle may have a megabyte.
const MAX_BODY: &str = "2MiB";

/// Starts a server for each state and its routes, the first on `addr` and the
/// others on ports of the system's choice.
pub fn serve<S: Send + Sync + 'static>(
    addr: SocketAddrV4,
    sites: Vec<(S, Vec<Route>)>,
) -> Result<HttpServers, WebError> {
    let runtime =
        Builder::new_multi_thread().worker_threads(2).enable_all().build().context(ThreadsSnafu)?;
    let mut addrs = Vec::new();
    let mut port = addr.port();
    for (state, routes) in sites {
        let (sender, receiver) = mpsc::channel();
        let config = config(*addr.ip(), port);
        let up = AdHoc::on_liftoff("report the port", move |rocket| {
            let port = rocket.config().port;
            Box::pin(async move {
                // Nobody waits any more if the start was given up.
                let _ = sender.send(port);
            })
        });
        let rocket = rocket::custom(config).manage(state).mount("/", routes).attach(up);
        runtime.spawn(rocket.launch());
        let bound = receiver.recv().map_err(|_| WebError::Listen { addr })?;
        addrs.push(SocketAddrV4::new(*addr.ip(), bound));
        port = 0;
    }
    Ok(HttpServers { addrs, runtime: Some(runtime) })
}

fn config(ip: std::net::Ipv4Addr, port: u16) -> rocket::figment::Figment {
    rocket::figment::Figment::from(Config::release_default())
        .merge(("address", IpAddr::V4(ip)))
        .merge(("port", port))
        .merge(("log_level", LogLevel::Off))
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", Vec::<String>::new()))
        .merge(("limits.string", MAX_BODY))
        .merge(("limits.json", MAX_BODY))
}
