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

// Source implements engine.Source over DNS. The ID of a server is its address.
type Source struct {
	Resolver Resolver
	Kind     Kind
	Name     string
	Port     int // of the servers, with Kind Addresses
	Cache    CacheConfig
	Log      *slog.Logger
}

// Check validates the settings of s. It sends no query.
func (s Source) Check() error {
	if s.Resolver == nil || s.Name == "" || s.Kind == Addresses && (s.Port < 1 || s.Port > 65535) {
		return errors.New("dnslist: need a resolver, a name and, for address records, a port from 1 to 65535")
	}
	_, err := s.Cache.withDefaults()
	return err
}

// Watch implements engine.Source. With valid settings it returns only when ctx ends.
func (s Source) Watch(ctx context.Context, _ int64, report func(engine.List)) error {
	if err := s.Check(); err != nil {
		return err
	}
	cache, err := NewCache(s.Cache)
	if err != nil {
		return err
	}
	start := time.Now()
	for {
		answer, err := s.Resolver.Lookup(ctx, s.Kind, s.Name, s.Port)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		result := cache.Update(time.Since(start), answer, err)
		if err != nil {
			s.Log.Warn("DNS lookup failed", "name", s.Name, "kept", result.Stale, "err", err)
		}
		if result.Changed {
			list := engine.List{Seq: engine.UnknownSeq, Full: true}
			for _, r := range result.List {
				list.Servers = append(list.Servers, engine.Server{ID: policy.ServerID(r.Addr), Addr: r.Addr, State: policy.Ready, Weight: 1})
			}
			report(list)
		}
		refresh := time.NewTimer(result.RefreshAfter)
		select {
		case <-ctx.Done():
			refresh.Stop()
			return fmt.Errorf("dnslist: %w", ctx.Err())
		case <-refresh.C:
		}
	}
}
