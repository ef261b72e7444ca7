//! Stopping a listener: requests that were accepted get their responses, later connections fail.

use async_std::channel::{Receiver, bounded};
use async_std::net::TcpListener;
use indigospur_protocol::{Answer, Refusal};
use indigospur_relay::{
    Bounds, Handler, HttpService, ReceivedRequest, RefusalEncoder, get, runtime, serve_http,
};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A service that responds once the `gate` channel is closed.
fn gated_service(gate: Receiver<()>) -> HttpService {
    let response = || Answer {
        status: 200,
        headers: Vec::new(),
        body: b"whole".to_vec().into(),
    };
    let handler: Handler = Arc::new(move |_: ReceivedRequest| {
        let gate = gate.clone();
        Box::pin(async move {
            let _ = gate.recv().await;
            response()
        })
    });
    let refuse: RefusalEncoder = Arc::new(move |_: &Refusal| response());
    HttpService::new(Bounds::default(), handler, refuse)
}

#[test]
fn a_stopped_listener_counts_accepted_requests_until_they_have_responses_and_accepts_no_more() {
    runtime::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("it listens").to_string();
        let (gate_sender, gate) = bounded(1);
        let service = gated_service(gate);
        let serving = runtime::spawn(serve_http(listener, service.clone()));
        let call = {
            let address = address.clone();
            runtime::spawn(async move { get(&address, "/x", TIMEOUT).await })
        };
        while service.open_requests() == 0 {
            runtime::sleep(Duration::from_millis(1)).await;
        }
        service.stop_listening();
        serving.await;
        assert!(get(&address, "/y", TIMEOUT).await.is_err());
        assert_eq!(service.open_requests(), 1);
        drop(gate_sender);
        let response = call.await.expect("a response");
        assert_eq!(&*response.body, b"whole");
        while service.open_requests() > 0 {
            runtime::sleep(Duration::from_millis(1)).await;
        }
    });
}
