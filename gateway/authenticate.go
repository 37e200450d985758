package gateway

import (
	"bytes"
	"crypto/sha256"
	"net/http"

	"github.com/valyala/fasthttp"

	"knapweedhoist/catalog"
)

var bearerPrefix = []byte("Bearer ")

// authenticate returns the team of the request's bearer key.
func (s *Server) authenticate(header *fasthttp.RequestHeader) (*catalog.Team, *problem) {
	value := header.Peek("Authorization")
	if len(value) <= len(bearerPrefix) || !bytes.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return nil, notRunProblem(http.StatusUnauthorized, "authenticate", "a bearer key is required")
	}
	team, found := s.deps.Directory.TeamByKeyHash(sha256.Sum256(value[len(bearerPrefix):]))
	if !found {
		return nil, notRunProblem(http.StatusUnauthorized, "authenticate", "the bearer key is not valid")
	}
	return team, nil
}
