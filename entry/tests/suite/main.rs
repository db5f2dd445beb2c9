//! Tests of the entry process, one file a feature.

mod settings_page;
