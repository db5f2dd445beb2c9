//! Credentials are looked up by hash, and hashes are never printed.

use coltsfoothook_decision::credential::{CredentialHash, CredentialTable};

#[test]
fn found_by_hash() {
    let entries = (0..500).map(|n| (CredentialHash::of(&format!("secret-{n}")), n)).collect();
    let table = CredentialTable::new(entries);
    for n in 0..500 {
        assert_eq!(table.find(&format!("secret-{n}")), Some(&n));
    }
    assert_eq!(table.find("secret-500"), None);
    assert_eq!(table.find(""), None);
}

/// A secret shared by an operator and a customer would let that customer make operator calls.
#[test]
fn roles_apart() {
    let table = |credentials: &[&str]| {
        CredentialTable::new(
            credentials.iter().map(|credential| (CredentialHash::of(credential), ())).collect(),
        )
    };
    let operators = table(&["o1", "o2"]);
    assert!(operators.find("t1").is_none());
    assert!(!operators.overlaps(&table(&["t1", "t2"])));
    assert!(operators.overlaps(&table(&["t1", "o2"])));
}

#[test]
fn hash_text() {
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert!(CredentialHash::parse(empty).expect("a hash").matches(&CredentialHash::of("")));
    assert_eq!(CredentialHash::of("").to_hex(), empty);
    for bad in ["", "e3", &empty.replace('e', "g"), &format!("{empty}00"), &"é".repeat(32)] {
        assert!(CredentialHash::parse(bad).is_err());
    }
}

#[test]
fn never_printed() {
    let hash = CredentialHash::of("hunter2");
    assert!(!format!("{hash:?}").contains(&hash.to_hex()[..8]));
}
