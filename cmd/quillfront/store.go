package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"github.com/spf13/cobra"

	"quillfront/ledger"
	"quillfront/store"
)

// storeCommand looks after the directory in which orders are noted, while no sidecar has it open.
func storeCommand() *cobra.Command {
	c := &cobra.Command{Use: "store", Short: "Look after the directory in which a sidecar notes orders, while it does not run"}
	c.AddCommand(
		&cobra.Command{
			Use: "check DIR", Short: "Read every record, and tell of the first that is not as it was written",
			Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error { return checkStore(cmd.OutOrStdout(), args[0]) },
		},
		&cobra.Command{
			Use: "dump DIR", Short: "Write every order as a line of JSON, the oldest first",
			Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error { return dumpStore(cmd.OutOrStdout(), args[0]) },
		},
		&cobra.Command{
			Use: "compact DIR", Short: "Take away what is no longer needed",
			Args: cobra.ExactArgs(1), RunE: compactStore,
		},
	)
	return c
}

// openStore opens what is there: a directory that does not exist is an error rather than an empty store. Nothing expires, as
// the retention is the sidecar's to say.
func openStore(dir string) (*store.Store, error) {
	info, err := os.Stat(dir)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s is no directory", dir)
	}
	s, err := store.Open(store.Dir(dir), store.Options{MaxBytes: math.MaxInt64 / 2, MaxKeys: math.MaxInt, Retention: math.MaxInt64})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return s, nil
}

// dumpedOrder is an order as dump writes it.
type dumpedOrder struct {
	Class    string           `json:"class"`
	Key      string           `json:"key"`
	Written  time.Time        `json:"written"`
	Served   bool             `json:"served"`
	Answer   int              `json:"answer_bytes"`
	Attempts []ledger.Attempt `json:"may_have_run,omitempty"`
}

// eachOrder calls f with every order; what is none is an error.
func eachOrder(s *store.Store, f func(dumpedOrder) error) error {
	var failed error
	err := s.Range(time.Unix(0, math.MinInt64), time.Unix(0, math.MaxInt64), func(key, value []byte, at time.Time) bool {
		class, name, ok := splitKey(key)
		if !ok {
			return true // a trial of writing
		}
		e, err := ledger.Unmarshal(value)
		if err != nil {
			failed = fmt.Errorf("the order %s of class %s: %w", name, class, err)
			return false
		}
		failed = f(dumpedOrder{class, name, at, e.Served, len(e.Reply), e.Attempts})
		return failed == nil
	})
	if err != nil {
		return err
	}
	return failed
}

// splitKey splits a key of the store into a class and an Idempotency-Key.
func splitKey(key []byte) (class, name string, ok bool) {
	for i, c := range key {
		if c == 0 {
			return string(key[:i]), string(key[i+1:]), i > 0
		}
	}
	return "", "", false
}

func checkStore(w io.Writer, dir string) error {
	s, err := openStore(dir)
	if err != nil {
		return err
	}
	defer s.Close()
	var orders, served, open int
	err = eachOrder(s, func(d dumpedOrder) error {
		orders++
		if d.Served {
			served++
		} else if len(d.Attempts) > 0 {
			open++
		}
		return nil
	})
	if err != nil {
		return err
	}
	st := s.Stats()
	_, err = fmt.Fprintf(w, "whole: %d orders, %d served, %d that may have run; %d segments of %d bytes, %d of them live\n",
		orders, served, open, st.Segments, st.Bytes, st.Live)
	return err
}

func dumpStore(w io.Writer, dir string) error {
	s, err := openStore(dir)
	if err != nil {
		return err
	}
	defer s.Close()
	enc := json.NewEncoder(w)
	return eachOrder(s, func(d dumpedOrder) error { return enc.Encode(d) })
}

func compactStore(cmd *cobra.Command, args []string) error {
	s, err := openStore(args[0])
	if err != nil {
		return err
	}
	before := s.Stats()
	if err := s.Compact(cmd.Context()); err != nil {
		s.Close()
		return err
	}
	after := s.Stats()
	if err := s.Close(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d bytes in %d segments, %d bytes in %d before\n", after.Bytes, after.Segments, before.Bytes, before.Segments)
	return err
}
