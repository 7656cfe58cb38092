package reloadtest

import (
	"context"
	"flag"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	plays = flag.Int("plays", 0, "number of long runs, each of 10 s")
	seed  = flag.Uint64("seed", 1, "seed of the first long run")
	long  = flag.Int64("long", 1<<30, "bytes of the long bodies before each long run")
)

// TestLong repeats the test with the defaults of Options and long bodies, as the flags say. It runs
// by hand: go test ./internal/reloadtest -run Long -plays 20 -timeout 30m.
func TestLong(t *testing.T) {
	if *plays == 0 {
		t.Skip("runs by hand only: set -plays N")
	}
	for i := range *plays {
		r, err := Run(context.Background(), Options{Seed: *seed + uint64(i), WarmupRequests: 370, LongBody: *long})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("run %d: %v", i+1, r)
		if len(r.Violations) > 0 {
			t.Error(r.Violations)
		}
	}
}

// TestReloads is a short run in which the timeout of the route changes at each reload.
func TestReloads(t *testing.T) {
	r, err := Run(context.Background(), Options{
		Seed: 1, Duration: 2 * time.Second, Clients: 16, MaxBody: 256 << 10, ReloadInterval: 10 * time.Millisecond, RenameInterval: 50 * time.Millisecond,
		ToggleTimeout: true, WarmupRequests: 40, LongBody: 8 << 20,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	if len(r.Violations) > 0 {
		t.Error(r.Violations)
	}
}
