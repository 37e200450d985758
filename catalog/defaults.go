package catalog

// Default values of optional fields. The comments of the fields give units and bounds.
const (
	DefaultRetentionHours     = 24
	DefaultMaxBodyBytes       = 1 << 20
	DefaultWeight             = 1
	DefaultFirstTokenTargetMs = 1200
	DefaultInterTokenTargetMs = 25
	DefaultReclaimableShare   = 56
	DefaultSpareDatacentres   = 1
	DefaultHeadroomPercent    = 20
	DefaultRetryBudgetPercent = 10
	DefaultHedgeBudgetPercent = 5
	DefaultShortTokens        = 512
)

func (s Service) withDefaults() Service {
	s.RetentionHours = intOrDefault(s.RetentionHours, DefaultRetentionHours)
	s.MaxBodyBytes = intOrDefault(s.MaxBodyBytes, DefaultMaxBodyBytes)
	return s
}

func (t Team) withDefaults() Team {
	t.Weight = intOrDefault(t.Weight, DefaultWeight)
	return t
}

func (p Preset) withDefaults() Preset {
	p.FirstTokenTargetMs = intOrDefault(p.FirstTokenTargetMs, DefaultFirstTokenTargetMs)
	p.InterTokenTargetMs = intOrDefault(p.InterTokenTargetMs, DefaultInterTokenTargetMs)
	p.ReclaimableShare = pointerOrDefault(p.ReclaimableShare, DefaultReclaimableShare)
	p.SpareDatacentres = pointerOrDefault(p.SpareDatacentres, DefaultSpareDatacentres)
	p.HeadroomPercent = pointerOrDefault(p.HeadroomPercent, DefaultHeadroomPercent)
	p.RetryBudgetPercent = pointerOrDefault(p.RetryBudgetPercent, DefaultRetryBudgetPercent)
	p.HedgeBudgetPercent = pointerOrDefault(p.HedgeBudgetPercent, DefaultHedgeBudgetPercent)
	p.ShortTokens = intOrDefault(p.ShortTokens, DefaultShortTokens)
	return p
}

func intOrDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

// pointerOrDefault returns a new pointer, so that a change of the document cannot modify a snapshot.
func pointerOrDefault(value *int, fallback int) *int {
	if value != nil {
		fallback = *value
	}
	return &fallback
}
