//! A temporary folder in which the tool runs.

use std::{
    fs,
    process::{Command, Output},
};
use tempfile::TempDir;

/// A bundle without faults.
pub const BUNDLE: &str = "\
version: 7
site: sofia
seed: 00112233445566778899aabbccddeeff
services:
  - name: alertdesk
    address: 10.70.0.1
    ports: [{number: 7001, class: feed}, {number: 7002, class: request}]
    targets:
      - {name: alert-1, address: 10.1.0.1:6080, domain: lozenets, probe: 10.1.0.1:8080}
      - {name: alert-2, address: 10.1.0.2:6080, domain: druzhba, state: leaving}
  - name: ingest
    address: 10.70.0.2
    ports: [{number: 7001, class: upload}]
    refusal: 'busy {seconds}'
    targets: [{name: in-1, address: 10.1.0.3:6080, domain: obelya}]
";

/// A temporary folder in which the tool runs.
pub struct Folder(TempDir);

/// Creates an empty folder.
pub fn folder() -> Folder {
    Folder(tempfile::tempdir().expect("a folder"))
}

impl Folder {
    /// Writes a file.
    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.0.path().join(name), text).expect("written");
    }

    /// Reads a file.
    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.0.path().join(name)).expect("read")
    }

    /// Returns whether the file exists.
    pub fn exists(&self, name: &str) -> bool {
        self.0.path().join(name).exists()
    }

    /// Returns the permission bits of a file.
    pub fn mode(&self, name: &str) -> u32 {
        use std::os::unix::fs::PermissionsExt;
        let file = fs::metadata(self.0.path().join(name)).expect("a file");
        file.permissions().mode() & 0o777
    }

    /// Runs the tool. Returns its exit code, its output and its error output, as one text.
    pub fn run(&self, line: &str) -> String {
        let output = self.output(line);
        let code = output.status.code().expect("an exit code");
        let (out, err) = (text(&output.stdout), text(&output.stderr));
        format!("exit code {code}\n{out}{err}")
    }

    /// Runs the tool, which must succeed. Returns its output.
    pub fn printed(&self, line: &str) -> String {
        let output = self.output(line);
        assert!(output.status.success(), "{line}: {}", text(&output.stderr));
        text(&output.stdout)
    }

    #[allow(clippy::disallowed_methods, reason = "a test starts the program that it tests")]
    fn output(&self, line: &str) -> Output {
        Command::new(env!("CARGO_BIN_EXE_medlarspur"))
            .args(line.split_whitespace())
            .current_dir(self.0.path())
            .output()
            .expect("the tool runs")
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}
