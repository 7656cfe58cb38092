package wire

import (
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha1"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
)

// AuthMoreData is the first byte of an additional packet of the caching_sha2_password exchange; the
// other values are the second byte or the client's reply.
const (
	AuthMoreData     = 0x01
	FastAuthSuccess  = 0x03 // the auth response was sufficient
	PerformFullAuth  = 0x04 // the server asks for the password itself, over TLS or encrypted
	RequestPublicKey = 0x02 // from the client: asks for the server's public key
)

// NewScramble returns the random challenge of an authentication exchange. No byte of it is zero,
// which would terminate a string, or '$'.
func NewScramble() []byte {
	b := make([]byte, ScrambleSize)
	rand.Read(b)
	for i := range b {
		b[i] &= 0x7f
		if b[i] == 0 || b[i] == '$' {
			b[i]++
		}
	}
	return b
}

// AuthResponse computes the client's response to a scramble, which proves that it knows the password
// without revealing it. The response for an empty password is empty.
func AuthResponse(plugin, password string, scramble []byte) ([]byte, error) {
	if password == "" {
		return nil, nil
	}
	switch plugin {
	case Native:
		once := sha1.Sum([]byte(password))
		twice := sha1.Sum(once[:])
		h := sha1.New()
		h.Write(scramble)
		h.Write(twice[:])
		return xor(h.Sum(nil), once[:]), nil
	case SHA2:
		once := sha256.Sum256([]byte(password))
		twice := sha256.Sum256(once[:])
		h := sha256.New()
		h.Write(twice[:])
		h.Write(scramble)
		return xor(once[:], h.Sum(nil)), nil
	}
	return nil, fmt.Errorf("the way %.40q to prove a password is not known", plugin)
}

// PasswordHashes holds the hashes of a password that verifying an auth response needs.
type PasswordHashes struct {
	Empty  bool
	Native [sha1.Size]byte   // SHA-1 of the SHA-1 of the password
	SHA2   [sha256.Size]byte // SHA-256 of the SHA-256 of the password
}

// NewPasswordHashes returns the hashes of a password.
func NewPasswordHashes(password string) PasswordHashes {
	n, s := sha1.Sum([]byte(password)), sha256.Sum256([]byte(password))
	return PasswordHashes{password == "", sha1.Sum(n[:]), sha256.Sum256(s[:])}
}

// VerifyResponse reports whether an auth response proves the password.
func (k *PasswordHashes) VerifyResponse(plugin string, response, scramble []byte) bool {
	if k.Empty || len(response) == 0 {
		return k.Empty && len(response) == 0
	}
	switch plugin {
	case Native:
		if len(response) != sha1.Size {
			return false
		}
		h := sha1.New()
		h.Write(scramble)
		h.Write(k.Native[:])
		once := xor(h.Sum(nil), response)
		twice := sha1.Sum(once)
		return subtle.ConstantTimeCompare(twice[:], k.Native[:]) == 1
	case SHA2:
		if len(response) != sha256.Size {
			return false
		}
		h := sha256.New()
		h.Write(k.SHA2[:])
		h.Write(scramble)
		once := xor(h.Sum(nil), response)
		twice := sha256.Sum256(once)
		return subtle.ConstantTimeCompare(twice[:], k.SHA2[:]) == 1
	}
	return false
}

// Matches reports whether the hashes are those of password.
func (k *PasswordHashes) Matches(password string) bool {
	o := NewPasswordHashes(password)
	return o.Empty == k.Empty && subtle.ConstantTimeCompare(o.SHA2[:], k.SHA2[:]) == 1
}

// EncryptPassword encrypts a password with a server's public key in PEM format.
func EncryptPassword(password string, scramble, key []byte) ([]byte, error) {
	block, _ := pem.Decode(key)
	if block == nil {
		return nil, errors.New("the server's key is no PEM")
	}
	k, err := x509.ParsePKIXPublicKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("the server's key: %w", err)
	}
	public, ok := k.(*rsa.PublicKey)
	if !ok {
		return nil, errors.New("the server's key is not of RSA")
	}
	return rsa.EncryptOAEP(sha1.New(), rand.Reader, public, xor(append([]byte(password), 0), scramble), nil)
}

// DecryptPassword is the inverse of EncryptPassword.
func DecryptPassword(b, scramble []byte, key *rsa.PrivateKey) (string, error) {
	text, err := rsa.DecryptOAEP(sha1.New(), nil, key, b, nil)
	if err != nil {
		return "", err
	}
	text = xor(text, scramble)
	if n := len(text); n == 0 || text[n-1] != 0 {
		return "", malformed("a password that does not end")
	}
	return string(text[:len(text)-1]), nil
}

// PublicKeyPEM returns the public key in PEM format, as a server sends it.
func PublicKeyPEM(key *rsa.PrivateKey) ([]byte, error) {
	b, err := x509.MarshalPKIXPublicKey(&key.PublicKey)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: b}), nil
}

// xor returns a XOR b, with b repeated to the length of a.
func xor(a, b []byte) []byte {
	r := make([]byte, len(a))
	for i := range a {
		r[i] = a[i] ^ b[i%len(b)]
	}
	return r
}
