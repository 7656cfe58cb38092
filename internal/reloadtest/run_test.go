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
	plays = flag.Int("plays", 0, "long plays by hand, each of 10 s")
	seed  = flag.Uint64("seed", 1, "of the first long play")
	long  = flag.Int64("long", 1<<30, "bytes of the long exchanges before each long play")
)

// TestLong plays as long and as hard as the flags say: go test ./internal/reloadtest -run Long -plays 20 -timeout 30m.
func TestLong(t *testing.T) {
	if *plays == 0 {
		t.Skip("by hand: -plays N")
	}
	for i := range *plays {
		r, err := Run(context.Background(), Options{Seed: *seed + uint64(i), Small: 370, Long: *long})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("play %d: %v", i+1, r)
		if len(r.Broken) > 0 {
			t.Error(r.Broken)
		}
	}
}

// TestReloads: a short play, with a route whose time changes at each reload.
func TestReloads(t *testing.T) {
	r, err := Run(context.Background(), Options{
		Seed: 1, For: 2 * time.Second, Clients: 16, MostBody: 256 << 10, Reload: 10 * time.Millisecond, Rename: 50 * time.Millisecond,
		Retime: true, Small: 40, Long: 8 << 20,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	if len(r.Broken) > 0 {
		t.Error(r.Broken)
	}
}
