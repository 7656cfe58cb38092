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

// storeCommand returns the command that maintains a store of orders that no sidecar has open.
func storeCommand() *cobra.Command {
	c := &cobra.Command{Use: "store", Short: "Maintain the directory in which a sidecar stores orders, while the sidecar is not running"}
	c.AddCommand(
		&cobra.Command{
			Use: "check DIR", Short: "Read every record, and report the first that is corrupt",
			Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error { return checkStore(cmd.OutOrStdout(), args[0]) },
		},
		&cobra.Command{
			Use: "dump DIR", Short: "Print every order as a line of JSON, oldest first",
			Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error { return dumpStore(cmd.OutOrStdout(), args[0]) },
		},
		&cobra.Command{
			Use: "compact DIR", Short: "Remove records that are no longer needed",
			Args: cobra.ExactArgs(1), RunE: compactStore,
		},
	)
	return c
}

// openStore opens an existing store: a directory that does not exist is an error rather than an
// empty store. Nothing expires, because the retention is configured in the sidecar.
func openStore(dir string) (*store.Store, error) {
	info, err := os.Stat(dir)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s is not a directory", dir)
	}
	s, err := store.Open(store.Dir(dir), store.Options{MaxBytes: math.MaxInt64 / 2, MaxKeys: math.MaxInt, Retention: math.MaxInt64})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return s, nil
}

// dumpedOrder is an order as the dump command writes it.
type dumpedOrder struct {
	Class    string           `json:"class"`
	Key      string           `json:"key"`
	Written  time.Time        `json:"written"`
	Served   bool             `json:"served"`
	Answer   int              `json:"answer_bytes"`
	Attempts []ledger.Attempt `json:"may_have_run,omitempty"`
}

// eachOrder calls f with every order. An entry that cannot be decoded is an error.
func eachOrder(s *store.Store, f func(dumpedOrder) error) error {
	var visitErr error
	err := s.Range(time.Unix(0, math.MinInt64), time.Unix(0, math.MaxInt64), func(storeKey, value []byte, at time.Time) bool {
		class, key, ok := splitKey(storeKey)
		if !ok {
			return true // a record that tests whether the store is writable
		}
		e, err := ledger.Unmarshal(value)
		if err != nil {
			visitErr = fmt.Errorf("the order %s of class %s: %w", key, class, err)
			return false
		}
		visitErr = f(dumpedOrder{class, key, at, e.Served, len(e.Reply), e.Attempts})
		return visitErr == nil
	})
	if err != nil {
		return err
	}
	return visitErr
}

// splitKey splits a key of the store into the class and the Idempotency-Key, which a zero byte
// separates.
func splitKey(storeKey []byte) (class, key string, ok bool) {
	for i, c := range storeKey {
		if c == 0 {
			return string(storeKey[:i]), string(storeKey[i+1:]), i > 0
		}
	}
	return "", "", false
}

// checkStore reads every record of a store and prints how many orders it holds.
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

// dumpStore writes every order of a store as a line of JSON.
func dumpStore(w io.Writer, dir string) error {
	s, err := openStore(dir)
	if err != nil {
		return err
	}
	defer s.Close()
	enc := json.NewEncoder(w)
	return eachOrder(s, func(d dumpedOrder) error { return enc.Encode(d) })
}

// compactStore compacts a store and prints its size after and before.
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
