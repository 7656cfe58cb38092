package proxy

import (
	"crypto/rand"
	"crypto/rsa"
	"sync"
)

// passwordKey returns the RSA key with which clients without TLS encrypt their passwords for
// caching_sha2_password. It is generated on first use and lives as long as the process; clients do
// not store it.
var passwordKey = sync.OnceValues(func() (*rsa.PrivateKey, error) { return rsa.GenerateKey(rand.Reader, 2048) })
