//! Types of settings, with their validation and their text in the reference.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;

use coltsfoothook_decision::check::{NAME_RULE, is_valid_name};
use coltsfoothook_decision::id::{DomainName, RegionName, VmName};

use crate::document::join_path;
use crate::reference::ReferenceRow;
use crate::secret::SecretFile;

/// Invalid value of a setting, without a position in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Path of the key, such as `servers[2].address`.
    pub path: String,
    /// Description of the fault.
    pub problem: String,
    /// Allowed range or values.
    pub allowed: String,
}

/// Collects the faults found during validation and keeps the path of the struct being validated.
#[derive(Debug, Default)]
pub struct FaultList {
    prefix: String,
    faults: Vec<SettingsFault>,
}

impl FaultList {
    /// Records a fault of the field `key` of the current struct.
    pub fn add(&mut self, key: &str, problem: impl Into<String>, allowed: impl Into<String>) {
        let path = join_path(&self.prefix, key);
        self.faults.push(SettingsFault { path, problem: problem.into(), allowed: allowed.into() });
    }

    /// Runs `check` with the field `key` as the current struct.
    pub fn with_prefix(&mut self, key: &str, check: impl FnOnce(&mut Self)) {
        let inner = join_path(&self.prefix, key);
        let outer = std::mem::replace(&mut self.prefix, inner);
        check(self);
        self.prefix = outer;
    }

    /// Returns the recorded faults in the order in which they were found.
    #[must_use]
    pub fn into_faults(self) -> Vec<SettingsFault> {
        self.faults
    }
}

/// Type that a setting can have.
pub trait SettingValue {
    /// Returns the type's name for the reference.
    fn type_name() -> String;

    /// Returns the value's text in the default column of the reference; empty for a struct.
    fn reference_text(&self) -> String;

    /// Returns whether a required setting with this value counts as missing.
    fn is_unset(&self) -> bool {
        false
    }

    /// Records violations of the rules of the type. Ranges and `required` are checked separately.
    fn check_value(&self, _key: &str, _faults: &mut FaultList) {}

    /// Adds the value's rows to the reference: `row`, or the rows of its fields for a struct.
    fn add_rows(&self, row: ReferenceRow, rows: &mut Vec<ReferenceRow>) {
        rows.push(row);
    }

    /// Adds the rows of the type's fields, for a struct in a list or an option; other types add none.
    fn add_inner_rows(_row: &ReferenceRow, _rows: &mut Vec<ReferenceRow>) {}
}

/// Range check of a setting of type `Self` whose range is given in `R`.
pub trait RangeCheck<R> {
    /// Returns a description of the fault if the value is out of range.
    fn range_fault(&self, range: &RangeInclusive<R>) -> Option<String>;

    /// Returns the unit to print after the range, with a leading space; empty if the range limits the
    /// value itself.
    fn unit() -> &'static str {
        ""
    }
}

impl<T: PartialOrd + Display> RangeCheck<T> for T {
    fn range_fault(&self, range: &RangeInclusive<T>) -> Option<String> {
        (!range.contains(self)).then(|| format!("{self} is out of range"))
    }
}

impl<T: PartialOrd + Display> RangeCheck<T> for Option<T> {
    fn range_fault(&self, range: &RangeInclusive<T>) -> Option<String> {
        self.as_ref().and_then(|value| value.range_fault(range))
    }
}

impl RangeCheck<usize> for String {
    fn range_fault(&self, range: &RangeInclusive<usize>) -> Option<String> {
        (!range.contains(&self.len())).then(|| format!("it has {} bytes", self.len()))
    }

    fn unit() -> &'static str {
        " bytes"
    }
}

impl<T> RangeCheck<usize> for Vec<T> {
    fn range_fault(&self, range: &RangeInclusive<usize>) -> Option<String> {
        (!range.contains(&self.len())).then(|| format!("it has {} entries", self.len()))
    }

    fn unit() -> &'static str {
        " entries"
    }
}

macro_rules! unquoted_values {
    ($($type:ty: $name:literal;)*) => {$(
        impl SettingValue for $type {
            fn type_name() -> String {
                $name.to_owned()
            }

            fn reference_text(&self) -> String {
                self.to_string()
            }
        }
    )*};
}

unquoted_values! {
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

            fn reference_text(&self) -> String {
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

            fn reference_text(&self) -> String {
                format!("{:?}", self.as_str())
            }

            fn is_unset(&self) -> bool {
                self.as_str().is_empty()
            }

            fn check_value(&self, key: &str, faults: &mut FaultList) {
                if !self.is_unset() && !is_valid_name(self.as_str()) {
                    faults.add(key, "invalid name", NAME_RULE);
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

    fn reference_text(&self) -> String {
        self.as_ref().map_or_else(|| "none".to_owned(), T::reference_text)
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

    fn reference_text(&self) -> String {
        let values: Vec<_> = self.iter().map(T::reference_text).collect();
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

/// Records a fault if `value` is outside `range`.
#[doc(hidden)]
pub fn check_range<R: Display, T: RangeCheck<R>>(
    value: &T,
    key: &str,
    range: &RangeInclusive<R>,
    faults: &mut FaultList,
) {
    if let Some(problem) = value.range_fault(range) {
        faults.add(key, problem, range_text(value, range));
    }
}

/// Records a fault if the required `value` is missing.
#[doc(hidden)]
pub fn check_present<T: SettingValue>(value: &T, key: &str, faults: &mut FaultList) {
    if value.is_unset() {
        faults.add(key, "it must be given", T::type_name());
    }
}

/// Formats a range with its unit; `value` only selects the type.
#[doc(hidden)]
pub fn range_text<R: Display, T: RangeCheck<R>>(_value: &T, range: &RangeInclusive<R>) -> String {
    format!("{} to {}{}", range.start(), range.end(), T::unit())
}
