//! A listener that stops: what was accepted is answered, and nothing after it.

use async_std::channel::{Receiver, bounded};
use async_std::net::TcpListener;
use indigospur_protocol::{Answer, Refusal};
use indigospur_relay::{Bounds, Handler, HttpService, Received, Refuse, get, runtime, serve_http};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A service that answers once the channel is closed.
fn waiting(gate: Receiver<()>) -> HttpService {
    let answer = || Answer {
        status: 200,
        headers: Vec::new(),
        body: b"whole".to_vec().into(),
    };
    let handler: Handler = Arc::new(move |_: Received| {
        let gate = gate.clone();
        Box::pin(async move {
            let _ = gate.recv().await;
            answer()
        })
    });
    let refuse: Refuse = Arc::new(move |_: &Refusal| answer());
    HttpService::new(Bounds::default(), handler, refuse)
}

#[test]
fn what_was_accepted_is_counted_until_it_is_answered_and_nothing_comes_after_it() {
    runtime::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("it listens").to_string();
        let (open_gate, gate) = bounded(1);
        let service = waiting(gate);
        let serving = runtime::spawn(serve_http(listener, service.clone()));
        let asked = {
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
        drop(open_gate);
        let answer = asked.await.expect("it is answered");
        assert_eq!(&*answer.body, b"whole");
        while service.open_requests() > 0 {
            runtime::sleep(Duration::from_millis(1)).await;
        }
    });
}
