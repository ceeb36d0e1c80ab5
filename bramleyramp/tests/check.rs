//! Tests of `bramleyramp check`: its exit codes and the validation errors that it prints.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

const FLEET: &str = "\
[data-centre boston]
region = east
[service ledger]
address = 10.0.0.1:443
[server ledger-1]
service = ledger
data_centre = boston
agent = 127.0.0.1:7001
control = 127.0.0.1:7002
";

/// Directory of one test, initially empty.
struct Files {
    dir: PathBuf,
}

impl Files {
    fn new(test: &str) -> Files {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).unwrap();
        Files { dir }
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.dir.join(name), text).unwrap();
    }

    fn check(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_bramleyramp"))
            .arg("check")
            .args(args)
            .current_dir(&self.dir)
            .output()
            .unwrap()
    }
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

#[test]
fn files_without_faults_pass() {
    let files = Files::new("pass");
    files.write("fleet.ini", FLEET);
    let output = files.check(&["fleet.ini"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[test]
fn each_fault_of_each_file_has_its_line_and_exit_code_is_2() {
    let files = Files::new("faults");
    let fleet = format!("{FLEET}[exception x]\ncovers = server ledger-1\nslots = 0\n");
    files.write("fleet.ini", &fleet);
    files.write(
        "settings.ini",
        "[instance]\nname = b1\nport = 1\n[platform]\n",
    );
    let output = files.check(&["fleet.ini", "settings.ini"]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    let starts: Vec<&str> = text
        .lines()
        .map(|line| line.split(": found").next().unwrap())
        .collect();
    let expected = [
        "fleet.ini:10: [exception x] reason",
        "fleet.ini:12: [exception x] slots",
        "settings.ini:1: [instance] data_centre",
        "settings.ini:1: [instance] address",
        "settings.ini:1: [instance] control",
        "settings.ini:1: [instance] metrics",
        "settings.ini:1: [instance] key",
        "settings.ini:3: [instance] port",
        "settings.ini:4: [platform] addresses",
    ];
    assert_eq!(starts, expected);
    assert!(text.lines().all(|line| line.contains("; allowed: ")));
}

#[test]
fn file_that_can_not_be_read_is_named() {
    let files = Files::new("unreadable");
    let output = files.check(&["absent.ini"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).starts_with("absent.ini: "));
}

#[test]
fn no_file_is_a_fault_of_usage() {
    let output = Files::new("usage").check(&[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("Usage:"));
}
