//! Errors, with their causes, hints and exit codes.

use crate::{
    fixtures::{BUNDLE, folder},
    instances::start_instance,
};
use expect_test::expect;
use std::{
    io::{Read, Write},
    net::TcpListener,
    thread::{self, JoinHandle},
};

#[test]
fn a_missing_file_is_reported() {
    expect![[r#"
        exit code 3
        Error: can't read nowhere.yaml
        Caused by: No such file or directory (os error 2)
        Hint: check the path and whether you may read it
    "#]]
    .assert_eq(&folder().run("bundle show nowhere.yaml"));
}

#[test]
fn a_file_that_is_not_a_key_is_reported() {
    let folder = folder();
    folder.write("site.yaml", BUNDLE);

    expect![[r#"
        exit code 3
        Error: site.yaml holds no key
        Caused by: a key is 64 hexadecimal digits
        Caused by: Invalid string length
        Hint: `medlarspur key new --out FILE` makes a key pair
    "#]]
    .assert_eq(&folder.run("bundle sign site.yaml --key site.yaml"));
}

#[test]
fn a_wrong_command_line_is_reported() {
    expect![[r#"
        exit code 2
        Error: unexpected argument: "shew"
        Hint: `medlarspur --help` lists the commands and their options
    "#]]
    .assert_eq(&folder().run("bundle shew site.yaml"));
    expect![[r#"
        exit code 2
        Error: no instance is named
        Hint: give one or more addresses, such as 10.0.0.1:9000
    "#]]
    .assert_eq(&folder().run("status"));
}

#[test]
fn an_invalid_flow_is_reported() {
    let printed = folder().run("explain nothing --instance 127.0.0.1:9");

    expect![[r#"
        exit code 2
        Error: can't parse `flow`, a flow is written tcp:CALLER-IP:PORT:SERVICE-IP:PORT, not "nothing"
        Hint: `medlarspur --help` lists the commands and their options
    "#]].assert_eq(&printed);
}

/// Guards against an unreachable instance that scripts mistake for one that isn't ready. The
/// instance is down, or the address is wrong; only the exit code differs.
#[test]
fn an_instance_that_does_not_answer_is_reported() {
    let one = start_instance("entry-1", Some(7));
    let address = one.address().to_string();
    one.stop();

    let printed = folder().run(&format!("status {address}"));

    expect![[r#"
        exit code 4
        Error: the instance at ADDRESS does not answer
        Caused by: io: Connection refused (os error 111)
        Hint: check that the daemon runs and that this is `operator:` of its settings
    "#]]
    .assert_eq(&printed.replace(&address, "ADDRESS"));
}

/// Starts a server that answers one request with this response. Returns its address and its
/// thread.
fn serve_once(response: &'static str) -> (String, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let server = thread::spawn(move || {
        let (mut caller, _) = listener.accept().expect("a caller");
        let mut request = [0; 4096];
        let length = caller.read(&mut request).expect("a request");
        assert!(request[..length].starts_with(b"GET /flows"));
        caller.write_all(response.as_bytes()).expect("written");
    });
    (address, server)
}

/// Guards against mistaking another program that listens at the address for an instance.
#[test]
fn a_response_that_is_not_json_is_reported() {
    let (address, server) = serve_once("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello");

    let printed = folder().run(&format!("flows --instance {address}"));

    server.join().expect("served");
    expect![[r#"
        exit code 4
        Error: the answer of the instance at ADDRESS can't be read
        Caused by: expected value at line 1 column 1
        Hint: check that a medlarspurd of about this release listens at the address
    "#]]
    .assert_eq(&printed.replace(&address, "ADDRESS"));
}

#[test]
fn an_error_response_is_reported() {
    let (address, server) = serve_once("HTTP/1.1 403 No\r\ncontent-length: 5\r\n\r\nno...");

    let printed = folder().run(&format!("flows --instance {address}"));

    server.join().expect("served");
    expect![[r#"
        exit code 4
        Error: the instance at ADDRESS answers 403: no...
        Hint: check that a medlarspurd of about this release listens at the address
    "#]]
    .assert_eq(&printed.replace(&address, "ADDRESS"));
}
