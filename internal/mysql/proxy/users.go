package proxy

import (
	"crypto/pbkdf2"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"quillfront/internal/mysql/wire"
)

// salted is a hash that takes the password itself to check.
type salted struct {
	rounds     int
	salt, hash []byte
}

func parseSalted(s string) (salted, error) {
	parts := strings.Split(s, "$")
	if len(parts) != 4 || parts[0] != "pbkdf2" {
		return salted{}, errors.New("the hash is not of the form pbkdf2$rounds$salt$hash")
	}
	var v salted
	var err error
	if v.rounds, err = strconv.Atoi(parts[1]); err != nil || v.rounds < 1 || v.rounds > 10_000_000 {
		return v, fmt.Errorf("%q is no number of rounds", parts[1])
	}
	if v.salt, err = hex.DecodeString(parts[2]); err != nil {
		return v, fmt.Errorf("the salt: %w", err)
	}
	if v.hash, err = hex.DecodeString(parts[3]); err != nil || len(v.hash) != sha256.Size {
		return v, errors.New("the hash is not of 32 bytes in hex")
	}
	return v, nil
}

// HashPassword returns a password as it may stand in the users' file.
func HashPassword(password string, salt []byte, rounds int) (string, error) {
	h, err := pbkdf2.Key(sha256.New, password, salt, rounds, sha256.Size)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("pbkdf2$%d$%s$%s", rounds, hex.EncodeToString(salt), hex.EncodeToString(h)), nil
}

func (v salted) is(password string) bool {
	h, err := pbkdf2.Key(sha256.New, password, v.salt, v.rounds, sha256.Size)
	return err == nil && subtle.ConstantTimeCompare(h, v.hash) == 1
}

// directory knows the users, and the passwords that were proved in full.
type directory struct {
	mu    sync.Mutex
	users map[string]User
	asks  bool                           // some of them are asked for the password itself
	known map[string]wire.PasswordHashes // of salted ones; no more than there are users
}

func newDirectory(users []User) *directory {
	d := &directory{}
	d.set(users)
	return d
}

// set makes users those that may log in. Who is logged in stays so.
func (d *directory) set(users []User) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.users, d.known, d.asks = map[string]User{}, map[string]wire.PasswordHashes{}, false
	for _, u := range users {
		d.users[u.Name] = u
		d.asks = d.asks || u.SaltedHash != ""
	}
}

// find returns a user, what can be checked of its password, and whether that is so. Who is not known looks like most who are.
func (d *directory) find(name string) (u User, k wire.PasswordHashes, fast, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u, ok = d.users[name]; !ok {
		return u, wire.PasswordHashes{}, !d.asks, false
	}
	if u.SaltedHash == "" {
		return u, u.Password, true, true
	}
	k, fast = d.known[name]
	return u, k, fast, true
}

// full checks a password as it is, and remembers it if it is the one.
func (d *directory) full(u User, password string) bool {
	if u.SaltedHash == "" {
		return u.Password.Matches(password)
	}
	s, err := parseSalted(u.SaltedHash)
	if err != nil || !s.is(password) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if now, ok := d.users[u.Name]; ok && now.SaltedHash == u.SaltedHash {
		d.known[u.Name] = wire.NewPasswordHashes(password)
	}
	return true
}

// mayUse reports whether a user may choose a schema.
func (u *User) mayUse(schema string) bool {
	return schema == "" || u.Schemas == nil || slices.Contains(u.Schemas, schema)
}
