//! Errors of the control connections.

use snafu::Snafu;

/// Error of starting the control connections.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The address can't be bound.
    #[snafu(display("can't listen for peers at {addr}"))]
    Listen {
        /// The address.
        addr: std::net::SocketAddrV4,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The thread or its runtime can't be started.
    #[snafu(display("can't start the thread for peers"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The keys are unusable.
    #[snafu(display("the keys for mutual TLS are unusable"))]
    Tls {
        /// Error of the TLS library.
        source: tonic::transport::Error,
    },
}

/// Reason why a batch from a peer was refused.
///
/// These texts are sent to the peer as the message of a gRPC status, so they are part of the
/// protocol.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BatchError {
    /// The batch is from another site.
    #[snafu(display("the batch is of another site"))]
    Site,
    /// The batch is too large.
    #[snafu(display("the batch has {bytes} bytes, more than allowed"))]
    Oversize {
        /// Size of the batch.
        bytes: usize,
    },
    /// A message in the batch is invalid.
    #[snafu(display("a message is malformed"))]
    Malformed {
        /// Reason why the message is invalid.
        source: WireError,
    },
}

/// Reason why a received message is invalid.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// A required field is missing.
    #[snafu(display("the field {field} is missing"))]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// A field has too many bytes or entries.
    #[snafu(display("the field {field} has {len} bytes or entries, which is too many"))]
    TooLong {
        /// Name of the field.
        field: &'static str,
        /// Its number of bytes or entries.
        len: usize,
    },
    /// A number is too large.
    #[snafu(display("the field {field} is {number}, which is too large"))]
    TooLarge {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        number: u64,
    },
    /// A digest doesn't have 32 bytes.
    #[snafu(display("a digest has {len} bytes instead of 32"))]
    DigestLength {
        /// Its number of bytes.
        len: usize,
    },
}
