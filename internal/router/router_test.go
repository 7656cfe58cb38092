package router

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"quillfront/internal/pool"
	"quillfront/routes"
)

func pools(names ...string) map[string]*Pool {
	all := map[string]*Pool{}
	for _, name := range names {
		all[name] = &Pool{Config: pool.Config{Name: name, Classes: []pool.Class{{Name: "c", ByRequest: true, Aim: time.Second, Deadline: 2 * time.Second, KeyWindow: time.Minute}}}}
	}
	return all
}

func steps(canary float64) []routes.Route {
	return []routes.Route{{
		Name: "orders", Match: routes.Match{Path: "/{farm}"}, Class: "c", Key: []routes.ValueSource{{Path: "farm"}}, TrustIdempotencyKey: true,
		Pools: []routes.WeightedPool{{Pool: "stable", Weight: 100 - canary}, {Pool: "canary", Weight: canary}}, Override: "X-Pool",
	}}
}

func asked(method, target string, header ...string) *Request {
	h := http.Header{}
	for i := 0; i+1 < len(header); i += 2 {
		h.Add(header[i], header[i+1])
	}
	return &Request{Method: method, Target: target, Host: "h", Header: h.Values}
}

// TestSplitUnderLoad: while a split moves from 0 to 100 in steps, no key of an order is with two pools within its window, keys of reads
// move to the pool that grows alone, and a key whose pool has gone is told so.
func TestSplitUnderLoad(t *testing.T) {
	all := pools("stable", "canary")
	r, err := New(steps(0), all)
	if err != nil {
		t.Fatal(err)
	}
	const keys = 400
	var mu sync.Mutex
	orders, reads, moved := map[int]string{}, map[int]string{}, 0
	for _, canary := range []float64{0, 5, 50, 95, 100} {
		if err := r.Set(steps(canary), all); err != nil {
			t.Fatal(err)
		}
		var work sync.WaitGroup
		for w := range 4 {
			work.Go(func() {
				for k := w; k < keys; k += 4 {
					call, err := r.Route(asked("POST", fmt.Sprintf("/farm-%d", k), "Idempotency-Key", fmt.Sprint("k", k)))
					if err != nil {
						t.Error(err)
						return
					}
					call.Release()
					read, err := r.Route(asked("GET", fmt.Sprintf("/farm-%d", k)))
					if err != nil {
						t.Error(err)
						return
					}
					read.Release()
					mu.Lock()
					if was := orders[k]; was != "" && was != call.Pool {
						t.Errorf("the order of key %d went to %s and %s", k, was, call.Pool)
					}
					if was := reads[k]; was != "" && was != read.Pool {
						if moved++; read.Pool != "canary" {
							t.Errorf("key %d moved to the pool that shrinks", k)
						}
					}
					orders[k], reads[k] = call.Pool, read.Pool
					mu.Unlock()
				}
			})
		}
		work.Wait()
	}
	if moved != keys {
		t.Errorf("%d moves of %d keys from one pool to the other", moved, keys)
	}
	if call, err := r.Route(asked("POST", "/new", "Idempotency-Key", "new", "X-Pool", "stable")); err != nil || call.Pool != "stable" {
		t.Errorf("the override: %+v, %v", call, err)
	}
	if _, err := r.Route(asked("GET", "/x", "X-Pool", "nobody")); err == nil || !strings.Contains(err.Error(), "X-Pool") {
		t.Errorf("an override of nothing: %v", err)
	}
	gone := steps(100)
	gone[0].Pools = gone[0].Pools[1:]
	if err := r.Set(gone, pools("canary")); err != nil {
		t.Fatal(err)
	}
	var rejection *Rejection
	if _, err := r.Route(asked("POST", "/farm-1", "Idempotency-Key", "k1")); !errors.As(err, &rejection) || !rejection.OutcomeUnknown || rejection.Status != 502 {
		t.Errorf("an order whose pool has gone: %v", err)
	}
	if call, err := r.Route(asked("POST", "/farm-1", "Idempotency-Key", "other")); err != nil || call.Pool != "canary" {
		t.Errorf("another order: %v", err)
	}
}

// TestRoute: class, key and time of a request, by method, key and route; and what is turned away.
func TestRoute(t *testing.T) {
	list := steps(0)
	list[0].Timeout = 300 * time.Millisecond
	all := pools("stable", "canary")
	for _, p := range all {
		p.Config.Classes = Classes(p.Config, list)
	}
	r, err := New(list, all)
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		q     *Request
		class string
	}{
		{asked("GET", "/a"), "c@300ms+read"},
		{asked("PUT", "/a"), "c@300ms+read"},
		{asked("POST", "/a"), "c@300ms"},
		{asked("POST", "/a", "Idempotency-Key", "k"), "c@300ms+keyed"},
	} {
		call, err := r.Route(tt.q)
		if err != nil || call.Request.Class != tt.class || call.Request.Key != "a" || call.Request.Timeout != 300*time.Millisecond {
			t.Errorf("%s: %+v, %v", tt.q.Method, call, err)
			continue
		}
		call.Release()
	}
	for _, tt := range []struct {
		q    *Request
		want int
	}{
		{asked("GET", "/a/b"), 404}, {asked("GET", "/../a"), 400}, {asked("GET", "/"+strings.Repeat("x", 300)), 400},
		{asked("POST", "/a", "Idempotency-Key", "k", "Idempotency-Key", "l"), 400},
	} {
		var rejection *Rejection
		_, err := r.Route(tt.q)
		if tt.want == 400 && strings.HasPrefix(tt.q.Target, "/..") {
			if err == nil {
				t.Error("dot segments pass")
			}
		} else if !errors.As(err, &rejection) || rejection.Status != tt.want {
			t.Errorf("%s %.20s: %v, want %d", tt.q.Method, tt.q.Target, err, tt.want)
		}
	}
	// A pool that is retired lets nobody in, and tells when the last has come through.
	call, _ := r.Route(asked("GET", "/a"))
	through := all["stable"].Retire()
	select {
	case <-through:
		t.Error("a request is still on its way")
	default:
	}
	call.Release()
	<-through
}
