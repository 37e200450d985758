package knapweedhoist

import (
	"sync"
	"time"

	"knapweedhoist/backend"
	"knapweedhoist/catalog"
	"knapweedhoist/engine"
)

// chooser takes the endpoint of the service with the fewest requests of this
// instance in progress.
type chooser struct {
	instance *Instance

	mu          sync.Mutex // guards the fields below
	outstanding map[string]int
	engines     map[string]*engine.Client
}

// Choose implements backend.Chooser.
func (c *chooser) Choose(_ time.Time, query backend.Query) (backend.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *endpoint
	endpoints := c.instance.view.Load().endpoints
	for i := range endpoints {
		candidate := &endpoints[i]
		if candidate.service != query.Service || candidate.leaving {
			continue
		}
		if best == nil || c.outstanding[candidate.id] < c.outstanding[best.id] {
			best = candidate
		}
	}
	if best == nil {
		return backend.Choice{}, backend.ErrNoEndpoint
	}
	c.outstanding[best.id]++
	choice := backend.Choice{
		Endpoint: best.id, Address: best.address, Feedback: feedback{chooser: c, endpoint: best.id},
	}
	if query.Kind == catalog.KindModel {
		choice.Engine = c.engine(best.address)
	}
	return choice, nil
}

func (c *chooser) engine(address string) *engine.Client {
	client, found := c.engines[address]
	if !found {
		client = engine.NewClient(c.instance.lg, engine.ClientConfig{Address: address})
		c.engines[address] = client
	}
	return client
}

// feedback counts the requests in progress at an endpoint.
type feedback struct {
	chooser  *chooser
	endpoint string
}

func (feedback) Sent(time.Time)       {}
func (feedback) FirstToken(time.Time) {}
func (feedback) Token(time.Time)      {}

func (f feedback) Finished(time.Time, backend.Report) {
	f.chooser.mu.Lock()
	defer f.chooser.mu.Unlock()
	f.chooser.outstanding[f.endpoint]--
}
