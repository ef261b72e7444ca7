//! A request that is being handled.

use crate::runtime::BoxFuture;
use crate::service::{HttpService, ReceivedRequest};
use indigospur_protocol::{Answer, Kind, Refusal};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::task::{Context, Poll};

/// A handler's future. Dropping it cancels the request.
pub(crate) struct Handling {
    /// `None` once it has ended, or if the handler panicked before there was a future.
    response: Option<BoxFuture<Answer>>,
}

impl Handling {
    pub(crate) fn start(service: &HttpService, received: ReceivedRequest) -> Handling {
        let response = catch_unwind(AssertUnwindSafe(|| service.handle(received)));
        Handling {
            response: response.ok(),
        }
    }

    /// Polls the handler. Returns its response, or the refusal for an internal error if it panics.
    /// Must not be called again after that.
    pub(crate) fn poll(
        &mut self,
        service: &HttpService,
        context: &mut Context<'_>,
    ) -> Poll<Answer> {
        if let Some(response) = &mut self.response {
            let polled = AssertUnwindSafe(|| response.as_mut().poll(context));
            match catch_unwind(polled) {
                Ok(Poll::Pending) => return Poll::Pending,
                Ok(Poll::Ready(answer)) => {
                    self.response = None;
                    return Poll::Ready(answer);
                }
                Err(_) => self.response = None,
            }
        }
        log::error!("request handler panicked; the request is refused as an internal error");
        let refusal = Refusal::new(Kind::Internal, "the daemon failed");
        Poll::Ready(service.encode_refusal(&refusal))
    }
}
