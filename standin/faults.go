package standin

import "sync"

// Faults holds the active faults of one stand-in. It is safe for concurrent use.
type Faults struct {
	mu    sync.Mutex // guards rules
	rules []*faultRule
}

type faultRule struct {
	fault   Fault
	matched int
}

// Add activates a fault and returns a function that removes it.
func (f *Faults) Add(fault Fault) (remove func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rule := &faultRule{fault: fault}
	f.rules = append(f.rules, rule)
	return func() { f.remove(rule) }
}

// Clear removes all faults.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules = nil
}

func (f *Faults) remove(rule *faultRule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range f.rules {
		if r == rule {
			f.rules = append(f.rules[:i:i], f.rules[i+1:]...)
			return
		}
	}
}

// next counts call against each matching fault and returns the combined effect of those that apply.
func (f *Faults) next(call Call) effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	var e effect
	for _, rule := range f.rules {
		if rule.fault.matches(call) && rule.countMatch() {
			e.add(rule.fault)
		}
	}
	return e
}

// countMatch counts a matching call and reports whether the fault applies to it, given Skip and Count.
func (r *faultRule) countMatch() bool {
	r.matched++
	n := r.matched - r.fault.Skip
	return n > 0 && (r.fault.Count == 0 || n <= r.fault.Count)
}
