//! What a setting may be, and how its value is checked and shown.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;

use coltsfoothook_decision::check::{NAME_RULE, is_valid_name};
use coltsfoothook_decision::id::{DomainName, RegionName, VmName};

use crate::document::join_path;
use crate::reference::ReferenceRow;
use crate::secret::SecretFile;

/// A value outside what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The path of the key.
    pub path: String,
    /// What is wrong, with the value.
    pub problem: String,
    /// The range or the values that are allowed.
    pub allowed: String,
}

/// Collects faults under the path of the struct that is being checked.
#[derive(Debug, Default)]
pub struct FaultList {
    prefix: String,
    faults: Vec<SettingsFault>,
}

impl FaultList {
    /// Adds a fault of the field `key` of the struct that is being checked.
    pub fn add(&mut self, key: &str, problem: impl Into<String>, allowed: impl Into<String>) {
        let path = join_path(&self.prefix, key);
        self.faults.push(SettingsFault { path, problem: problem.into(), allowed: allowed.into() });
    }

    /// Runs `check` with paths below the field `key`.
    pub fn within(&mut self, key: &str, check: impl FnOnce(&mut Self)) {
        let inner = join_path(&self.prefix, key);
        let outer = std::mem::replace(&mut self.prefix, inner);
        check(self);
        self.prefix = outer;
    }

    /// The faults found.
    #[must_use]
    pub fn into_faults(self) -> Vec<SettingsFault> {
        self.faults
    }
}

/// The type of a setting.
pub trait SettingValue {
    /// The type's name in the reference.
    fn type_name() -> String;

    /// The value as it would stand in a file.
    fn shown(&self) -> String;

    /// Whether it counts as not given, for settings that are required.
    fn is_unset(&self) -> bool {
        false
    }

    /// Checks the value by the rules of its type; ranges come on top.
    fn check_value(&self, _key: &str, _faults: &mut FaultList) {}

    /// Adds the value's rows to the reference: one, or those of its fields for a struct.
    fn add_rows(&self, row: ReferenceRow, rows: &mut Vec<ReferenceRow>) {
        rows.push(row);
    }

    /// Adds the rows of the fields of a struct that stands in a list or may be left out.
    fn add_inner_rows(_row: &ReferenceRow, _rows: &mut Vec<ReferenceRow>) {}
}

/// Whether a value lies in a range, and how the range is told.
pub trait RangeCheck<R> {
    /// What is wrong, if anything.
    fn out_of(&self, range: &RangeInclusive<R>) -> Option<String>;

    /// What the range counts, after its numbers; empty for the value itself.
    fn unit() -> &'static str {
        ""
    }
}

impl<T: PartialOrd + Display> RangeCheck<T> for T {
    fn out_of(&self, range: &RangeInclusive<T>) -> Option<String> {
        (!range.contains(self)).then(|| format!("{self} is out of range"))
    }
}

impl<T: PartialOrd + Display> RangeCheck<T> for Option<T> {
    fn out_of(&self, range: &RangeInclusive<T>) -> Option<String> {
        self.as_ref().and_then(|value| value.out_of(range))
    }
}

impl RangeCheck<usize> for String {
    fn out_of(&self, range: &RangeInclusive<usize>) -> Option<String> {
        (!range.contains(&self.len())).then(|| format!("it has {} bytes", self.len()))
    }

    fn unit() -> &'static str {
        " bytes"
    }
}

impl<T> RangeCheck<usize> for Vec<T> {
    fn out_of(&self, range: &RangeInclusive<usize>) -> Option<String> {
        (!range.contains(&self.len())).then(|| format!("it has {} entries", self.len()))
    }

    fn unit() -> &'static str {
        " entries"
    }
}

macro_rules! plain_values {
    ($($type:ty: $name:literal;)*) => {$(
        impl SettingValue for $type {
            fn type_name() -> String {
                $name.to_owned()
            }

            fn shown(&self) -> String {
                self.to_string()
            }
        }
    )*};
}

plain_values! {
    bool: "true or false";
    u16: "whole number";
    u32: "whole number";
    u64: "whole number";
    usize: "whole number";
    i64: "whole number";
    f64: "number";
}

macro_rules! quoted_values {
    ($($type:ty: $name:literal, $text:expr;)*) => {$(
        impl SettingValue for $type {
            fn type_name() -> String {
                $name.to_owned()
            }

            fn shown(&self) -> String {
                format!("{:?}", $text(self))
            }

            fn is_unset(&self) -> bool {
                $text(self).is_empty()
            }
        }
    )*};
}

quoted_values! {
    String: "text", Clone::clone;
    PathBuf: "path", |path: &PathBuf| path.display().to_string();
    SocketAddr: "IP number and port", SocketAddr::to_string;
    IpAddr: "IP number", IpAddr::to_string;
    SecretFile: "path of a file with a secret", |file: &SecretFile| file.path().display().to_string();
}

macro_rules! name_values {
    ($($type:ty: $name:literal;)*) => {$(
        impl SettingValue for $type {
            fn type_name() -> String {
                $name.to_owned()
            }

            fn shown(&self) -> String {
                format!("{:?}", self.as_str())
            }

            fn is_unset(&self) -> bool {
                self.as_str().is_empty()
            }

            fn check_value(&self, key: &str, faults: &mut FaultList) {
                if !self.is_unset() && !is_valid_name(self.as_str()) {
                    faults.add(key, "the name is not allowed", NAME_RULE);
                }
            }
        }
    )*};
}

name_values! {
    VmName: "name of an entry VM";
    DomainName: "name of a failure domain";
    RegionName: "name of a region";
}

impl<T: SettingValue> SettingValue for Option<T> {
    fn type_name() -> String {
        T::type_name()
    }

    fn shown(&self) -> String {
        self.as_ref().map_or_else(|| "none".to_owned(), T::shown)
    }

    fn is_unset(&self) -> bool {
        self.is_none()
    }

    fn check_value(&self, key: &str, faults: &mut FaultList) {
        if let Some(value) = self {
            value.check_value(key, faults);
        }
    }

    fn add_rows(&self, row: ReferenceRow, rows: &mut Vec<ReferenceRow>) {
        rows.push(row.clone());
        T::add_inner_rows(&row, rows);
    }
}

impl<T: SettingValue> SettingValue for Vec<T> {
    fn type_name() -> String {
        format!("list of: {}", T::type_name())
    }

    fn shown(&self) -> String {
        let values: Vec<_> = self.iter().map(T::shown).collect();
        format!("[{}]", values.join(", "))
    }

    fn is_unset(&self) -> bool {
        self.is_empty()
    }

    fn check_value(&self, key: &str, faults: &mut FaultList) {
        for (at, value) in self.iter().enumerate() {
            value.check_value(&format!("{key}[{at}]"), faults);
        }
    }

    fn add_rows(&self, row: ReferenceRow, rows: &mut Vec<ReferenceRow>) {
        let element = ReferenceRow { key: format!("{}[]", row.key), ..ReferenceRow::default() };
        rows.push(row);
        T::add_inner_rows(&element, rows);
    }
}

/// Adds a fault if `value` lies outside `range`.
#[doc(hidden)]
pub fn check_range<R: Display, T: RangeCheck<R>>(
    value: &T,
    key: &str,
    range: &RangeInclusive<R>,
    faults: &mut FaultList,
) {
    if let Some(problem) = value.out_of(range) {
        faults.add(key, problem, range_text(value, range));
    }
}

/// Adds a fault if `value` is not given.
#[doc(hidden)]
pub fn check_given<T: SettingValue>(value: &T, key: &str, faults: &mut FaultList) {
    if value.is_unset() {
        faults.add(key, "it must be given", T::type_name());
    }
}

/// How a range is told.
#[doc(hidden)]
pub fn range_text<R: Display, T: RangeCheck<R>>(_value: &T, range: &RangeInclusive<R>) -> String {
    format!("{} to {}{}", range.start(), range.end(), T::unit())
}
