package settings

// Listen holds the listen addresses of one process, each an IP address and a port.
type Listen struct {
	// Callers is the address that serves callers (HTTP). Required.
	Callers string `yaml:"callers" validate:"required,ip_port"`
	// Operators is the address that serves operators, metrics and profiles (HTTP). Required.
	Operators string `yaml:"operators" validate:"required,ip_port"`
	// Peers is the address that accepts connections from other entry instances (TCP). Required.
	Peers string `yaml:"peers" validate:"required,ip_port"`
	// Heartbeats is the address that receives heartbeats from other entry instances (UDP). Required.
	Heartbeats string `yaml:"heartbeats" validate:"required,ip_port"`
}
