package retry

// budget is a token bucket that successes fill; a budgeted extra attempt takes one
// token. It starts empty, so that at any time tokens taken <= share * successes.
type budget struct {
	tokens float64
}

// deposit adds share tokens for one success, up to burst.
func (b *budget) deposit(share, burst float64) {
	b.tokens = min(burst, b.tokens+share)
}

// hasToken reports whether one extra attempt is allowed.
func (b *budget) hasToken() bool { return b.tokens >= 1 }

// withdraw takes the token of one extra attempt. The caller has checked hasToken.
func (b *budget) withdraw() { b.tokens-- }
