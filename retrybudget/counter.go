package retrybudget

// counter counts events in the slots of a sliding window.
type counter struct {
	counts [slots + 1]int
	// newest is the slot that was counted last.
	newest int64
}

// advance forgets the slots that left the window.
func (c *counter) advance(slot int64) {
	if slot-c.newest > slots {
		c.counts = [slots + 1]int{}
		c.newest = slot
	}
	for c.newest < slot {
		c.newest++
		c.counts[c.newest%(slots+1)] = 0
	}
}

func (c *counter) add(slot int64) {
	c.advance(slot)
	c.counts[slot%(slots+1)]++
}

func (c *counter) sum(slot int64) int {
	c.advance(slot)
	total := 0
	for _, n := range c.counts {
		total += n
	}
	return total
}
