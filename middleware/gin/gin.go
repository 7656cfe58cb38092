// Package gin puts a quillfront.Balancer into an application made with Gin: routes that go to the fleet do so through the
// balancer, all others are untouched. It is a module of its own, so that nobody else carries Gin.
package gin

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"quillfront"
)

// Fleet returns a handler for routes that belong to the fleet wholly, such as
//
//	r.Any("/delivery-order/*rest", gin.Fleet(b))
//
// The class of a request is the first part of its path, as with quillfront.Balancer.Handler.
func Fleet(b *quillfront.Balancer) gin.HandlerFunc {
	h := b.Handler()
	return func(c *gin.Context) {
		serve(h, c)
	}
}

// Middleware returns a handler for Engine.Use: requests for which match is true go to the fleet and no further down the
// chain; all others go on as if it were not there. With a nil match those go to the fleet whose path begins with the name
// of one of b's classes. Middleware that was put in before, such as logging or gin.Recovery, sees both.
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

func serve(h http.Handler, c *gin.Context) {
	c.Abort() // also if h panics: nothing down the chain may answer once more
	h.ServeHTTP(c.Writer, c.Request)
	c.Writer.WriteHeaderNow()
}
