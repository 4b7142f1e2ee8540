//! The thread that serves operators.

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

/// Log targets of rocket and below. Their lines are no changes of state, so a
/// logger filters them out.
pub const SILENCED_LOG_TARGETS: [&str; 4] = ["rocket", "_", "hyper", "opentelemetry"];

/// How long binding may take before the start counts as failed.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Seconds that answers under way have at a shutdown; they are short.
const SHUTDOWN_GRACE: u32 = 1;

/// Why operators can't be served.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The system gives no thread.
    #[snafu(display("the operators' thread can't be started"))]
    Thread {
        /// What the system says.
        source: io::Error,
    },
    /// The address can't be bound, or rocket refuses its settings.
    #[snafu(display("operators can't be served at {address}: {detail}"))]
    Launch {
        /// The address of the settings.
        address: SocketAddrV4,
        /// What rocket says.
        detail: String,
    },
    /// Rocket says neither that it runs nor that it doesn't.
    #[snafu(display("serving operators at {address} did not start in time"))]
    StartTimeout {
        /// The address of the settings.
        address: SocketAddrV4,
        /// What the wait ended by.
        source: RecvTimeoutError,
    },
}

/// What the thread says once.
type StartResult = Result<(SocketAddr, Shutdown), OperatorError>;

/// The running server; it stops when this is dropped.
#[derive(Debug)]
pub struct OperatorServer {
    address: SocketAddr,
    shutdown: Option<Shutdown>,
    thread: Option<JoinHandle<()>>,
}

impl OperatorServer {
    /// Serves at `address` on a thread of its own. Set up a logger first, or
    /// rocket installs its own.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the system gives no thread.
    pub fn start(
        address: SocketAddrV4,
        source: Arc<dyn Source>,
        meters: Meters,
    ) -> Result<OperatorServer, OperatorError> {
        OperatorServer::launch(address, move |rocket| {
            rocket.manage(source).manage(meters).mount("/", routes::table_routes())
        })
    }

    /// Serves an instance where marks are used, as [`start`](Self::start) does.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the system gives no thread.
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

    /// The address that was bound, with its actual port.
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
        // Reading the kind also keeps rocket's error from panicking on drop.
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

/// Signals are the daemon's: if rocket took SIGTERM, the instance would stop
/// answering its operators while it still hands over.
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

/// Nobody hears it once the start took too long; the server then ends with
/// its process, which failed to start.
fn send_start(sender: &Sender<StartResult>, start: StartResult) {
    if sender.send(start).is_err() {
        log::error!("operator: the server started after its limit");
    }
}
