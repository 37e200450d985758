package settings

// Operator is a credential for the HTTP API of the operators' address.
type Operator struct {
	// Name identifies the operator in the configuration history, where it is recorded with each change:
	// 1 to 63 lower-case letters, digits and hyphens, with no hyphen at the start or end. Required.
	Name string `yaml:"name" validate:"required,name"`
	// KeyHash is the SHA-256 hash of the operator's bearer key: 64 hexadecimal digits. Required.
	KeyHash string `yaml:"key_hash" validate:"required,len=64,hexadecimal"`
}
