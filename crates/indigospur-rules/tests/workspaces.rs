//! Workspaces, and the class that their calls get.

use indigospur_protocol::Class;
use indigospur_rules::{
    Action, CallAttributes, CallerLimits, Condition, KeyDigest, Pattern, Quota, Rule, RuleParts,
    RuleSet, Workspace, Workspaces, parse,
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

/// A rule set with two workspaces, the second on line 6; `second` are further lines of that.
fn toml(second: &str) -> String {
    let digest = |key: &str| KeyDigest::of(key.as_bytes()).to_text();
    format!(
        "[[workspace]]\nname = \"norte\"\nkeys = [\"{}\",\n\"{}\"]\n\n[[workspace]]\nname = \"sul\"\n{second}\n\
         [[rule]]\nname = \"health\"\nwhen.path = \"/health\"\nthen.public = true\n",
        digest("n-1"),
        digest("n-2")
    )
}

#[test]
fn workspaces_and_public_rules_are_read_from_toml() {
    let digest = KeyDigest::of(b"s").to_text();
    let text = toml(&format!(
        "keys = [\"{digest}\"]\nclass = \"background\"\nrate = 2.5\nburst = 10"
    ));
    let rules = parse("rules.toml", &text).expect("the rule set is valid");
    let found = rules.workspaces.find(&KeyDigest::of(b"s"));
    let expected = Workspace {
        name: "sul".into(),
        class: Some(2),
        quota: Some(Quota {
            rate: 2.5,
            burst: 10.0,
        }),
    };
    assert_eq!(found.map(|found| &**found), Some(&expected));
    for key in [b"n-1", b"n-2"] {
        let found = rules.workspaces.find(&KeyDigest::of(key));
        let found = found.expect("the key is listed");
        assert_eq!(
            (&*found.name, found.class, found.quota),
            ("norte", None, None)
        );
    }
    assert!(rules.rules[0].then.public);
    let without = parse("rules.toml", "[[rule]]\nname = \"a\"\n").expect("it is valid");
    assert!(without.workspaces.is_empty() && !without.rules[0].then.public);
}

#[test]
fn a_rate_of_zero_means_no_limit_and_a_limit_needs_no_burst() {
    for (second, expected) in [
        ("", None),
        ("rate = 0", None),
        ("rate = 0.0\nburst = 5", None),
        ("rate = 7", Some((7.0, 0.0))),
    ] {
        let rules = parse("rules.toml", &toml(second)).expect("the rule set is valid");
        let sul = rules.workspaces.get("sul").expect("it is listed");
        let quota = sul.quota.map(|quota| (quota.rate, quota.burst));
        assert_eq!(quota, expected, "{second}");
    }
}

#[test]
fn invalid_workspaces_are_reported_with_their_place_and_without_keys() {
    let shared = KeyDigest::of(b"n-1").to_text();
    let shared = format!("keys = [\"{shared}\"]");
    let cases = [
        (
            "rate = -1",
            "rules.toml:8: workspace[2].rate: -1 is not allowed",
        ),
        (
            "rate = inf",
            "rules.toml:8: workspace[2].rate: inf is not allowed",
        ),
        ("rate = nan", "workspace[2].rate: "),
        ("rate = \"10\"", "workspace[2].rate: "),
        (
            "rate = 1\nburst = -0.5",
            "rules.toml:9: workspace[2].burst: -0.5 is not",
        ),
        (
            "burst = 5",
            "rules.toml:8: workspace[2].burst: there is no rate",
        ),
        (
            "class = \"x\"",
            "rules.toml:8: workspace[2].class: unknown class",
        ),
        (
            "keys = \"secret\"",
            "rules.toml:8: workspace[2].keys: not a list",
        ),
        (
            "keys = [\"secret\"]",
            "rules.toml:8: workspace[2].keys: entry 1 of the list",
        ),
        ("keys = [\"sha256:secret\"]", "workspace[2].keys: entry 1"),
        (
            "keys = [\n5432101]",
            "rules.toml:9: workspace[2].keys: entry 1",
        ),
        (
            &shared,
            "rules.toml:8: workspace[2].keys: a key of this workspace is",
        ),
        ("kyes = []", "rules.toml:8: workspace[2].kyes: unknown key"),
        (
            "[[workspace]]\nname = \"norte\"",
            "rules.toml:9: workspace[3].name: duplicate workspace name \"norte\"",
        ),
        (
            "[[workspace]]\nname = \"a\\nb\"",
            "rules.toml:9: workspace[3].name: the name can't be sent",
        ),
        ("[[workspace]]\nkeys = []", "workspace[3].name: missing"),
    ];
    for (second, expected) in cases {
        let problems = parse("rules.toml", &toml(second)).expect_err(second);
        let text = problems.to_string();
        assert_eq!(problems.0.len(), 1, "{second}: {text}");
        assert!(text.contains(expected), "{second}: {text}");
        assert!(
            !text.contains("secret") && !text.contains("5432101"),
            "{text}"
        );
        assert!(!text.contains(&shared[9..25]), "{text}");
    }
}
