//! Shows that the settings reference says what the code does.

#[test]
fn the_reference_is_what_the_code_says() {
    let page = include_str!("../../../../docs/SETTINGS.md");
    let wanted = sg_tree::reference::markdown();
    assert_eq!(
        page, wanted,
        "write it anew with 'sg tree reference > docs/SETTINGS.md'"
    );
}
