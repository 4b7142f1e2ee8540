//! HTTP servers for the stand-ins.

use rocket::{Config, Route, config::LogLevel, fairing::AdHoc};
use snafu::prelude::*;
use std::{
    io,
    net::{IpAddr, SocketAddrV4},
    sync::mpsc,
};
use tokio::runtime::{Builder, Runtime};

/// Reasons why a server can't be started.
#[derive(Debug, Snafu)]
pub enum WebError {
    /// The server's threads can't be started.
    #[snafu(display("the server's threads can't be started"))]
    Threads {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The address is in use or is not an address of this machine.
    #[snafu(display("the server can't listen on {addr}"))]
    Listen {
        /// The requested address.
        addr: SocketAddrV4,
    },
}

/// HTTP servers that run until this is dropped.
pub struct HttpServers {
    /// Address of each server, in the order given to [`serve`].
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

/// Keeps rocket from printing. If no logger is set, rocket sets its own, which
/// logs everything while another server starts, between the lines that the
/// program itself prints.
pub fn silence_logs() {
    // This fails if a logger is set already, which prevents rocket's logger as well.
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

/// Maximum size of a request body; a bundle may have a megabyte.
const MAX_BODY: &str = "2MiB";

/// Starts a server for each state and its routes, the first on `addr` and the
/// others on the same IP address with ports that the operating system chooses.
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
                // Fails if the receiver has been dropped; the port is not needed then.
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
