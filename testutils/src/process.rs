//! Instances as processes of their own.

use crate::list::{ListedInstance, ListedState};
use medlarspur_lib::bundle::PublicKey;
use nix::{
    errno::Errno,
    sys::signal::{self, Signal},
    unistd::Pid,
};
use snafu::prelude::*;
use std::{
    fs::File,
    io::{self, BufRead, BufReader, Write},
    net::SocketAddrV4,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

/// What the settings of every instance of a test site have in common.
#[derive(Debug, Clone)]
pub struct CommonSettings {
    /// The daemon's program.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
    /// The name of the site.
    pub site: String,
    /// The fabric's address for packets to callers.
    pub fabric: SocketAddrV4,
    /// The platform's address.
    pub platform: SocketAddrV4,
    /// The key that signs bundles.
    pub key: PublicKey,
}

/// Why an instance did not do what was asked.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// A file or the process could not be made.
    #[snafu(display("the instance {name} can't be started"))]
    Start {
        /// The instance.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// The line with the addresses was not understood.
    #[snafu(display("the instance {name} printed no addresses but {line:?}; see its log {log:?}"))]
    Addresses {
        /// The instance.
        name: String,
        /// What it printed.
        line: String,
        /// Where its log is.
        log: PathBuf,
        /// Where the line broke.
        source: serde_json::Error,
    },
    /// It did not get ready in time.
    #[snafu(display(
        "the instance {name} was not ready in {READY_TIMEOUT:?}; see its log {log:?}"
    ))]
    NotReady {
        /// The instance.
        name: String,
        /// Where its log is.
        log: PathBuf,
    },
    /// A signal could not be sent.
    #[snafu(display("the instance {name} can't be signalled"))]
    Signalled {
        /// The instance.
        name: String,
        /// Why.
        source: SignalError,
    },
}

/// Why a child process got no signal.
#[derive(Debug, Snafu)]
pub enum SignalError {
    /// It has ended.
    #[snafu(display("it has ended: {status}"))]
    Ended {
        /// How.
        status: ExitStatus,
    },
    /// It can't be told whether it has ended.
    #[snafu(display("it can't be looked at"))]
    Status {
        /// What the system said.
        source: io::Error,
    },
    /// The system does not send the signal.
    #[snafu(display("the signal can't be sent"))]
    Send {
        /// What the system said.
        source: Errno,
    },
}

/// Sends a signal to a child process, unless it has ended.
///
/// A child that was waited for has given its number back, and the system hands it to
/// another process: of 32,768 numbers, within a minute on a machine that starts many.
/// The signal would stop, freeze or kill a stranger, which shows as a test runner or
/// shell that is gone for no reason. As long as nobody else can wait for the child, its
/// number stays its own after this look.
///
/// # Errors
///
/// Fails if the child has ended, or if the system says so.
pub fn signal(child: &mut Child, signal: Signal) -> Result<(), SignalError> {
    if let Some(status) = child.try_wait().context(StatusSnafu)? {
        return EndedSnafu { status }.fail();
    }
    signal::kill(Pid::from_raw(child.id().cast_signed()), signal).context(SendSnafu)
}

/// How long an instance may take to get ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How often it is asked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The secret of all test sites.
const SECRET: [u8; 32] = [7; 32];

/// A process of an instance, which is killed when this is dropped.
pub struct Instance {
    /// What the list says of it.
    pub listed: ListedInstance,
    /// Where operators read from it.
    pub operator: SocketAddrV4,
    log: PathBuf,
    child: Child,
}

#[derive(serde::Deserialize)]
struct PrintedAddresses {
    packets: SocketAddrV4,
    questions: SocketAddrV4,
    control: SocketAddrV4,
    operator: SocketAddrV4,
}

impl Instance {
    /// Starts an instance and reads its addresses.
    pub fn start(
        common: &CommonSettings,
        name: &str,
        domain: &str,
        peers: &[SocketAddrV4],
    ) -> Result<Self, ProcessError> {
        let log = common.folder.join(format!("{name}.log"));
        let mut child = spawn(common, name, domain, peers, &log)
            .context(StartSnafu { name: name.to_owned() })?;
        let line = child.stdout.take().map(first_line).unwrap_or_default();
        let printed = match serde_json::from_str::<PrintedAddresses>(&line) {
            Ok(printed) => printed,
            Err(source) => {
                // The process may have ended already.
                let _ = child.kill();
                let _ = child.wait();
                return Err(source).context(AddressesSnafu { name, line, log });
            }
        };
        let PrintedAddresses { packets, questions, control, operator } = printed;
        let (name, domain, state) = (name.to_owned(), domain.to_owned(), ListedState::Live);
        let listed = ListedInstance { name, domain, state, packets, questions, control };
        Ok(Self { listed, operator, log, child })
    }

    /// Waits until it says that it is ready.
    pub fn await_ready(&self) -> Result<(), ProcessError> {
        let url = format!("http://{}/readyz", self.operator);
        let start = Instant::now();
        while ureq::get(&url).call().is_err() {
            let (name, log) = (&self.listed.name, &self.log);
            ensure!(start.elapsed() < READY_TIMEOUT, NotReadySnafu { name, log });
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&mut self, with: Signal) -> Result<(), ProcessError> {
        signal(&mut self.child, with).context(SignalledSnafu { name: &self.listed.name })
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[allow(
    clippy::disallowed_methods,
    reason = "the stand-ins start the daemon, the product does not"
)]
fn spawn(
    common: &CommonSettings,
    name: &str,
    domain: &str,
    peers: &[SocketAddrV4],
    log: &Path,
) -> io::Result<Child> {
    let path = common.folder.join(format!("{name}.yaml"));
    File::create(&path)?.write_all(settings(common, name, domain, peers).as_bytes())?;
    Command::new(&common.program)
        .arg("--settings")
        .arg(&path)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(File::create(log)?)
        .spawn()
}

fn settings(common: &CommonSettings, name: &str, domain: &str, peers: &[SocketAddrV4]) -> String {
    let CommonSettings { site, fabric, platform, key, .. } = common;
    let peers = peers.iter().map(|peer| format!("\"{peer}\"")).collect::<Vec<_>>().join(", ");
    let any = "127.0.0.1:0";
    format!(
        "site: {site}\nname: {name}\ndomain: {domain}\n\
         packets: {any}\nquestions: {any}\ncontrol: {any}\noperator: {any}\n\
         fabric: {fabric}\nplatform: {platform}\n\
         keys: [\"{key}\"]\npeers: [{peers}]\nsecret: \"{}\"\nlog: text\n",
        hex::encode(SECRET)
    )
}

/// The first line of the output. The rest is read away, so that a process that
/// prints more is not held up by a full pipe.
fn first_line(output: impl io::Read + Send + 'static) -> String {
    let mut reader = BufReader::new(output);
    let mut line = String::new();
    // An empty line is reported as such by who parses it.
    let _ = reader.read_line(&mut line);
    thread::spawn(move || io::copy(&mut reader, &mut io::sink()));
    line
}
