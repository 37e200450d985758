package catalog

// Team is a customer with its own credentials and limits.
type Team struct {
	// Name is the team's unique name: 1 to 63 lower-case letters, digits and hyphens.
	Name string `json:"name" validate:"required,name"`
	// KeyHashes are SHA-256 hashes of the team's bearer keys, each 64 lower-case hexadecimal digits; 1 to 8.
	KeyHashes []string `json:"key_hashes" validate:"required,min=1,max=8,dive,len=64,hexadecimal"`
	// Services are the services that the team may call; 1 to 256.
	Services []string `json:"services" validate:"required,min=1,max=256"`
	// Weight is the team's share under contention, relative to the weights of other teams. Default 1, 1 to 1000.
	Weight int `json:"weight,omitempty" validate:"omitempty,min=1,max=1000"`
	// RequestsPerSecond limits the team's requests over all entry instances. Default 0, which means no limit; 0 or more.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" validate:"min=0"`
	// TokensPerSecond limits the team's prompt and generated tokens over all entry instances. Default 0, which means no limit; 0 or more.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty" validate:"min=0"`
}
