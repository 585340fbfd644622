//! Tests of the entry daemon: settings, evidence, malformed input and whole fleets.

mod behavior;
mod evidence;
mod fleet;
mod input;

use sg_entry::Settings;

const VALID_SETTINGS: &str = r#"{"instance":"e1","domain":"vl-a","region":"vl","serve":"127.0.0.1:8101",
    "peer":"127.0.0.1:8201","admin":"127.0.0.1:8301","store":["127.0.0.1:8401"],
    "instances":"127.0.0.1:8402"}"#;

/// An instance without roles would start and serve nothing.
#[test]
fn settings_without_roles_have_all_roles() {
    let settings = Settings::parse(VALID_SETTINGS.as_bytes(), "e1.json").expect("reads");
    assert_eq!(settings.roles.len(), 2);
}

/// Without the path and the remedy, operators would have to search the file for the error.
#[test]
fn invalid_settings_report_file_path_and_remedy() {
    let cases = [
        (r#""127.0.0.1:8101""#, r#""nowhere""#, "serve"),
        (r#""e1","#, r#""e1","colour":"red","#, "colour"),
        (r#""vl-a""#, r#""v l""#, "domain"),
        (r#"["127.0.0.1:8401"]"#, "[]", "store"),
        (
            r#"["127.0.0.1:8401"]"#,
            r#"["127.0.0.1:8401", 7]"#,
            "store[1]",
        ),
        ("127.0.0.1:8201", "127.0.0.1:8101", "serve, peer, admin"),
        ("127.0.0.1:8301", "127.0.0.1:0", "serve, peer, admin"),
        (r#""e1","#, r#""e1","roles":[],"#, "roles"),
        ("}", "", "."),
    ];
    for (old, new, path) in cases {
        let text = VALID_SETTINGS.replacen(old, new, 1);
        let error = Settings::parse(text.as_bytes(), "e1.json").expect_err(new);
        let text = error.to_string();
        assert!(text.starts_with("e1.json: "), "{text}");
        assert!(text.contains(path), "{path}: {text}");
        assert!(text.contains(';'), "a remedy: {text}");
    }
}

/// The system's error alone does not name the missing file.
#[test]
fn a_missing_settings_file_is_reported_by_name() {
    let error = Settings::load("no-such-file.json").expect_err("missing");
    assert!(error.to_string().contains("no-such-file.json"), "{error}");
}
