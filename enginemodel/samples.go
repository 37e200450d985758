package enginemodel

// Samples holds weighted sums over answers. Sums of several instances add up.
type Samples struct {
	// Count is the number of answers. Tokens and Time are the sums of the tokens that were prefilled before the first token
	// and of the times to the first token in milliseconds; TokensSquared and TokensTime those of their products.
	Count, Tokens, Time, TokensSquared, TokensTime float64
	// Unknown is the number of answers of engines that may have had the shared prefix in their caches, Missing the part of
	// them that had not.
	Unknown, Missing float64
	// Ended is the number of requests that ended, and Residence the sum in seconds of the times that they spent at their
	// endpoints.
	Ended, Residence float64
}

// Fields returns pointers to all sums, in the order in which they are encoded.
func (s *Samples) Fields() []*float64 {
	return []*float64{
		&s.Count, &s.Tokens, &s.Time, &s.TokensSquared, &s.TokensTime, &s.Unknown, &s.Missing, &s.Ended, &s.Residence,
	}
}

// Plus returns the sum of both.
func (s Samples) Plus(other Samples) Samples {
	from := other.Fields()
	for i, field := range s.Fields() {
		*field += *from[i]
	}
	return s
}

// Minus returns the difference, which is not below zero.
func (s Samples) Minus(other Samples) Samples {
	from := other.Fields()
	for i, field := range s.Fields() {
		*field = max(*field-*from[i], 0)
	}
	return s
}

// Times returns the samples with all weights multiplied by factor.
func (s Samples) Times(factor float64) Samples {
	for _, field := range s.Fields() {
		*field *= factor
	}
	return s
}

// add counts one answer that prefilled tokens and took ms to its first token.
func (s *Samples) add(tokens, ms float64) {
	s.Count++
	s.Tokens += tokens
	s.Time += ms
	s.TokensSquared += tokens * tokens
	s.TokensTime += tokens * ms
}
