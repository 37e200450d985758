package retry

// budget counts the extra attempts that a service may still make. It starts
// empty, so that at any time attempts <= requests + share * successes.
type budget struct {
	left float64
}

// earn credits one success.
func (b *budget) earn(share, burst float64) {
	b.left = min(burst, b.left+share)
}

// has reports whether one attempt is covered.
func (b *budget) has() bool { return b.left >= 1 }

// spend takes one attempt.
func (b *budget) spend() { b.left-- }
