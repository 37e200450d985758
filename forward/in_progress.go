package forward

import "sync"

// inProgress holds the exchanges that were accepted and have not ended. It is safe for concurrent use.
type inProgress struct {
	mu        sync.Mutex
	exchanges map[*exchange]struct{}
}

func (p *inProgress) add(e *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exchanges == nil {
		p.exchanges = make(map[*exchange]struct{})
	}
	p.exchanges[e] = struct{}{}
}

func (p *inProgress) remove(e *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.exchanges, e)
}

// cancel cancels the exchanges. Each of them ends in its own goroutine.
func (p *inProgress) cancel() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := range p.exchanges {
		e.cancel()
	}
}

// ids returns the request ids of at most limit exchanges.
func (p *inProgress) ids(limit int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := make([]string, 0, min(limit, len(p.exchanges)))
	for e := range p.exchanges {
		if len(ids) == limit {
			break
		}
		ids = append(ids, e.request.ID)
	}
	return ids
}
