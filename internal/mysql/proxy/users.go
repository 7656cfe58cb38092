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

// saltedHash is a PBKDF2 hash, which can only be checked against the password itself.
type saltedHash struct {
	iterations int
	salt, hash []byte
}

func parseSaltedHash(s string) (saltedHash, error) {
	parts := strings.Split(s, "$")
	if len(parts) != 4 || parts[0] != "pbkdf2" {
		return saltedHash{}, errors.New("the hash is not of the form pbkdf2$rounds$salt$hash")
	}
	var v saltedHash
	var err error
	if v.iterations, err = strconv.Atoi(parts[1]); err != nil || v.iterations < 1 || v.iterations > 10_000_000 {
		return v, fmt.Errorf("%q is not a valid number of rounds", parts[1])
	}
	if v.salt, err = hex.DecodeString(parts[2]); err != nil {
		return v, fmt.Errorf("decoding the salt: %w", err)
	}
	if v.hash, err = hex.DecodeString(parts[3]); err != nil || len(v.hash) != sha256.Size {
		return v, errors.New("the hash is not 32 bytes in hex")
	}
	return v, nil
}

// HashPassword returns the salted hash of a password in the format of User.SaltedHash.
func HashPassword(password string, salt []byte, rounds int) (string, error) {
	h, err := pbkdf2.Key(sha256.New, password, salt, rounds, sha256.Size)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("pbkdf2$%d$%s$%s", rounds, hex.EncodeToString(salt), hex.EncodeToString(h)), nil
}

func (v saltedHash) matches(password string) bool {
	h, err := pbkdf2.Key(sha256.New, password, v.salt, v.iterations, sha256.Size)
	return err == nil && subtle.ConstantTimeCompare(h, v.hash) == 1
}

// userDirectory holds the users and caches the hashes of passwords that full authentication has
// verified.
type userDirectory struct {
	mu             sync.Mutex
	users          map[string]User
	hasSaltedUsers bool                           // at least one user has a salted hash
	verified       map[string]wire.PasswordHashes // users with a salted hash; at most one per user
}

func newUserDirectory(users []User) *userDirectory {
	d := &userDirectory{}
	d.set(users)
	return d
}

// set replaces the users. It does not affect sessions that are logged in.
func (d *userDirectory) set(users []User) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.users, d.verified, d.hasSaltedUsers = map[string]User{}, map[string]wire.PasswordHashes{}, false
	for _, u := range users {
		d.users[u.Name] = u
		d.hasSaltedUsers = d.hasSaltedUsers || u.SaltedHash != ""
	}
}

// find returns a user and the hashes of its password. fast reports whether the hashes are known, so
// that a challenge response can be checked, and ok whether the user exists. For an unknown user,
// fast is chosen so that the login looks like that of an existing one.
func (d *userDirectory) find(name string) (u User, k wire.PasswordHashes, fast, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u, ok = d.users[name]; !ok {
		return u, wire.PasswordHashes{}, !d.hasSaltedUsers, false
	}
	if u.SaltedHash == "" {
		return u, u.Password, true, true
	}
	k, fast = d.verified[name]
	return u, k, fast, true
}

// verifyPassword checks a clear-text password and caches its hashes if it is correct.
func (d *userDirectory) verifyPassword(u User, password string) bool {
	if u.SaltedHash == "" {
		return u.Password.Matches(password)
	}
	s, err := parseSaltedHash(u.SaltedHash)
	if err != nil || !s.matches(password) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if now, ok := d.users[u.Name]; ok && now.SaltedHash == u.SaltedHash {
		d.verified[u.Name] = wire.NewPasswordHashes(password)
	}
	return true
}

// mayUse reports whether the user may select the schema.
func (u *User) mayUse(schema string) bool {
	return schema == "" || u.Schemas == nil || slices.Contains(u.Schemas, schema)
}
