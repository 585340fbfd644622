//! Tests that the settings reference in `docs/SETTINGS.md` is up to date with the code.

#[test]
fn the_settings_reference_is_up_to_date() {
    let page = include_str!("../../../../docs/SETTINGS.md");
    let expected = sg_tree::reference::markdown();
    assert_eq!(
        page, expected,
        "regenerate it with 'sg tree reference > docs/SETTINGS.md'"
    );
}
