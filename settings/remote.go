package settings

import "time"

// Remote is an external system that the process calls over HTTP.
type Remote struct {
	// Address is an IP address and a port. Required.
	Address string `yaml:"address" validate:"required,ip_port"`
	// Credential is sent as a bearer token; if it is empty, no token is sent. Default: none.
	Credential Secret `yaml:"credential"`
	// Timeout is the maximum duration of one call. Default 5s, 100ms to 60s.
	Timeout Duration `yaml:"timeout" validate:"omitempty,min=100ms,max=60s"`
}

// DefaultRemoteTimeout is the timeout of a call to an external system without a configured timeout.
const DefaultRemoteTimeout = 5 * time.Second

// CallTimeout returns Timeout, or DefaultRemoteTimeout if Timeout is 0.
func (r Remote) CallTimeout() time.Duration {
	if r.Timeout == 0 {
		return DefaultRemoteTimeout
	}
	return time.Duration(r.Timeout)
}

// OptionalRemote is a Remote whose address is optional.
type OptionalRemote struct {
	// Address is an IP address and a port. Default: none.
	Address string `yaml:"address" validate:"omitempty,ip_port"`
	// Credential is sent as a bearer token; if it is empty, no token is sent. Default: none.
	Credential Secret `yaml:"credential"`
	// Timeout is the maximum duration of one call. Default 5s, 100ms to 60s.
	Timeout Duration `yaml:"timeout" validate:"omitempty,min=100ms,max=60s"`
}

// Remote converts r to a Remote.
func (r OptionalRemote) Remote() Remote {
	return Remote(r)
}
