//! What can fail at the control connections.

use snafu::Snafu;

/// Why the control connections could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The address can't be listened at.
    #[snafu(display("can't listen for peers at {addr}"))]
    Listen {
        /// The address.
        addr: std::net::SocketAddrV4,
        /// What the system says.
        source: std::io::Error,
    },
    /// The thread or its runtime can't be started.
    #[snafu(display("can't start the thread for peers"))]
    Thread {
        /// What the system says.
        source: std::io::Error,
    },
    /// The keys are no good.
    #[snafu(display("the keys for mutual TLS are unusable"))]
    Tls {
        /// What the TLS library says.
        source: tonic::transport::Error,
    },
}

/// Why a peer's batch was refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BatchError {
    /// It is of another site.
    #[snafu(display("the batch is of another site"))]
    Site,
    /// It is larger than allowed.
    #[snafu(display("the batch has {bytes} bytes, more than allowed"))]
    Oversize {
        /// How many bytes it has.
        bytes: usize,
    },
    /// A message in it has no meaning.
    #[snafu(display("a message is malformed"))]
    Malformed {
        /// What is wrong with it.
        source: WireError,
    },
}

/// Why a wire message has no meaning.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// A field that is always needed is absent.
    #[snafu(display("{field} is absent"))]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field is longer than allowed.
    #[snafu(display("{field} has {len} entries or bytes, more than allowed"))]
    TooLong {
        /// The field.
        field: &'static str,
        /// How many it has.
        len: usize,
    },
    /// A number is larger than allowed.
    #[snafu(display("{field} is {number}, more than allowed"))]
    TooLarge {
        /// The field.
        field: &'static str,
        /// What it is.
        number: u64,
    },
    /// A digest hasn't got 32 bytes.
    #[snafu(display("a digest has {len} bytes"))]
    DigestLength {
        /// How many it has.
        len: usize,
    },
}
