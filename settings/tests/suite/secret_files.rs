//! Secrets are read from files and never printed.

use coltsfoothook_settings::SecretFile;

#[test]
fn never_printed() {
    let path = std::env::temp_dir().join(format!("coltsfoothook-secret-{}", std::process::id()));
    std::fs::write(&path, "hunter2\n").expect("a file");
    let secret = SecretFile::new(&path).read();
    std::fs::write(&path, "\n").expect("a file");
    let empty = SecretFile::new(&path).read().expect_err("an empty secret");
    std::fs::remove_file(&path).expect("the file is there");
    let gone = SecretFile::new(&path).read().expect_err("no file");
    let secret = secret.expect("a secret");
    assert_eq!(secret.expose(), "hunter2");
    assert_eq!(format!("{secret:?}"), "***");
    assert!(empty.to_string().ends_with("is empty"), "{empty}");
    assert!(gone.to_string().contains("No such file"), "{gone}");
}
