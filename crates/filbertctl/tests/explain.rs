//! `filbertctl explain` as a process, on logs of two instances.

use std::process::{Command, Output};

const ONE: &str = r#"{"msg":"configuration in force","ts":"2026-12-04T10:00:00Z","instance":"quimper-1","version":7}
 12.5 quimper-1 {"msg":"statement refused","ts":"2026-12-04T10:00:02Z","instance":"quimper-1","id":"7f","code":"busy"}
{"msg":"statement refused","ts":"2026-12-04T10:00:02Z","instance":"quimper-1","id":"8a","code":"busy"}
not a record
"#;

const OTHER: &str = r#"{"msg":"store lost","ts":"2026-12-04T10:00:03Z","instance":"nantes-1","error":"503"}
{"msg":"try lost","ts":"2026-12-04T10:00:04Z","instance":"nantes-1","id":"7f","endpoint":"i-1"}
"#;

fn explain(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_filbertctl"));
    command.arg("explain").args(arguments).output().unwrap()
}

#[test]
fn a_timeline_is_ordered_over_all_instances_and_shows_their_state() {
    let folder = tempfile::tempdir().unwrap();
    let paths = [("one", ONE), ("other", OTHER)].map(|(name, text)| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    });
    // The order of the files does not matter.
    let output = explain(&["7f", &paths[1], &paths[0]]);
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "  2026-12-04T10:00:00Z quimper-1 configuration in force version=7",
            "2026-12-04T10:00:02Z quimper-1 statement refused code=\"busy\" id=\"7f\"",
            "  2026-12-04T10:00:03Z nantes-1 store lost error=\"503\"",
            "2026-12-04T10:00:04Z nantes-1 try lost endpoint=\"i-1\" id=\"7f\"",
        ]
    );
}

#[test]
fn an_unknown_id_and_an_unreadable_log_have_different_exit_codes() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("one");
    std::fs::write(&path, ONE).unwrap();
    let path = path.display().to_string();
    assert_eq!(explain(&["99", &path]).status.code(), Some(1));
    let missing = explain(&["7f", "/nonexistent/log"]);
    assert_eq!(missing.status.code(), Some(2));
    let text = String::from_utf8(missing.stderr).unwrap();
    assert!(text.contains("/nonexistent/log"), "{text}");
}
