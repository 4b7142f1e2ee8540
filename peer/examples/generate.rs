//! Writes `src/generated.rs` from `proto/peer.proto`; run it in `peer/` after
//! a change of the latter. The result is committed, so that the build needs
//! no generator. New messages are generated before code names them:
//! `cargo run -p medlarspur-peer --example generate`.

use snafu::{ResultExt, Whatever};
use std::{fs, path::Path};

fn main() -> Result<(), Whatever> {
    let home = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = home.join("src");
    let proto = home.join("proto");
    let files =
        protox::compile(["peer.proto"], [proto]).whatever_context("the proto doesn't compile")?;
    tonic_prost_build::configure()
        .out_dir(&out)
        .compile_fds(files)
        .whatever_context("no code comes of the proto")?;
    fs::rename(out.join("medlarspur.peer.rs"), out.join("generated.rs"))
        .whatever_context("it can't be renamed")
}
