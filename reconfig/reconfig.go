// Package reconfig checks a new configuration for a running sidecar, and determines which rules
// apply until all clients use the new ones. It does no I/O and reads no clock.
package reconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"quillfront/policy"
)

// PreviousSuffix is appended to the name of a class as it was before a change of its rules. The
// path of a request cannot contain it.
const PreviousSuffix = "\x00before"

// CheckComplete returns an error that names a key which the running configuration has, at any
// depth, and updated lacks. Of the elements of a list it requires the keys that all elements had.
// This detects a file that is half written or badly edited, whose missing keys would silently
// become zero. To remove a key on purpose, the sidecar must be restarted.
func CheckComplete(running, updated []byte) error {
	var a, b any
	if err := json.Unmarshal(running, &a); err != nil {
		return fmt.Errorf("the running configuration: %w", err)
	}
	if err := json.Unmarshal(updated, &b); err != nil {
		return err
	}
	return checkComplete("", a, b)
}

// checkComplete compares the values at path.
func checkComplete(path string, old, updated any) error {
	switch old := old.(type) {
	case map[string]any:
		updated, ok := updated.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is no object", displayPath(path))
		}
		for _, key := range slices.Sorted(maps.Keys(old)) {
			v, ok := updated[key]
			if !ok {
				return fmt.Errorf("%s is missing, but set in the running configuration", displayPath(path+"."+key))
			}
			if err := checkComplete(path+"."+key, old[key], v); err != nil {
				return err
			}
		}
	case []any:
		updated, ok := updated.([]any)
		if !ok {
			return fmt.Errorf("%s is no list", displayPath(path))
		}
		shape := commonKeys(old)
		for i, v := range updated {
			if shape == nil {
				break
			}
			if err := checkComplete(fmt.Sprintf("%s[%d]", path, i), shape, v); err != nil {
				return err
			}
		}
	case nil:
	default:
		if jsonType(updated) != jsonType(old) {
			return fmt.Errorf("%s is a %s, and was a %s", displayPath(path), jsonType(updated), jsonType(old))
		}
	}
	return nil
}

// displayPath returns the form of path for error messages.
func displayPath(path string) string {
	if path == "" {
		return "the configuration"
	}
	return strings.TrimPrefix(path, ".")
}

// jsonType returns the name of the type of a decoded JSON value.
func jsonType(v any) string {
	switch v.(type) {
	case string:
		return "string"
	case float64:
		return "number"
	case bool:
		return "boolean"
	case nil:
		return "null"
	}
	return "list or object"
}

// commonKeys returns an object with the keys that all elements of list have, or nil if it is empty
// or has an element that is not an object. The values are those of the first element.
func commonKeys(list []any) any {
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

// Change is a change of the rules of classes.
type Change struct {
	Interim    policy.Config // until all clients use the new rules: classes of both, stricter limits
	Final      policy.Config // applies after that
	HasInterim bool          // whether Interim differs from Final
}

// NewChange returns the change from the configuration running to updated. In the interim, a class
// whose effect changes is also kept in its old form, under its name with PreviousSuffix appended:
// the form of a request tells which of the two it means. A class that is removed is kept under its
// own name. If only the validity or the group of a class's idempotency keys changes, what both
// versions allow applies.
func NewChange(running, updated policy.Config) Change {
	c := Change{Interim: updated, Final: updated}
	c.Interim.Classes = slices.Clone(updated.Classes)
	c.Interim.MaxAttempts = min(running.MaxAttempts, updated.MaxAttempts)
	c.HasInterim = c.Interim.MaxAttempts != updated.MaxAttempts
	for _, old := range running.Classes {
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
			default: // no server is certain to be in both groups
				k.KeyTTL = 0
			}
			if *k == updated.Classes[i] {
				continue
			}
		}
		c.HasInterim = true
	}
	return c
}
