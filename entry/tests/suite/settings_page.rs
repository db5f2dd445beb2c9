//! Checks that docs/SETTINGS.md matches the declarations; `UPDATE_EXPECT=1` regenerates it.

use coltsfoothook_ctl::CtlSettings;
use coltsfoothook_entry::EntrySettings;
use coltsfoothook_gateway::GatewaySettings;
use coltsfoothook_settings::{parse_settings, reference_page, reference_rows};
use coltsfoothook_standin::{
    EngineServerSettings, PlatformServerSettings, ServiceServerSettings, StoreServerSettings,
};
use expect_test::expect_file;

const HEAD: &str = "\
# Settings

Made from the declarations in the code; a test compares it with them. A settings file is JSON with
comments. A key that is left out has its default, and an unknown key is refused. A key like
`caller.listen` is written as `{ \"caller\": { \"listen\": … } }`. Files that a setting names are found from
the process's working directory where their path is relative.

";

#[test]
fn page_in_step() {
    let sections = [
        reference_page("coltsfoothook-entry", &reference_rows::<EntrySettings>()),
        reference_page("coltsfoothook-gateway", &reference_rows::<GatewaySettings>()),
        reference_page("coltsfoothook-ctl", &reference_rows::<CtlSettings>()),
        reference_page("coltsfoothook-standin-engine", &reference_rows::<EngineServerSettings>()),
        reference_page("coltsfoothook-standin-service", &reference_rows::<ServiceServerSettings>()),
        reference_page("coltsfoothook-standin-log", &reference_rows::<PlatformServerSettings>()),
        reference_page("coltsfoothook-standin-store", &reference_rows::<StoreServerSettings>()),
    ];
    let page = format!("{HEAD}{}", sections.join("\n"));
    expect_file!["../../../docs/SETTINGS.md"].assert_eq(&page);
}

#[test]
fn manual_example() {
    let manual = include_str!("../../../docs/OPERATORS.md");
    let (_, rest) = manual.split_once("<!-- example: entry -->\n```json\n").expect("the example");
    let (example, _) = rest.split_once("```").expect("its end");
    let settings = parse_settings::<EntrySettings>("entry.json", example);
    let settings = settings.unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(settings.vm.as_str(), "nbo-1");
}
