package gin

import (
	"github.com/gin-gonic/gin"

	"quillfront"
)

// Routes returns a handler for Engine.Use. Requests that a route of p matches go to its pool, and
// the rest of the handler chain is aborted; all others continue down the chain unchanged.
func Routes(p *quillfront.Pools) gin.HandlerFunc {
	h := p.Handler()
	return func(c *gin.Context) {
		if p.Matches(c.Request) {
			serve(h, c)
			return
		}
		c.Next()
	}
}
