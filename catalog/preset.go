package catalog

// Preset is a named set of policy parameters; exactly one is in force.
type Preset struct {
	// Name is the preset's unique name: 1 to 63 lower-case letters, digits and hyphens.
	Name string `json:"name" validate:"required,name"`
	// FirstTokenTargetMs is the latency target of the first token in ms. Default 1200, 50 to 60000.
	FirstTokenTargetMs int `json:"first_token_target_ms,omitempty" validate:"omitempty,min=50,max=60000"`
	// InterTokenTargetMs is the latency target between tokens in ms. Default 25, 1 to 1000.
	InterTokenTargetMs int `json:"inter_token_target_ms,omitempty" validate:"omitempty,min=1,max=1000"`
	// ReclaimableShare is the largest share of capacity on reclaimable instances, in percent. Default 56, 0 to 100.
	ReclaimableShare *int `json:"reclaimable_share_percent,omitempty" validate:"omitempty,min=0,max=100"`
	// SpareDatacentres is how many data centres may fail while the targets are still met. Default 1, 0 to 2.
	SpareDatacentres *int `json:"spare_datacentres,omitempty" validate:"omitempty,min=0,max=2"`
	// HeadroomPercent is the capacity kept above the forecast load, in percent of that load. Default 20, 0 to 200.
	HeadroomPercent *int `json:"headroom_percent,omitempty" validate:"omitempty,min=0,max=200"`
	// RetryBudgetPercent is the largest share of extra attempts, in percent of successful work. Default 10, 0 to 10.
	RetryBudgetPercent *int `json:"retry_budget_percent,omitempty" validate:"omitempty,min=0,max=10"`
	// HedgeBudgetPercent is the largest share of hedged attempts, in percent. Default 5, 0 to 5.
	HedgeBudgetPercent *int `json:"hedge_budget_percent,omitempty" validate:"omitempty,min=0,max=5"`
	// ShortTokens is the largest expected work, in tokens, that counts as short. Default 512, 1 to 100000.
	ShortTokens int `json:"short_tokens,omitempty" validate:"omitempty,min=1,max=100000"`
}
