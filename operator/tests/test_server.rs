//! Start and stop of the server.

use crate::fixtures::{ANY_PORT, Instance, get, start_server};
use medlarspur_operator::{Meters, OperatorError, OperatorServer};
use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
};

#[test]
fn two_servers_run_side_by_side() {
    let (first, ..) = start_server(true);
    let (second, ..) = start_server(false);

    assert_ne!(first.address().port(), 0);
    assert_ne!(first.address(), second.address());
    assert_eq!(get(&first, "/readyz").0, 200);
    assert_eq!(get(&second, "/readyz").0, 503);
}

#[test]
fn a_stopped_server_releases_its_port() {
    let (operator, ..) = start_server(true);
    let address = operator.address();

    operator.stop();

    assert!(TcpStream::connect(address).is_err());
}

/// Guards against a daemon that runs on without serving operators, because another process
/// holds the configured port.
#[test]
fn start_fails_if_the_port_is_in_use() {
    let holder = TcpListener::bind(ANY_PORT).expect("a port");
    let SocketAddr::V4(address) = holder.local_addr().expect("an address") else {
        unreachable!("bound to IPv4")
    };
    let instance = Arc::new(Instance { ready: true.into() });

    let error = OperatorServer::start(address, instance, Meters::new().expect("metrics"))
        .expect_err("the port is in use");

    assert!(matches!(error, OperatorError::Launch { .. }), "{error}");
    assert!(error.to_string().contains("in use"), "{error}");
}
