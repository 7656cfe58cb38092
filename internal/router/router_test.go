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

// pools returns pools that all have the class "c" and no engine.
func pools(names ...string) map[string]*Pool {
	all := map[string]*Pool{}
	for _, name := range names {
		all[name] = &Pool{Config: pool.Config{Name: name, Classes: []pool.Class{{Name: "c", ByRequest: true, Aim: time.Second, Deadline: 2 * time.Second, KeyWindow: time.Minute}}}}
	}
	return all
}

// canaryRoutes returns one route that sends canary of 100 requests to the pool "canary".
func canaryRoutes(canary float64) []routes.Route {
	return []routes.Route{{
		Name: "orders", Match: routes.Match{Path: "/{farm}"}, Class: "c", Key: []routes.ValueSource{{Path: "farm"}}, TrustIdempotencyKey: true,
		Pools: []routes.WeightedPool{{Pool: "stable", Weight: 100 - canary}, {Pool: "canary", Weight: canary}}, Override: "X-Pool",
	}}
}

// request returns a request with headers that are given as names and values in turn.
func request(method, target string, header ...string) *Request {
	h := http.Header{}
	for i := 0; i+1 < len(header); i += 2 {
		h.Add(header[i], header[i+1])
	}
	return &Request{Method: method, Target: target, Host: "h", Header: h.Values}
}

// TestSplitUnderLoad checks that, while the weight of a pool rises from 0 to 100 in steps, no
// idempotency key of an order is sent to two pools within its window, and that keys of reads only
// move to the pool whose weight rises. A request whose key is pinned to a removed pool is rejected
// with an unknown outcome.
func TestSplitUnderLoad(t *testing.T) {
	all := pools("stable", "canary")
	r, err := New(canaryRoutes(0), all)
	if err != nil {
		t.Fatal(err)
	}
	const keys = 400
	var mu sync.Mutex
	orders, reads, moved := map[int]string{}, map[int]string{}, 0
	for _, canary := range []float64{0, 5, 50, 95, 100} {
		if err := r.Set(canaryRoutes(canary), all); err != nil {
			t.Fatal(err)
		}
		var work sync.WaitGroup
		for w := range 4 {
			work.Go(func() {
				for k := w; k < keys; k += 4 {
					order, err := r.Route(request("POST", fmt.Sprintf("/farm-%d", k), "Idempotency-Key", fmt.Sprint("k", k)))
					if err != nil {
						t.Error(err)
						return
					}
					order.Release()
					read, err := r.Route(request("GET", fmt.Sprintf("/farm-%d", k)))
					if err != nil {
						t.Error(err)
						return
					}
					read.Release()
					mu.Lock()
					if was := orders[k]; was != "" && was != order.Pool {
						t.Errorf("the order with key %d went to %s and %s", k, was, order.Pool)
					}
					if was := reads[k]; was != "" && was != read.Pool {
						if moved++; read.Pool != "canary" {
							t.Errorf("key %d moved to the pool whose weight decreases", k)
						}
					}
					orders[k], reads[k] = order.Pool, read.Pool
					mu.Unlock()
				}
			})
		}
		work.Wait()
	}
	if moved != keys {
		t.Errorf("%d moves of %d keys, want one move of each key to the other pool", moved, keys)
	}
	if decision, err := r.Route(request("POST", "/new", "Idempotency-Key", "new", "X-Pool", "stable")); err != nil || decision.Pool != "stable" {
		t.Errorf("with the override header: %+v, %v", decision, err)
	}
	if _, err := r.Route(request("GET", "/x", "X-Pool", "nobody")); err == nil || !strings.Contains(err.Error(), "X-Pool") {
		t.Errorf("an override header with an unknown pool: %v", err)
	}
	canaryOnly := canaryRoutes(100)
	canaryOnly[0].Pools = canaryOnly[0].Pools[1:]
	if err := r.Set(canaryOnly, pools("canary")); err != nil {
		t.Fatal(err)
	}
	var rejection *Rejection
	if _, err := r.Route(request("POST", "/farm-1", "Idempotency-Key", "k1")); !errors.As(err, &rejection) || !rejection.OutcomeUnknown || rejection.Status != 502 {
		t.Errorf("an order whose pool was removed: %v", err)
	}
	if decision, err := r.Route(request("POST", "/farm-1", "Idempotency-Key", "other")); err != nil || decision.Pool != "canary" {
		t.Errorf("an order with another key: %v", err)
	}
}

// TestRoute checks the class, the key and the timeout of requests by method, idempotency key and
// route, the rejections, and that a retired pool drains.
func TestRoute(t *testing.T) {
	list := canaryRoutes(0)
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
		{request("GET", "/a"), "c@300ms+read"},
		{request("PUT", "/a"), "c@300ms+read"},
		{request("POST", "/a"), "c@300ms"},
		{request("POST", "/a", "Idempotency-Key", "k"), "c@300ms+keyed"},
	} {
		decision, err := r.Route(tt.q)
		if err != nil || decision.Request.Class != tt.class || decision.Request.Key != "a" || decision.Request.Timeout != 300*time.Millisecond {
			t.Errorf("%s: %+v, %v", tt.q.Method, decision, err)
			continue
		}
		decision.Release()
	}
	for _, tt := range []struct {
		q    *Request
		want int
	}{
		{request("GET", "/a/b"), 404}, {request("GET", "/../a"), 400}, {request("GET", "/"+strings.Repeat("x", 300)), 400},
		{request("POST", "/a", "Idempotency-Key", "k", "Idempotency-Key", "l"), 400},
	} {
		var rejection *Rejection
		_, err := r.Route(tt.q)
		if tt.want == 400 && strings.HasPrefix(tt.q.Target, "/..") {
			if err == nil {
				t.Error("a target with dot segments was accepted")
			}
		} else if !errors.As(err, &rejection) || rejection.Status != tt.want {
			t.Errorf("%s %.20s: %v, want %d", tt.q.Method, tt.q.Target, err, tt.want)
		}
	}
	// The channel of a retired pool is closed once the last request in flight has been released.
	decision, _ := r.Route(request("GET", "/a"))
	drained := all["stable"].Retire()
	select {
	case <-drained:
		t.Error("drained while a request is in flight")
	default:
	}
	decision.Release()
	<-drained
}
