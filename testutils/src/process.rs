//! Runs instances as child processes.

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

/// Settings that all instances of a test site share.
#[derive(Debug, Clone)]
pub struct CommonSettings {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Folder for settings files and logs.
    pub folder: PathBuf,
    /// Name of the site.
    pub site: String,
    /// Address of the fabric for packets to callers.
    pub fabric: SocketAddrV4,
    /// Address of the platform.
    pub platform: SocketAddrV4,
    /// Public key of the bundles' signatures.
    pub key: PublicKey,
}

/// Failures of an instance's process.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// A file or the process can't be created.
    #[snafu(display("instance {name} can't be started"))]
    Start {
        /// Name of the instance.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The line with its addresses can't be parsed.
    #[snafu(display(
        "instance {name} printed {line:?} instead of its addresses; see its log {log:?}"
    ))]
    Addresses {
        /// Name of the instance.
        name: String,
        /// The line that it printed.
        line: String,
        /// Path of its log.
        log: PathBuf,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// It was not ready within `READY_TIMEOUT`.
    #[snafu(display(
        "instance {name} was not ready within {READY_TIMEOUT:?}; see its log {log:?}"
    ))]
    NotReady {
        /// Name of the instance.
        name: String,
        /// Path of its log.
        log: PathBuf,
    },
    /// A signal can't be sent to it.
    #[snafu(display("no signal can be sent to instance {name}"))]
    Signalled {
        /// Name of the instance.
        name: String,
        /// The cause.
        source: SignalError,
    },
}

/// Reasons why no signal was sent to a child process.
#[derive(Debug, Snafu)]
pub enum SignalError {
    /// The process has ended.
    #[snafu(display("the process has ended: {status}"))]
    Ended {
        /// Its exit status.
        status: ExitStatus,
    },
    /// The state of the process can't be read.
    #[snafu(display("the state of the process can't be read"))]
    Status {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The operating system refuses to send the signal.
    #[snafu(display("the signal can't be sent"))]
    Send {
        /// Error of the operating system.
        source: Errno,
    },
}

/// Sends a signal to a child process, unless it has ended.
///
/// The process id of a child that was waited for is reused: of 32,768 ids, within a
/// minute on a machine that starts many processes. The signal would stop or kill an
/// unrelated process, such as a test runner or shell. The exclusive reference to the
/// child ensures that nothing else waits for it between the check and the signal.
///
/// # Errors
///
/// Fails if the child has ended, if its state can't be read or if the operating system
/// refuses the signal.
pub fn signal(child: &mut Child, signal: Signal) -> Result<(), SignalError> {
    if let Some(status) = child.try_wait().context(StatusSnafu)? {
        return EndedSnafu { status }.fail();
    }
    signal::kill(Pid::from_raw(child.id().cast_signed()), signal).context(SendSnafu)
}

/// Maximum time from the start of an instance until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two requests for the readiness of an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Secret of all test sites.
const SECRET: [u8; 32] = [7; 32];

/// The process of an instance, which is killed on drop.
pub struct Instance {
    /// Its entry in the platform's list of instances.
    pub listed: ListedInstance,
    /// Address of its operators' interface.
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
    /// Starts an instance and reads the addresses that it prints.
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
                // Both calls fail only if the process has ended already.
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

    /// Waits until the instance reports that it is ready.
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
        // Both calls fail only if the process has ended already.
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

/// Returns the first line of the output. A thread discards the rest, so that a
/// process that prints more does not block on a full pipe.
fn first_line(output: impl io::Read + Send + 'static) -> String {
    let mut reader = BufReader::new(output);
    let mut line = String::new();
    // On an error the line is empty, which the parser reports.
    let _ = reader.read_line(&mut line);
    thread::spawn(move || io::copy(&mut reader, &mut io::sink()));
    line
}
