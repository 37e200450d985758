package retrybudget

// slidingCounter counts events in the slots of a sliding window.
type slidingCounter struct {
	// counts has one slot more than the window, because the oldest slot lies only partly inside it.
	counts [windowSlots + 1]int
	// newest is the latest slot that advance has reached.
	newest int64
}

// advance moves the window to slot and clears the counts of the slots that left it.
func (c *slidingCounter) advance(slot int64) {
	if slot-c.newest > windowSlots {
		c.counts = [windowSlots + 1]int{}
		c.newest = slot
	}
	for c.newest < slot {
		c.newest++
		c.counts[c.newest%(windowSlots+1)] = 0
	}
}

// add counts one event in slot.
func (c *slidingCounter) add(slot int64) {
	c.advance(slot)
	c.counts[slot%(windowSlots+1)]++
}

// remove takes back an event in a slot, if the window that ends in now still contains it.
func (c *slidingCounter) remove(slot, now int64) {
	c.advance(now)
	if n := &c.counts[slot%(windowSlots+1)]; now-slot <= windowSlots && *n > 0 {
		*n--
	}
}

// total returns the number of events in the window that ends in slot. The oldest slot counts in full.
func (c *slidingCounter) total(slot int64) int {
	c.advance(slot)
	total := 0
	for _, n := range c.counts {
		total += n
	}
	return total
}
