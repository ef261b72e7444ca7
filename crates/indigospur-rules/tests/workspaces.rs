//! Workspaces, and the class that their calls get.

use indigospur_protocol::Class;
use indigospur_rules::{
    Action, CallAttributes, CallerLimits, Condition, KeyDigest, Pattern, Rule, RuleParts, RuleSet,
    Workspace, Workspaces,
};

fn workspace(name: &str, class: Option<Class>) -> Workspace {
    Workspace {
        name: name.into(),
        class,
        quota: None,
    }
}

fn rule(path: &str, customers: &[&str], class: Option<Class>) -> Rule {
    let patterns = customers.iter().map(|name| Pattern::new((*name).into()));
    Rule {
        name: path.into(),
        when: Condition {
            paths: vec![Pattern::new(path.into())],
            customers: patterns.collect(),
            ..Condition::default()
        },
        then: Action {
            class,
            ..Action::default()
        },
    }
}

fn rules(workspaces: Workspaces) -> RuleSet {
    RuleSet::new(RuleParts {
        classes: ["a", "b", "c", "d"].map(Into::into).to_vec(),
        default_class: 1,
        rules: vec![
            rule("/urgent", &[], Some(0)),
            rule("/late", &[], Some(3)),
            rule("/plain", &["norte"], None),
        ],
        refuse_unmatched: false,
        callers: CallerLimits::default(),
        workspaces,
    })
}

fn with_workspaces() -> RuleSet {
    let mut workspaces = Workspaces::default();
    assert!(workspaces.insert(workspace("norte", Some(2)), [KeyDigest::of(b"n")]));
    assert!(workspaces.insert(workspace("sul", None), [KeyDigest::of(b"s")]));
    rules(workspaces)
}

fn class(rules: &RuleSet, path: &str, customer: &str, parent_class: Option<Class>) -> Class {
    let call = CallAttributes {
        service: "",
        host: "",
        method: "GET",
        path,
        customer,
        parent_class,
        idempotent: true,
        attempt: 0,
    };
    rules.decide(&call).treatment.class
}

/// A rule's class that wins over the workspace's breaks K3.
#[test]
fn the_class_of_a_workspace_goes_before_that_of_the_rule() {
    let rules = with_workspaces();
    for (path, customer, expected) in [
        ("/urgent", "norte", 2),
        ("/late", "norte", 2),
        ("/plain", "norte", 2),
        ("/elsewhere", "norte", 2),
        ("/urgent", "sul", 0),
        ("/late", "sul", 3),
        ("/plain", "sul", 1),
        ("/late", "anonymous", 3),
    ] {
        let found = class(&rules, path, customer, None);
        assert_eq!(found, expected, "{path} for {customer}");
    }
}

/// A nested call that gets the class of its rule, as without workspaces, would be served before the
/// calls of other workspaces of its class.
#[test]
fn a_nested_call_gets_the_class_of_its_parent_where_there_are_workspaces() {
    let rules = with_workspaces();
    for path in ["/urgent", "/late", "/plain"] {
        for customer in ["norte", "sul", "anonymous"] {
            for parent in 0..4 {
                let found = class(&rules, path, customer, Some(parent));
                assert_eq!(found, parent, "{path} for {customer}");
            }
        }
    }
}

#[test]
fn without_workspaces_a_nested_call_gets_the_more_urgent_class_of_rule_and_parent() {
    let rules = rules(Workspaces::default());
    assert_eq!(class(&rules, "/urgent", "norte", None), 0);
    assert_eq!(class(&rules, "/urgent", "norte", Some(2)), 0);
    assert_eq!(class(&rules, "/late", "norte", Some(2)), 2);
    assert_eq!(class(&rules, "/plain", "norte", Some(3)), 1);
}

#[test]
fn a_condition_on_the_customer_sees_the_name_of_the_workspace() {
    let rules = with_workspaces();
    let matching = |customer| {
        let call = CallAttributes {
            service: "",
            host: "",
            method: "GET",
            path: "/plain",
            customer,
            parent_class: None,
            idempotent: true,
            attempt: 0,
        };
        rules.decide(&call).rule
    };
    assert_eq!((matching("norte"), matching("sul")), (Some(2), None));
}

#[test]
fn a_key_of_several_workspaces_identifies_none_in_any_order_of_insertion() {
    let keys = |names: &[&str]| -> Vec<KeyDigest> {
        let digests = names.iter().map(|name| KeyDigest::of(name.as_bytes()));
        digests.collect()
    };
    let mut workspaces = Workspaces::default();
    assert!(workspaces.is_empty());
    assert!(workspaces.insert(workspace("a", None), keys(&["k1", "both", "k1"])));
    assert!(!workspaces.insert(workspace("b", None), keys(&["both", "k2"])));
    assert!(!workspaces.insert(workspace("c", None), keys(&["k3", "both"])));
    assert!(!workspaces.insert(workspace("a", None), keys(&["k4"])));
    let holder = |key: &str| {
        let found = workspaces.find(&KeyDigest::of(key.as_bytes()));
        found.map(|workspace| workspace.name.to_string())
    };
    assert_eq!(holder("both"), None);
    assert_eq!(holder("k1").as_deref(), Some("a"));
    assert_eq!(holder("k2").as_deref(), Some("b"));
    assert_eq!(holder("k3").as_deref(), Some("c"));
    assert_eq!(
        holder("k4"),
        None,
        "a second workspace of a name is left out"
    );
}

#[test]
fn a_digest_is_read_from_its_text_form_and_from_no_other() {
    let digest = KeyDigest::of(b"abc");
    let text = digest.to_text();
    // The test vector of FIPS 180-2.
    assert_eq!(
        text,
        "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
    let upper = text.to_uppercase().replace("SHA256", "sha256");
    assert!(KeyDigest::from_text(&text) == Some(digest));
    assert!(KeyDigest::from_text(&upper) == Some(digest));
    for invalid in [
        "",
        "sha256:",
        &text[7..],
        &text[..70],
        &format!("{text}0"),
        &text.replace("ba78", "xa78"),
        &text.replace("ba78", "+a78"),
        &text.replace("ba78", "\u{e9}78"),
    ] {
        assert!(KeyDigest::from_text(invalid).is_none(), "{invalid}");
    }
}
