package dnslist

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"quillfront/internal/engine"
	"quillfront/policy"
)

// Source implements engine.Source over DNS. A server's id is its address.
type Source struct {
	Resolver Resolver
	Kind     Kind
	Name     string
	Port     int // of Addresses
	Cache    CacheConfig
	Log      *slog.Logger
}

// Check returns what is wrong with s, or nil. It asks nobody.
func (s Source) Check() error {
	if s.Resolver == nil || s.Name == "" || s.Kind == Addresses && (s.Port < 1 || s.Port > 65535) {
		return errors.New("dnslist: a resolver, a name and a port of 1 to 65535 are wanted")
	}
	_, err := s.Cache.withDefaults()
	return err
}

// Watch is the method of engine.Source. It ends with ctx only.
func (s Source) Watch(ctx context.Context, _ int64, tell func(engine.List)) error {
	if err := s.Check(); err != nil {
		return err
	}
	k, err := NewCache(s.Cache)
	if err != nil {
		return err
	}
	began := time.Now()
	for {
		a, err := s.Resolver.Lookup(ctx, s.Kind, s.Name, s.Port)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		step := k.Update(time.Since(began), a, err)
		if err != nil {
			s.Log.Warn("DNS", "name", s.Name, "kept", step.Stale, "err", err)
		}
		if step.Changed {
			l := engine.List{Seq: engine.UnknownSeq, Full: true}
			for _, r := range step.List {
				l.Servers = append(l.Servers, engine.Server{ID: policy.ServerID(r.Addr), Addr: r.Addr, State: policy.Ready, Weight: 1})
			}
			tell(l)
		}
		next := time.NewTimer(step.RefreshAfter)
		select {
		case <-ctx.Done():
			next.Stop()
			return fmt.Errorf("dnslist: %w", ctx.Err())
		case <-next.C:
		}
	}
}
