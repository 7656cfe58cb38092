package proxy

import (
	"crypto/rand"
	"crypto/rsa"
	"sync"
)

// theKey is the key by which clients encrypt their passwords where there is no TLS. It is made when it is first needed, and lives as long
// as the process: no client keeps it.
var theKey = sync.OnceValues(func() (*rsa.PrivateKey, error) { return rsa.GenerateKey(rand.Reader, 2048) })
