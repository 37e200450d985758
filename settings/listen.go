package settings

// Listen are the addresses of one process, each an IP number and a port.
type Listen struct {
	// Callers is the address for callers (HTTP). Required.
	Callers string `yaml:"callers" validate:"required,ip_port"`
	// Operators is the address for operators, metrics and profiles (HTTP). Required.
	Operators string `yaml:"operators" validate:"required,ip_port"`
	// Peers is the address for other entry instances (TCP). Required.
	Peers string `yaml:"peers" validate:"required,ip_port"`
	// Heartbeats is the address for heartbeats of other entry instances (UDP). Required.
	Heartbeats string `yaml:"heartbeats" validate:"required,ip_port"`
}
