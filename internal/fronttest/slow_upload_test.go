package fronttest

import (
	"net/http"
	"testing"
	"time"
)

// TestSlowUploadInChunks guards against an upload in chunks that is given up although its client is
// still sending: its time has not begun. The client's chunks end in the middle of the data that has
// arrived.
func TestSlowUploadInChunks(t *testing.T) {
	onBothFronts(t, func(t *testing.T, kind string) {
		fleet := startScriptedFleet(t, 2)
		f := startFront(t, kind, options{servers: fleet.addrs, deadline: 700 * time.Millisecond})
		plan := &answerPlan{shape: "at once", framing: byLength, pieces: []piece{{0, 100}}}
		for _, class := range []string{"order", "pay"} {
			x := &exchange{class: class, wait: 700 * time.Millisecond, plan: fleet.add(plan), bodySize: 128 << 10, writeRate: 64 << 10, chunked: true}
			x.run(f)
			if x.status != http.StatusOK || !x.whole {
				t.Errorf("%s\n%s", x.describe(plan, fleet.attemptsOf(x.plan)), f.logOf(x.id))
			}
		}
	})
}
