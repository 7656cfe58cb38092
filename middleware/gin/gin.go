// Package gin provides Gin handlers that send requests to the servers of a quillfront.Balancer or
// quillfront.Pools. It is a separate module, so that other users of quillfront don't depend on Gin.
package gin

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"quillfront"
)

// Fleet returns a handler that sends all requests of a route to the servers of b, such as
//
//	r.Any("/delivery-order/*rest", gin.Fleet(b))
//
// The first segment of a request's path names its class, as with quillfront.Balancer.Handler.
func Fleet(b *quillfront.Balancer) gin.HandlerFunc {
	h := b.Handler()
	return func(c *gin.Context) {
		serve(h, c)
	}
}

// Middleware returns a handler for Engine.Use. Requests for which match returns true go to the
// servers of b, and the rest of the handler chain is aborted; all others continue down the chain
// unchanged. A nil match means b.Matches. Middleware that was added before, such as logging or
// gin.Recovery, handles both.
func Middleware(b *quillfront.Balancer, match func(*http.Request) bool) gin.HandlerFunc {
	if match == nil {
		match = b.Matches
	}
	h := b.Handler()
	return func(c *gin.Context) {
		if match(c.Request) {
			serve(h, c)
			return
		}
		c.Next()
	}
}

// serve answers the request with h and aborts the handler chain.
func serve(h http.Handler, c *gin.Context) {
	c.Abort() // first, so that no later handler writes a second answer, even if h panics
	h.ServeHTTP(c.Writer, c.Request)
	c.Writer.WriteHeaderNow()
}
