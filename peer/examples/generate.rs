//! Generates `src/generated.rs` from `proto/peer.proto`. It is run in `peer/` after each
//! change of `peer.proto`. The result is committed, so that builds need no generator. Code
//! that uses new messages is added only after they have been generated.
//! `cargo run -p medlarspur-peer --example generate`

use snafu::{ResultExt, Whatever};
use std::{fs, path::Path};

fn main() -> Result<(), Whatever> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = package.join("src");
    let proto = package.join("proto");
    let files =
        protox::compile(["peer.proto"], [proto]).whatever_context("can't compile peer.proto")?;
    tonic_prost_build::configure()
        .out_dir(&out)
        .compile_fds(files)
        .whatever_context("can't generate code from peer.proto")?;
    fs::rename(out.join("medlarspur.peer.rs"), out.join("generated.rs"))
        .whatever_context("can't rename the generated file")
}
