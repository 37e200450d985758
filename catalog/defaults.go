package catalog

// Defaults of items; the fields' comments give units and bounds.
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
	s.RetentionHours = orInt(s.RetentionHours, DefaultRetentionHours)
	s.MaxBodyBytes = orInt(s.MaxBodyBytes, DefaultMaxBodyBytes)
	return s
}

func (t Team) withDefaults() Team {
	t.Weight = orInt(t.Weight, DefaultWeight)
	return t
}

func (p Preset) withDefaults() Preset {
	p.FirstTokenTargetMs = orInt(p.FirstTokenTargetMs, DefaultFirstTokenTargetMs)
	p.InterTokenTargetMs = orInt(p.InterTokenTargetMs, DefaultInterTokenTargetMs)
	p.ReclaimableShare = orPointer(p.ReclaimableShare, DefaultReclaimableShare)
	p.SpareDatacentres = orPointer(p.SpareDatacentres, DefaultSpareDatacentres)
	p.HeadroomPercent = orPointer(p.HeadroomPercent, DefaultHeadroomPercent)
	p.RetryBudgetPercent = orPointer(p.RetryBudgetPercent, DefaultRetryBudgetPercent)
	p.HedgeBudgetPercent = orPointer(p.HedgeBudgetPercent, DefaultHedgeBudgetPercent)
	p.ShortTokens = orInt(p.ShortTokens, DefaultShortTokens)
	return p
}

func orInt(value, standard int) int {
	if value == 0 {
		return standard
	}
	return value
}

// orPointer returns a pointer of its own, so that a snapshot shares nothing that a document can change.
func orPointer(value *int, standard int) *int {
	if value != nil {
		standard = *value
	}
	return &standard
}
