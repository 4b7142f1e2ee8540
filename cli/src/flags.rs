//! Definition of the command line. Its doc comments are the text of `--help`.

use medlarspur_lib::packet::FlowKey;
use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Checks and signs bundles, and shows the state of instances.
    ///
    /// Usual steps: write site.yaml, run `medlarspur bundle check site.yaml`, review
    /// `medlarspur bundle diff old.yaml site.yaml`, run
    /// `medlarspur bundle sign site.yaml --key site.key --out signed.yaml`, publish
    /// signed.yaml on the platform, and check that it is in force with
    /// `medlarspur status 10.0.0.1:9000 10.0.0.2:9000`.
    ///
    /// Addresses are those of `operator:` in the instances' settings.
    ///
    /// Exit codes: 0 done; 1 the answer is no (faults in a bundle, bundles differ,
    /// an instance is not ready or has another bundle in force); 2 wrong command
    /// line; 3 a file can't be read or written, or is not a key; 4 an instance can't be
    /// reached or its answer is invalid.
    cmd medlarspur {
        /// Keys for signing bundles.
        cmd key {
            /// Generates a key pair. The secret key goes to FILE, which only you can
            /// read; the public key goes to FILE.pub and into `keys:` of each
            /// instance's settings. No file is overwritten.
            cmd new {
                /// The file for the secret key.
                required --out file: PathBuf
            }
        }
        /// Bundles: check, sign, show and compare them.
        cmd bundle {
            /// Prints every fault of a bundle with its line and advice.
            cmd check {
                /// The bundle, signed or not.
                required file: PathBuf
                /// Also require a signature by this public key (a .pub file).
                repeated --trust key: PathBuf
                /// Print JSON.
                optional --json
            }
            /// Checks and signs a bundle.
            cmd sign {
                /// The bundle; an earlier signature is replaced.
                required file: PathBuf
                /// The file of the secret key.
                required --key file: PathBuf
                /// The file for the signed bundle; printed if not given.
                optional --out file: PathBuf
            }
            /// Prints a bundle with all its defaults filled in.
            cmd show {
                /// The bundle.
                required file: PathBuf
                /// Print JSON.
                optional --json
            }
            /// Prints the differences between two bundles. Exit code 1 if there are any.
            cmd diff {
                /// The earlier bundle.
                required old: PathBuf
                /// The later bundle.
                required new: PathBuf
                /// Print JSON.
                optional --json
            }
        }
        /// Prints the state of one instance, or of all that are given: the bundle in
        /// force, life cycle, members and moves in progress.
        cmd status {
            /// Addresses of instances, such as 10.0.0.1:9000.
            repeated addresses: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Prints the target to which an instance sends the next packet of a flow, and why.
        cmd explain {
            /// The flow, as tcp:CALLER-IP:PORT:SERVICE-IP:PORT, or as in log
            /// lines, CALLER-IP:PORT>SERVICE-IP:PORT.
            required flow: FlowKey
            /// The address of the instance to query.
            required --instance address: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Lists flows that an instance knows.
        cmd flows {
            /// The address of the instance to query.
            required --instance address: SocketAddr
            /// Maximum number of flows; 100 if not given.
            optional --limit count: usize
            /// Print JSON.
            optional --json
        }
        /// Shows rates of instances at intervals, until interrupted.
        cmd top {
            /// Addresses of instances.
            repeated addresses: SocketAddr
            /// Seconds between two rounds; 2 if not given.
            optional --interval seconds: u64
            /// Number of rounds; unlimited if not given.
            optional --rounds count: u64
            /// Print one JSON array per round.
            optional --json
        }
    }
}
