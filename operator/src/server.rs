//! The HTTP server and its thread.

use crate::{
    meters::Meters,
    routes,
    source::{MarkedSource, Source},
};
use rocket::{
    Build, Config, Rocket, Shutdown,
    config::{Ident, LogLevel},
    fairing::AdHoc,
    tokio::runtime::Builder,
};
use snafu::{ResultExt, Snafu};
use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        mpsc::{self, RecvTimeoutError, Sender},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Log targets of rocket and its dependencies. Loggers filter them out, since their lines
/// don't report changes of an instance's state.
pub const SILENCED_LOG_TARGETS: [&str; 4] = ["rocket", "_", "hyper", "opentelemetry"];

/// Maximum time to bind the address.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Seconds that requests in flight have to finish at a shutdown. Responses are short.
const SHUTDOWN_GRACE: u32 = 1;

/// Error of starting the server.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The thread or its runtime can't be started.
    #[snafu(display("can't start the thread that serves operators"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The address can't be bound, or rocket rejects the settings.
    #[snafu(display("can't serve operators at {address}: {detail}"))]
    Launch {
        /// The configured address.
        address: SocketAddrV4,
        /// Rocket's error.
        detail: String,
    },
    /// Rocket reported neither a start nor an error in time.
    #[snafu(display("the server for operators at {address} did not start in time"))]
    StartTimeout {
        /// The configured address.
        address: SocketAddrV4,
        /// Reason why the wait ended.
        source: RecvTimeoutError,
    },
}

/// Result of the start, which the thread sends once.
type StartResult = Result<(SocketAddr, Shutdown), OperatorError>;

/// The running server. It stops when this is dropped.
#[derive(Debug)]
pub struct OperatorServer {
    address: SocketAddr,
    shutdown: Option<Shutdown>,
    thread: Option<JoinHandle<()>>,
}

impl OperatorServer {
    /// Serves at `address` on a thread of its own. A logger must be set up before, or
    /// rocket installs its own.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the thread can't be started.
    pub fn start(
        address: SocketAddrV4,
        source: Arc<dyn Source>,
        meters: Meters,
    ) -> Result<OperatorServer, OperatorError> {
        OperatorServer::launch(address, move |rocket| {
            rocket.manage(source).manage(meters).mount("/", routes::table_routes())
        })
    }

    /// Like [`start`](Self::start), for an instance at a site whose fabric returns marks.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the thread can't be started.
    pub fn start_marked(
        address: SocketAddrV4,
        source: Arc<dyn MarkedSource>,
        meters: Meters,
    ) -> Result<OperatorServer, OperatorError> {
        OperatorServer::launch(address, move |rocket| {
            rocket.manage(source).manage(meters).mount("/", routes::marked_routes())
        })
    }

    fn launch(
        address: SocketAddrV4,
        mount: impl FnOnce(Rocket<Build>) -> Rocket<Build> + Send + 'static,
    ) -> Result<OperatorServer, OperatorError> {
        let (sender, receiver) = mpsc::channel();
        let thread = thread::Builder::new()
            .name("operator".to_owned())
            .spawn(move || serve(address, mount, &sender))
            .context(ThreadSnafu)?;
        let start = receiver.recv_timeout(START_TIMEOUT).context(StartTimeoutSnafu { address })?;
        let (address, shutdown) = start?;
        Ok(OperatorServer { address, shutdown: Some(shutdown), thread: Some(thread) })
    }

    /// Returns the bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops serving and waits for the thread.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        if let Some(shutdown) = self.shutdown.take() {
            shutdown.notify();
        }
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("operator: the thread panicked");
        }
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        self.shut_down();
    }
}

fn serve(
    address: SocketAddrV4,
    mount: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
    sender: &Sender<StartResult>,
) {
    let runtime = match Builder::new_current_thread().enable_all().build().context(ThreadSnafu) {
        Ok(runtime) => runtime,
        Err(error) => return send_start(sender, Err(error)),
    };
    let rocket = build_rocket(address, mount, sender.clone());
    if let Err(error) = runtime.block_on(rocket.launch()) {
        // Reading the kind also prevents rocket's error from panicking on drop.
        let detail = error.kind().to_string();
        send_start(sender, Err(OperatorError::Launch { address, detail }));
    }
}

fn build_rocket(
    address: SocketAddrV4,
    mount: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
    sender: Sender<StartResult>,
) -> Rocket<Build> {
    let started = AdHoc::on_liftoff("started", move |rocket| {
        Box::pin(async move {
            let config = rocket.config();
            let address = SocketAddr::new(config.address, config.port);
            send_start(&sender, Ok((address, rocket.shutdown())));
        })
    });
    mount(rocket::custom(config(address))).register("/", routes::catchers()).attach(started)
}

/// Returns rocket's configuration. Signals are left to the daemon: if rocket handled
/// SIGTERM, the instance would stop serving operators while it still drains.
fn config(address: SocketAddrV4) -> Config {
    let mut config = Config {
        address: (*address.ip()).into(),
        port: address.port(),
        workers: 1,
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        ..Config::release_default()
    };
    config.shutdown.ctrlc = false;
    config.shutdown.signals.clear();
    config.shutdown.grace = SHUTDOWN_GRACE;
    config.shutdown.mercy = SHUTDOWN_GRACE;
    config
}

/// Sends the result of the start. After [`START_TIMEOUT`] nothing receives it; the server
/// then ends together with its process, which failed to start.
fn send_start(sender: &Sender<StartResult>, start: StartResult) {
    if sender.send(start).is_err() {
        log::error!("operator: the server started after its limit");
    }
}
