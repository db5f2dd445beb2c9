//! The `trace` command finds the lines that concern a request in several log files.

use coltsfoothook_ctl::CtlExit;
use expect_test::expect;

use crate::fake::{directory, run_alone};

const FIRST: &str = "\
ts=2026-06-08T13:31:02.000Z level=info at=vm-1 event=adapter_asked adapter=a9 version=1 server=i-2 owner=vm-2
ts=2026-06-08T13:31:02.100Z level=info at=vm-1 event=adapter_asked adapter=a7 version=1 server=i-2 owner=vm-2
text that is not a log line
ts=2026-06-08T13:31:03.400Z level=info at=vm-1 event=request_sent request_id=r1 server=i-2 send=1
ts=2026-06-08T13:31:05.000Z level=info at=vm-1 event=request_done request_id=r1 outcome=failed reason=\"answer cut: reset\" server=i-2 adapter=a9
ts=2026-06-08T13:31:05.000Z level=info at=vm-1 event=request_done request_id=r10 outcome=done adapter=a7
";

const SECOND: &str = "\
ts=2026-06-08T13:31:02.050Z level=info at=vm-2 event=order_given server=i-2 order=load subject=a9 outcome=accepted
ts=2026-06-08T13:31:08.900Z level=warn at=vm-2 event=server_gone server=i-2
ts=2026-06-08T13:31:08.900Z level=warn at=vm-2 event=server_gone server=i-3
";

fn trace(test: &str, id: &str) -> (CtlExit, String) {
    let directory = directory("trace_files");
    let paths = [("first", FIRST), ("second", SECOND)].map(|(name, text)| {
        let path = directory.join(format!("{test}-{name}.log"));
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    });
    let result = run_alone(&["trace", id, &paths[0], &paths[1]]);
    (result.exit, result.out + &result.err)
}

/// Shows the lines of the request, of its adapter and of its server from all files, sorted by time.
#[test]
fn cut_answer() {
    let (exit, output) = trace("cut", "r1");
    assert_eq!(exit, CtlExit::Done);
    expect![[r#"
        ts=2026-06-08T13:31:02.000Z level=info at=vm-1 event=adapter_asked adapter=a9 version=1 server=i-2 owner=vm-2
        ts=2026-06-08T13:31:02.050Z level=info at=vm-2 event=order_given server=i-2 order=load subject=a9 outcome=accepted
        ts=2026-06-08T13:31:03.400Z level=info at=vm-1 event=request_sent request_id=r1 server=i-2 send=1
        ts=2026-06-08T13:31:05.000Z level=info at=vm-1 event=request_done request_id=r1 outcome=failed reason="answer cut: reset" server=i-2 adapter=a9
        ts=2026-06-08T13:31:08.900Z level=warn at=vm-2 event=server_gone server=i-2
        cause: failed, answer cut: reset: its server broke off; it may have run
    "#]]
    .assert_eq(&output);
}

#[test]
fn unknown_id() {
    let (exit, output) = trace("unknown", "r2");
    assert_eq!(exit, CtlExit::Refused);
    expect![[r#"
        no line names request r2
    "#]]
    .assert_eq(&output);
}
