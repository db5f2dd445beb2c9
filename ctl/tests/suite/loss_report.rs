//! The `losses` command counts outcomes of requests in log files.

use coltsfoothook_ctl::CtlExit;
use expect_test::expect;

use crate::fake::{directory, run_alone};

const LOG: &str = "\
ts=2026-06-08T13:31:02.000Z level=info at=vm-2 event=order_given server=i-2 order=load subject=a9 outcome=accepted
ts=2026-06-08T13:31:02.400Z level=info at=vm-1 event=request_done request_id=r1 route=alarms outcome=done adapter=a9 stall_ms=260 first_ms=400
ts=2026-06-08T13:31:02.900Z level=info at=vm-1 event=request_done request_id=r2 route=alarms outcome=done adapter=a9 server=i-2 held_ms=500 first_ms=1400 late=server
ts=2026-06-08T13:31:03.100Z level=info at=vm-2 event=request_done request_id=r6 route=alarms outcome=done adapter=a9 server=i-2 first_ms=300 pause_ms=470 late=pause
text that is not a log line
ts=2026-06-08T13:31:04.100Z level=info at=vm-1 event=request_done request_id=r3 route=alarms outcome=refused reason=adapter_wait adapter=a7 stall_ms=1440
ts=2026-06-08T13:31:04.200Z level=info at=vm-1 event=request_done request_id=r4 route=tickets outcome=failed reason=\"answer cut: reset\" server=i-2
ts=2026-06-08T13:31:04.300Z level=info at=vm-1 event=request_done request_id=r5 route=tickets outcome=caller_left
";

/// Each finished request counts once per table; a load counts with its adapter, server and time.
#[test]
fn counts_by_group() {
    let path = directory("loss_report").join("all.log");
    std::fs::write(&path, LOG).expect("a file");
    let result = run_alone(&["losses", &path.display().to_string()]);
    assert_eq!(result.exit, CtlExit::Done);
    expect![[r#"
        route    asked  done  late  paused  refused  failed  left  p50 ms  p95 ms  stall ms  held ms  loads
        alarms   4      3     1     1       1        0       0     400     1400    425       125      0
        tickets  2      0     0     0       0        1       1     0       0       0         0        0

        adapters by use  asked  done  late  paused  refused  failed  left  p50 ms  p95 ms  stall ms  held ms  loads
        first 10         4      3     1     1       1        0       0     400     1400    425       125      1
        next 40          0      0     0     0       0        0       0     0       0       0         0        0
        next 150         0      0     0     0       0        0       0     0       0       0         0        0
        all others       0      0     0     0       0        0       0     0       0       0         0        0

        server  asked  done  late  paused  refused  failed  left  p50 ms  p95 ms  stall ms  held ms  loads
        i-2     3      2     1     1       0        1       0     1400    1400    0         166      1

        from      asked  done  late  paused  refused  failed  left  p50 ms  p95 ms  stall ms  held ms  loads
        13:31:02  3      3     1     1       0        0       0     400     1400    86        166      1
        13:31:04  3      0     0     0       1        1       1     0       0       480       0        0

        late because of  requests
        pause            1
        server           1

        outcome and reason         requests
        caller_left: no reason     1
        failed: answer cut: reset  1
        refused: adapter_wait      1
    "#]]
    .assert_eq(&result.out);
}
