//! Settings of an instance of the control plane, and the adapter's decoders on valid input.

use assert_matches::assert_matches;
use currantgw::control::model::Invalid;
use currantgw::control::policy::features::Features;
use currantgw::control::settings::NodeSettings;
use currantgw::ingress::limits::Machine;
use currantgw::kernel::res::Resources;
use currantgw::options::SettingsError;
use currantgw::platform::{callers, catalogue, runners};

const NODE: &str = r#"{"id": "n", "domain": "z", "front": "127.0.0.1:1", "ready": "127.0.0.1:2",
 "links": "127.0.0.1:3", "metrics": "127.0.0.1:4", "store": "127.0.0.1:5",
 "advice": "127.0.0.1:6", "hold_max_ms": 10000, "grace_ms": 6000, "keep_ms": 120000}"#;

#[test]
fn valid_settings_are_accepted() {
    let s = NodeSettings::parse(NODE).unwrap();
    assert_eq!((s.id.as_str(), s.grace_ms), ("n", 6_000));
}

#[test]
fn settings_without_a_field_name_it() {
    let text = NODE.replace(r#""store": "127.0.0.1:5","#, "");
    let err = NodeSettings::parse(&text).unwrap_err();
    assert_matches!(&err, SettingsError::Parse(_));
    assert!(err.to_string().contains("store"), "{err}");
}

#[test]
fn settings_with_an_unknown_field_are_refused() {
    let text = NODE.replace(r#""id": "n","#, r#""id": "n", "extra": 1,"#);
    assert_matches!(NodeSettings::parse(&text), Err(SettingsError::Parse(_)));
}

#[test]
fn settings_with_a_bad_address_are_refused() {
    let text = NODE.replace("127.0.0.1:1", "nowhere");
    assert_matches!(NodeSettings::parse(&text), Err(SettingsError::Parse(_)));
}

#[test]
fn settings_out_of_range_are_refused() {
    let text = NODE.replace(r#""hold_max_ms": 10000"#, r#""hold_max_ms": 10"#);
    let err = NodeSettings::parse(&text).unwrap_err();
    assert_matches!(&err, SettingsError::Range { value: 10, min: 1_000, .. });
    assert!(err.to_string().contains("hold_max_ms"), "{err}");
}

#[test]
fn a_missing_settings_file_is_named() {
    let err = NodeSettings::load("/nonexistent/settings.json".as_ref()).unwrap_err();
    assert!(err.to_string().contains("/nonexistent/settings.json"));
}

#[test]
fn a_processor_share_of_zero_is_refused() {
    let text = NODE.replacen('{', "{\"share\": 0.0,", 1);
    let err = NodeSettings::parse(&text).unwrap_err();
    assert_matches!(err, SettingsError::Range { field, .. } if field.starts_with("share"));
    assert_eq!(NodeSettings::parse(NODE).unwrap().millis(), 1_000);
}

/// The settings template that the platform fills in yields valid settings.
#[test]
fn the_settings_template_yields_valid_settings() {
    let text = include_str!("../platform/settings.json.tmpl");
    let filled = text
        .replace("{{node|json}}", "\"n\"")
        .replace("{{zone|json}}", "\"z\"")
        .replace("{{listen_addrs.frontend|json}}", "\"127.0.0.1:1\"")
        .replace("{{listen_addrs.ready|json}}", "\"127.0.0.1:2\"")
        .replace("{{ip}}:{{port_range.0}}", "127.0.0.1:3")
        .replace("{{ip}}", "127.0.0.1")
        .replace("{{limits.cpu_share}}", "0.25")
        .replace("{{platform.address|json}}", "\"127.0.0.1:5\"")
        .replace("{{platform.cross_partition|json}}", "true")
        .replace("{{recommendation|json}}", "\"127.0.0.1:6\"")
        .replace("{{bounds.hold_max_ms}}", "10000")
        .replace("{{bounds.grace_s}}", "6")
        .replace("{{bounds.status_s}}", "120")
        .replace("{{contracts|json}}", r#"["base","tenants"]"#)
        .replace("{{bounds.config_apply_ms}}", "3000")
        .replace("{{bounds.max_stretch_ms}}", "6000");
    // Sections: once without a value, once with one.
    let sections = [
        ("{{#bounds.revoke_strict}}", "{{/bounds.revoke_strict}}", ""),
        ("{{#bounds.revoke_ms}}", "{{/bounds.revoke_ms}}", "4000"),
        ("{{#limits.link_mbps}}", "{{/limits.link_mbps}}", "20"),
        ("{{#limits.memory_mb}}", "{{/limits.memory_mb}}", "120"),
        ("{{#limits.max_fds}}", "{{/limits.max_fds}}", "3075"),
        ("{{#bounds.stop_ms}}", "{{/bounds.stop_ms}}", "400"),
        ("{{#bounds.restore_ms}}", "{{/bounds.restore_ms}}", "100"),
        ("{{#bounds.checkpoint_s}}", "{{/bounds.checkpoint_s}}", "0.5"),
    ];
    let render = |present: bool| {
        sections.iter().fold(filled.clone(), |text, (begin, end, value)| {
            let (before, rest) = text.split_once(begin).expect("the section begins");
            let (inside, after) = rest.split_once(end).expect("the section ends");
            let inside = if present { inside.replace("{{.}}", value) } else { String::new() };
            format!("{before}{inside}{after}")
        })
    };
    let s = NodeSettings::parse(&render(true)).expect("a template filled in");
    let rules = s.access_rules();
    assert_eq!((s.revoke_strict, rules.teams, rules.max_age_ms), (true, true, 4_000));
    assert_eq!((s.stop_ms, s.link_mbps), (400, Some(20.0)));
    assert_eq!((s.restore_ms, s.checkpoint_s), (Some(100), Some(0.5)));
    assert_eq!(s.machine(), Machine { memory: 120 << 20, fds: 3_075 });
    let filled = render(false);
    let s = NodeSettings::parse(&filled).expect("a template filled in");
    assert_eq!((s.keep_ms, s.grace_ms, s.millis()), (120_000, 6_000, 250));
    assert_eq!((s.stop_ms, s.link_mbps), (1_000, None));
    assert_eq!(s.machine(), Machine { memory: 256 << 20, fds: 4_096 });
}

#[test]
fn a_machine_too_small_for_an_instance_is_refused() {
    for (name, value) in [("memory_mb", "31"), ("memory_mb", "-1"), ("max_fds", "255")] {
        let text = NODE.replacen('{', &format!("{{\"{name}\": {value},"), 1);
        let err = NodeSettings::parse(&text).unwrap_err();
        assert_matches!(err, SettingsError::Range { field, .. } if field == name);
    }
}

#[test]
fn a_link_without_bandwidth_is_refused() {
    for mbps in ["0", "-1", "0.01"] {
        let text = NODE.replacen('{', &format!("{{\"link_mbps\": {mbps},"), 1);
        let err = NodeSettings::parse(&text).unwrap_err();
        assert_matches!(err, SettingsError::Range { field, .. } if field == "link_mbps");
    }
}

/// Guards against features that change how a deployment is served that does not ask for them.
#[test]
fn features_are_on_where_interruptions_are_cheap_or_the_settings_say_so() {
    let with = |fields: &str| NODE.replacen('{', &format!("{{{fields},"), 1);
    let features = |fields: &str| NodeSettings::parse(&with(fields)).unwrap().features();
    let all = Features { overload_control: true, urgent_preemption: true, runner_speeds: true };
    assert_eq!(NodeSettings::parse(NODE).unwrap().features(), Features::default());
    let cheap = r#""stop_ms": 400, "restore_ms": 100, "checkpoint_s": 0.5"#;
    assert_eq!(features(cheap), all);
    let dear = r#""stop_ms": 200, "restore_ms": 600, "checkpoint_s": 1"#;
    assert_eq!(features(dear), Features::default());
    let unknown = r#""stop_ms": 400, "checkpoint_s": 0.5"#;
    assert_eq!(features(unknown), Features::default());
    let off = format!(r#"{cheap}, "scheduling": {{"runner_speeds": "off"}}"#);
    assert_eq!(features(&off), Features { runner_speeds: false, ..all });
    let on = format!(r#"{dear}, "scheduling": {{"urgent_preemption": "on"}}"#);
    assert_eq!(features(&on), Features { urgent_preemption: true, ..Features::default() });
}

#[test]
fn invalid_features_are_refused() {
    let with = |fields: &str| NODE.replacen('{', &format!("{{{fields},"), 1);
    let parse = |fields: &str| NodeSettings::parse(&with(fields));
    assert_matches!(parse(r#""scheduling": {"speeds": "on"}"#), Err(SettingsError::Parse(_)));
    assert_matches!(
        parse(r#""scheduling": {"runner_speeds": "maybe"}"#),
        Err(SettingsError::Parse(_))
    );
    let err = parse(r#""checkpoint_s": -0.5"#).unwrap_err();
    assert_matches!(&err, SettingsError::Range { field, .. } if field == "checkpoint_s");
    let err = parse(r#""restore_ms": 9999999999999"#).unwrap_err();
    assert_matches!(&err, SettingsError::Range { field, .. } if field == "restore_ms");
}

#[test]
fn the_adapter_decodes_jobs_and_names_errors() {
    let body = br#"{"spec":"s","phases":[{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":900,
        "data_locality":"r1-3","new_field":1},{"count":1,"cpu":1,"after":[0],"gang":true}]}"#;
    let job = callers::job(body).unwrap();
    assert_eq!(job.steps[0].need, Resources { cpu: 500, mem: 256, acc: 0 });
    assert_eq!((job.steps[0].rack.as_str(), job.steps[1].gang), ("r1-3", true));
    assert_matches!(callers::job(b"{"), Err(Invalid::Body(_)));
    assert!(callers::job(b"[]").is_err());
    assert_matches!(
        callers::job(br#"{"phases":[{"count":1,"after":[0]}]}"#),
        Err(Invalid::After(0))
    );
    assert_matches!(
        callers::job(br#"{"phases":[{"count":1000},{"count":1000},{"count":9}]}"#),
        Err(Invalid::Tasks)
    );
}

#[test]
fn the_adapter_reads_the_catalogue_and_finds_the_longest_prefix() {
    let body = br#"{"version":7,"routes":[
        {"name":"a","host":"H.example","path_prefix":"/x/","service":"s","priority":0},
        {"name":"b","host":"h.example","path_prefix":"/x/y/","service":"s","max_attempts":3,
         "recommendation":{"decision_ms":6.5,"per_item_ms":0.1,"validity_ms":2000}}],
        "services":[{"name":"s"}],"limits":{}}"#;
    let cat = catalogue::decode(body).unwrap();
    assert_eq!(cat.version, 7);
    assert_eq!(cat.find("h.example:80", "/x/y/1").unwrap().name, "b");
    assert_eq!(cat.find("h.example", "/x/1").unwrap().name, "a");
    assert!(cat.find("other.example", "/x/1").is_none());
    assert!((cat.queues["b"].approval.unwrap().cost_ms(30) - 9.5).abs() < 1e-9);
    assert!(catalogue::decode(b"{}").is_err());
}

#[test]
fn the_adapter_reads_registry_entries() {
    let body = br#"{"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,
        "state":"draining","capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],
        "sequence":4}"#;
    let e = runners::entry(body).unwrap();
    assert!(e.draining && e.labels.contains("a"));
    assert_eq!((e.rack.as_str(), e.capacity.mem), ("r1-3", 32_768));
    assert!(runners::entry(b"{}").is_err());
}
