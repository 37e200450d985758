package enginemodel

import "time"

// Engine is the estimated speed of the engines of a service. Of a plain service only Residence applies.
type Engine struct {
	// PrefillRate is the number of prompt tokens that an engine prefills in a millisecond beside its usual work.
	PrefillRate float64
	// Overhead is the time to the first token of an empty prompt.
	Overhead time.Duration
	// MissShare is the part of the shared prefixes that an engine is expected to prefill although it is the preferred one
	// for the prefix.
	MissShare float64
	// Residence is the mean time that a request spends at its endpoint.
	Residence time.Duration
	// Ended is the number of ended requests that Residence derives from, with weights that decay.
	Ended float64
}

// TimeToFirstToken returns the expected time to the first token behind the given number of tokens to prefill.
func (e Engine) TimeToFirstToken(tokens float64) time.Duration {
	return e.Overhead + time.Duration(tokens/e.PrefillRate*float64(time.Millisecond))
}

// The estimate without samples is that of a slow engine: a new deployment orders and spreads too much rather than too
// little until it knows better.
const (
	priorRate      = 60.0 // tokens per millisecond
	priorOverhead  = 30.0 // milliseconds
	priorMissShare = 1.0
	priorResidence = 1.0 // seconds
	// priorCount is the weight of the prior in answers, which have the two sizes of priorTokens.
	priorCount = 10.0
)

// priorTokens are the sizes in tokens of the prior's two answers.
var priorTokens = [2]float64{500, 8000}

// Bounds of the estimate.
const (
	minRate, maxRate = 2.0, 2000.0 // tokens per millisecond
	maxOverhead      = 300.0       // milliseconds
)

// Estimate returns the engine that fits the samples best by least squares.
func Estimate(samples Samples) Engine {
	fitted := prior().Plus(samples)
	n := fitted.Count
	variance := fitted.TokensSquared - fitted.Tokens*fitted.Tokens/n
	covariance := fitted.TokensTime - fitted.Tokens*fitted.Time/n
	msPerToken := 1 / priorRate
	if variance > 0 {
		msPerToken = min(max(covariance/variance, 1/maxRate), 1/minRate)
	}
	overhead := min(max((fitted.Time-msPerToken*fitted.Tokens)/n, 0), maxOverhead)
	return Engine{
		PrefillRate: 1 / msPerToken, Overhead: time.Duration(overhead * float64(time.Millisecond)),
		MissShare: fitted.Missing / fitted.Unknown,
		Residence: time.Duration(fitted.Residence / fitted.Ended * float64(time.Second)), Ended: samples.Ended,
	}
}

// prior returns the samples that the estimate starts from.
func prior() Samples {
	var samples Samples
	for _, tokens := range priorTokens {
		samples.add(tokens, priorOverhead+tokens/priorRate)
	}
	samples.Unknown, samples.Missing = float64(len(priorTokens)), priorMissShare*float64(len(priorTokens))
	samples.Ended, samples.Residence = float64(len(priorTokens)), priorResidence*float64(len(priorTokens))
	return samples.Times(priorCount / float64(len(priorTokens)))
}
