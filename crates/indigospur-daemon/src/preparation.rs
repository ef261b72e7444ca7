//! A caller's request becomes a call: its context, and its treatment by the rules.

use crate::daemon::{Daemon, lock};
use crate::dialect::{Above, CallHead};
use indigospur_admission::IngressRequest;
use indigospur_budget::Token;
use indigospur_once::parse_key;
use indigospur_protocol::{
    Call, Context, Customer, Key, Kind, Ran, Refusal, RelayMessage, RequestId, ServiceName,
    fingerprint, is_idempotent_method,
};
use indigospur_relay::ReceivedRequest;
use indigospur_rules::{CallAttributes, RuleSet, Treatment};
use rand::Rng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Calls above one another at most.
const DEEPEST: u32 = 32;
/// Customer of a call that names none.
const ANONYMOUS: &str = "anonymous";

/// A call ready to be sent.
pub(crate) struct Prepared {
    pub(crate) message: RelayMessage,
    /// Token of the call above, whose backend server makes this one.
    pub(crate) above: Option<Token>,
    /// Name of the rule that decided.
    pub(crate) rule: Option<Arc<str>>,
    /// Upstreams at which it may run.
    pub(crate) attempts: u32,
}

/// Who asks, and inside what.
struct Asker {
    request: RequestId,
    customer: Customer,
    /// How often the request was sent before.
    attempt: u32,
    /// Token of the call above, if it runs here.
    above: Option<Token>,
    /// What the call above hands down.
    inherited: Option<Context>,
    /// The call is inside a chain, whether or not the call above runs here.
    inside: bool,
}

/// Makes a call of a request; `known` becomes its identifier, also if it is refused.
pub(crate) fn prepare(
    daemon: &Daemon,
    received: &mut ReceivedRequest,
    known: &mut RequestId,
) -> Result<Prepared, Refusal> {
    let head = daemon.dialect.read_call(received)?;
    if let Some(request) = &head.request {
        *known = request.clone();
    }
    let above = above(daemon, &head.above)?;
    if above.is_none() && !daemon.takes_callers() {
        return Err(Refusal::new(
            Kind::Draining,
            "this daemon is stopping; call another",
        ));
    }
    let rules = daemon.rules();
    let rules =
        rules.ok_or_else(|| Refusal::new(Kind::NotReady, "no rule set is known here yet"))?;
    let asker = identify(daemon, &head, above)?;
    *known = asker.request.clone();
    let (rule, treatment) = decide(&rules, received, &head, &asker)?;
    let remaining = remaining(&head, &treatment, received.started.elapsed())?;
    if !asker.inside {
        enter(daemon, &asker.request, rule.as_ref(), &treatment)?;
    }
    let service = target(daemon, rule.as_ref(), &treatment, &head)?;
    log_decision(&rules, rule.as_deref(), &service, &received.path);
    let key = key(&head, &treatment)?;
    let call = Call {
        service,
        method: received.method.clone(),
        path: received.path.clone(),
        headers: std::mem::take(&mut received.headers),
        body: received.body.clone(),
    };
    let context = context(daemon, &asker, &treatment, remaining, key, &call);
    Ok(Prepared {
        message: RelayMessage { call, context },
        above: asker.above,
        rule,
        attempts: treatment.attempts,
    })
}

fn identify(daemon: &Daemon, head: &CallHead, above: Option<Token>) -> Result<Asker, Refusal> {
    let inherited = above
        .as_deref()
        .and_then(|token| lock(&daemon.ledger).child_context(Instant::now(), token));
    if inherited
        .as_ref()
        .is_some_and(|context| context.depth > DEEPEST)
    {
        let detail = format!("more than {DEEPEST} calls above this one");
        return Err(Refusal::new(Kind::TooDeep, detail));
    }
    let request = request_id(daemon, head, inherited.as_ref());
    let customer = match (&inherited, &head.customer) {
        (Some(context), _) => context.customer.clone(),
        (None, Some(customer)) => customer.clone(),
        (None, None) => ANONYMOUS.into(),
    };
    let attempt = match inherited {
        Some(_) => 0,
        None => lock(&daemon.seen).count(Instant::now(), &request),
    };
    Ok(Asker {
        request,
        customer,
        attempt,
        inside: above.is_some() || matches!(head.above, Above::Prefix(_)),
        above,
        inherited,
    })
}

/// The rule that decides, and the treatment.
fn decide(
    rules: &RuleSet,
    received: &ReceivedRequest,
    head: &CallHead,
    asker: &Asker,
) -> Result<(Option<Arc<str>>, Treatment), Refusal> {
    let path = received.path.split('?').next().unwrap_or_default();
    let decided = rules.decide(&CallAttributes {
        service: &head.service,
        host: &received.host,
        method: &received.method,
        path,
        customer: &asker.customer,
        parent_class: asker.inherited.as_ref().map(|context| context.class),
        idempotent: is_idempotent_method(&received.method),
        attempt: asker.attempt,
    });
    let rule = decided.rule.map(|index| rules.rules[index].name.clone());
    if rules.refuse_unmatched && rule.is_none() {
        let detail = format!("no rule allows {}{path}", received.host);
        return Err(Refusal::new(Kind::NoRoute, detail));
    }
    Ok((rule, decided.treatment))
}

/// Time left of the caller's deadline and of the treatment's.
fn remaining(
    head: &CallHead,
    treatment: &Treatment,
    passed: Duration,
) -> Result<Duration, Refusal> {
    let asked = head.deadline.unwrap_or(treatment.deadline);
    let left = asked.min(treatment.deadline).saturating_sub(passed);
    if left.is_zero() {
        let detail = "the deadline passed before the request was whole";
        return Err(Refusal::new(Kind::DeadlineWaiting, detail));
    }
    Ok(left)
}

/// The context of a call that will be sent: from here on it has its share of the retry credit.
fn context(
    daemon: &Daemon,
    asker: &Asker,
    treatment: &Treatment,
    remaining: Duration,
    key: Option<Key>,
    call: &Call,
) -> Context {
    let fresh = if asker.attempt == 0 {
        treatment.retries
    } else {
        0
    };
    let mut context = Context {
        rank: treatment.rank(&asker.customer, &asker.request),
        request_id: asker.request.clone(),
        customer: asker.customer.clone(),
        class: treatment.class,
        share: treatment.share,
        retries: fresh,
        depth: 0,
        remaining,
        idempotent: treatment.idempotent,
        waits: treatment.waits,
        key,
        digest: fingerprint(call),
        epoch: 0,
        home: None,
        attempt: asker.attempt,
        crashes: Vec::new(),
        repeated: false,
    };
    if let (Some(inherited), Some(token)) = (&asker.inherited, &asker.above) {
        context.retries = lock(&daemon.ledger).lend(token);
        inherit(&mut context, inherited);
        if daemon.settings().chains_first {
            context.class = inherited.class;
        }
    }
    if asker.inside {
        context.depth = context.depth.max(1);
    }
    context
}

/// Lets a caller's request in, if the services that it needs have room for it.
fn enter(
    daemon: &Daemon,
    request: &RequestId,
    rule: Option<&Arc<str>>,
    treatment: &Treatment,
) -> Result<(), Refusal> {
    let Some(rule) = rule else { return Ok(()) };
    let asking = IngressRequest {
        rule,
        class: treatment.class,
        objective: treatment.objective,
    };
    let pressures = lock(&daemon.pressures);
    let entered = lock(&daemon.entry).admit(Instant::now(), asking, &pressures);
    drop(pressures);
    entered.map_err(|shed| {
        log::info!(
            request = &**request,
            rule = &**rule,
            class = treatment.class,
            service = &*shed.service,
            level = shed.level,
            age_ms = shed.age.as_millis() as u64,
            share = shed.share;
            "request not let in"
        );
        let detail = format!("{} has no room for it", shed.service);
        Refusal::new(Kind::OverloadedBelow, detail).with_retry_after(shed.retry_after)
    })
}

/// What a call inside a chain takes over from the call above.
fn inherit(context: &mut Context, above: &Context) {
    context.rank = above.rank;
    context.depth = above.depth;
    context.remaining = context.remaining.min(above.remaining);
    context.repeated = above.repeated;
}

/// The token of the call above, if it runs here.
fn above(daemon: &Daemon, named: &Above) -> Result<Option<Token>, Refusal> {
    let ledger = lock(&daemon.ledger);
    match named {
        Above::Unnamed => Ok(None),
        Above::Token(token) if ledger.contains(token) => Ok(Some(token.clone())),
        Above::Token(_) => Err(Refusal {
            ran: Ran::No,
            ..Refusal::new(
                Kind::Cancelled,
                "the request names a call that does not run here; its caller has gone",
            )
        }),
        Above::Prefix(id) => {
            let ends = id.match_indices('.').map(|(end, _)| end).rev();
            let mut prefixes = ends.map(|end| &id[..end]);
            let found = prefixes.find(|prefix| ledger.contains(prefix));
            daemon.metrics.count_parent_hint(found.is_some());
            Ok(found.map(Arc::from))
        }
    }
}

/// The identifier of the request: its own, else that of the call above, else a new one.
fn request_id(daemon: &Daemon, head: &CallHead, above: Option<&Context>) -> RequestId {
    let inherits = !matches!(head.above, Above::Prefix(_));
    match (above, &head.request) {
        (Some(context), _) if inherits => context.request_id.clone(),
        (_, Some(request)) => request.clone(),
        (_, None) => daemon.new_token(),
    }
}

/// The service that takes the call: the rule's, else the one that the caller names.
fn target(
    daemon: &Daemon,
    rule: Option<&Arc<str>>,
    treatment: &Treatment,
    head: &CallHead,
) -> Result<ServiceName, Refusal> {
    if let Some(rule) = rule {
        let start = || lock(&daemon.rng).random::<f64>();
        if let Some(service) = lock(&daemon.traffic_split).target(rule, treatment, start) {
            return Ok(service);
        }
    }
    if head.service.is_empty() {
        let detail = "neither the request nor a rule names a service";
        return Err(Refusal::new(Kind::UnknownService, detail));
    }
    Ok(head.service.clone())
}

fn log_decision(rules: &RuleSet, rule: Option<&str>, service: &str, path: &str) {
    let rule = rule.unwrap_or("(none)");
    log::trace!(service, path, rule, rules = rules.rules.len(); "treated");
}

/// The key of a call that runs at most once.
fn key(head: &CallHead, treatment: &Treatment) -> Result<Option<Key>, Refusal> {
    let Some(text) = head.key.as_deref().filter(|_| treatment.at_most_once) else {
        return Ok(None);
    };
    let checked = parse_key(text).map_err(|error| {
        let detail = format!(
            "the key is not accepted ({error:?}); give 1 to 128 printable ASCII characters"
        );
        Refusal::new(Kind::BadKey, detail)
    });
    checked.map(Some)
}
