//! Macros that declare settings.

/// Declares a struct of settings; see the crate documentation for the grammar and an example.
///
/// Nothing may follow the word `required`. The optional lifetime in its pattern is never given; it exists
/// because a repetition in the expansion needs a metavariable of the pattern.
#[macro_export]
macro_rules! settings_struct {
    (
        $(#[$meta:meta])*
        $vis:vis struct $name:ident {
            $(
                $(#[doc = $doc:literal])*
                $field_vis:vis $field:ident: $type:ty = $default:expr
                    $(, in $range:expr)? $(, required $($never:lifetime)?)?;
            )*
        }
        $(check $check:path)?
    ) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, $crate::serde::Serialize, $crate::serde::Deserialize)]
        #[serde(crate = "coltsfoothook_settings::serde", deny_unknown_fields, default)]
        $vis struct $name {
            $(
                $(#[doc = $doc])*
                $field_vis $field: $type,
            )*
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        impl $crate::SettingValue for $name {
            fn type_name() -> String {
                "object".to_owned()
            }

            fn reference_text(&self) -> String {
                String::new()
            }

            fn check_value(&self, key: &str, faults: &mut $crate::FaultList) {
                faults.with_prefix(key, |faults| {
                    $(
                        $crate::SettingValue::check_value(&self.$field, stringify!($field), faults);
                        $($crate::check_range(&self.$field, stringify!($field), &($range), faults);)?
                        $($($never)? $crate::check_present(&self.$field, stringify!($field), faults);)?
                    )*
                    $($check(self, faults);)?
                });
            }

            fn add_inner_rows(row: &$crate::ReferenceRow, rows: &mut Vec<$crate::ReferenceRow>) {
                $crate::SettingValue::add_rows(&Self::default(), row.clone(), rows);
            }

            fn add_rows(&self, row: $crate::ReferenceRow, rows: &mut Vec<$crate::ReferenceRow>) {
                $(
                    let field_row = row.field(stringify!($field), &self.$field, &[$($doc),*]);
                    $(let field_row = field_row.with_range($crate::range_text(&self.$field, &($range)));)?
                    $($($never)? let field_row = field_row.required();)?
                    $crate::SettingValue::add_rows(&self.$field, field_row, rows);
                )*
            }
        }

        impl $crate::CheckedSettings for $name {
            fn check(&self) -> Vec<$crate::SettingsFault> {
                let mut faults = $crate::FaultList::default();
                $crate::SettingValue::check_value(self, "", &mut faults);
                faults.into_faults()
            }
        }
    };
}

/// Declares an enum for a setting with a fixed set of values; each variant is given with its text in the file.
#[macro_export]
macro_rules! settings_choice {
    (
        $(#[$meta:meta])*
        $vis:vis enum $name:ident {
            $( $(#[$variant_meta:meta])* $variant:ident = $text:literal, )*
        }
    ) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq,
            $crate::serde::Serialize, $crate::serde::Deserialize,
        )]
        #[serde(crate = "coltsfoothook_settings::serde")]
        $vis enum $name {
            $(
                $(#[$variant_meta])*
                #[serde(rename = $text)]
                $variant,
            )*
        }

        impl $crate::SettingValue for $name {
            fn type_name() -> String {
                let texts: &[&str] = &[$(concat!("`", $text, "`")),*];
                texts.join(" or ")
            }

            fn reference_text(&self) -> String {
                match self {
                    $(Self::$variant => format!("{:?}", $text),)*
                }
            }
        }
    };
}
