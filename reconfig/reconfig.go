// Package reconfig decides what a new configuration comes to while a sidecar runs: whether it is whole, and what holds until all
// clients go by it. It does no I/O and reads no clock.
package reconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"quillfront/policy"
)

// PreviousSuffix marks the name of a class as it was before a change of its rules. No path of a request can have it.
const PreviousSuffix = "\x00before"

// CheckComplete returns an error that names a key which now lacks though the running configuration's text has it, at whatever depth. Of
// the elements of a list only the keys that all of them had are asked for. It guards against a file that is half written
// or badly edited: what is missing would silently be zero. A key that is dropped on purpose takes a restart.
func CheckComplete(running, now []byte) error {
	var a, b any
	if err := json.Unmarshal(running, &a); err != nil {
		return fmt.Errorf("the running configuration: %w", err)
	}
	if err := json.Unmarshal(now, &b); err != nil {
		return err
	}
	return whole("", a, b)
}

func whole(path string, was, is any) error {
	switch was := was.(type) {
	case map[string]any:
		is, ok := is.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no object", name(path))
		}
		for _, key := range slices.Sorted(maps.Keys(was)) {
			v, ok := is[key]
			if !ok {
				return fmt.Errorf("%s is not set, as it was", name(path+"."+key))
			}
			if err := whole(path+"."+key, was[key], v); err != nil {
				return err
			}
		}
	case []any:
		is, ok := is.([]any)
		if !ok {
			return fmt.Errorf("%s is no list", name(path))
		}
		shape := common(was)
		for i, v := range is {
			if shape == nil {
				break
			}
			if err := whole(fmt.Sprintf("%s[%d]", path, i), shape, v); err != nil {
				return err
			}
		}
	case nil:
	default:
		if kind(is) != kind(was) {
			return fmt.Errorf("%s is a %s, and was a %s", name(path), kind(is), kind(was))
		}
	}
	return nil
}

func name(path string) string {
	if path == "" {
		return "the configuration"
	}
	return strings.TrimPrefix(path, ".")
}

func kind(v any) string {
	switch v.(type) {
	case string:
		return "string"
	case float64:
		return "number"
	case bool:
		return "truth value"
	case nil:
		return "null"
	}
	return "list or object"
}

// common returns an object of the keys that all elements of a list have, nil if they are no objects.
func common(list []any) any {
	var shape map[string]any
	for _, v := range list {
		o, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if shape == nil {
			shape = maps.Clone(o)
		}
		maps.DeleteFunc(shape, func(k string, _ any) bool { _, ok := o[k]; return !ok })
	}
	if shape == nil {
		return nil
	}
	return shape
}

// Change is a change of the classes' rules.
type Change struct {
	Interim    policy.Config // until all clients go by the new rules: the classes of both, and of each limit the stricter
	Final      policy.Config // from then on
	HasInterim bool          // whether Now and Then differ
}

// NewChange returns what follows when the configuration was, and is to be now. A class whose effect changes stays, as it was,
// under its name with Before behind it: a request tells by its form which of the two it means. So does one that is
// dropped, under its own name. Where only windows or groups of keys change, what may be done under both holds meanwhile.
func NewChange(was, now policy.Config) Change {
	c := Change{Interim: now, Final: now}
	c.Interim.Classes = slices.Clone(now.Classes)
	c.Interim.MaxAttempts = min(was.MaxAttempts, now.MaxAttempts)
	c.HasInterim = c.Interim.MaxAttempts != now.MaxAttempts
	for _, old := range was.Classes {
		if strings.HasSuffix(old.Name, PreviousSuffix) {
			continue
		}
		i := slices.IndexFunc(c.Interim.Classes, func(k policy.Class) bool { return k.Name == old.Name })
		switch {
		case i < 0:
			c.Interim.Classes = append(c.Interim.Classes, old)
		case c.Interim.Classes[i].Effect != old.Effect:
			old.Name += PreviousSuffix
			c.Interim.Classes = append(c.Interim.Classes, old)
		default:
			k := &c.Interim.Classes[i]
			if *k == old {
				continue
			}
			k.KeyTTL = min(k.KeyTTL, old.KeyTTL)
			switch {
			case k.Group == old.Group || old.Group == policy.GroupAll:
			case k.Group == policy.GroupAll:
				k.Group = old.Group
			default: // no server is in both groups for sure
				k.KeyTTL = 0
			}
			if *k == now.Classes[i] {
				continue
			}
		}
		c.HasInterim = true
	}
	return c
}
