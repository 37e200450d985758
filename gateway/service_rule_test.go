package gateway

import (
	"testing"

	"knapweedhoist/catalog"
)

// Guards against treating a call as idempotent when neither its method nor a rule
// allows it.
func TestRepeatableCalls(t *testing.T) {
	service := &catalog.Service{Idempotent: []catalog.CallRule{
		{Method: "PUT", PathPrefix: "/slots"}, {Method: "POST", PathPrefix: "/search/"},
	}}
	for _, c := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/any", true}, {"HEAD", "/any", true}, {"OPTIONS", "/any", true},
		{"PUT", "/slots", true}, {"PUT", "/slots/1", true}, {"POST", "/search/x", true},
		{"PUT", "/slotsx", false}, {"POST", "/slots", false}, {"DELETE", "/slots/1", false},
		{"PUT", "/slots/../deposits", false}, {"PUT", "/slots/%2e%2e/deposits", false},
		{"PUT", "/slots//x", false}, {"PUT", "/", false}, {"put", "/slots", false},
	} {
		if got := isIdempotent(service, c.method, c.path); got != c.want {
			t.Errorf("isIdempotent of %s %s is %v", c.method, c.path, got)
		}
	}
}
