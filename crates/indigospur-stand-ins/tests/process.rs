//! Addresses of processes that a test has stopped.

use indigospur_test_support::{Process, get};
use std::net::{TcpListener, TcpStream};

/// Several times the number of ports that the system gives out.
const BINDS: usize = 200_000;

fn start_log(arguments: &[String]) -> Process {
    Process::start("stand-in-log", arguments).expect("stand-in-log starts")
}

fn bind_any() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port is free")
}

/// Guards against another test's server that takes a killed server's port, so that the daemon finds the
/// killed one alive.
#[test]
fn the_port_of_a_killed_process_is_given_to_no_other() {
    let mut log = start_log(&[]);
    let address = log.address("address");
    assert_eq!(get(&address, "/streams/s/records").status, 200);
    log.kill();
    for count in 0..BINDS {
        let other = bind_any().local_addr().expect("the listener is bound");
        assert_ne!(other.to_string(), address, "after {count} listeners");
    }
    assert!(TcpStream::connect(&address).is_err(), "nothing listens");
}

#[test]
fn a_process_starts_again_on_the_port_of_a_killed_one() {
    let mut log = start_log(&[]);
    let address = log.address("address");
    assert_eq!(get(&address, "/streams/s/records").status, 200);
    log.kill();
    let again = start_log(&["--listen".to_owned(), address.clone()]);
    assert_eq!(again.address("address"), address);
    assert_eq!(get(&address, "/streams/s/records").status, 200);
}
