package settings

import "time"

// Remote is an outside system that the process calls over HTTP.
type Remote struct {
	// Address is an IP number and a port. Required.
	Address string `yaml:"address" validate:"required,ip_port"`
	// Credential is sent as a bearer token; empty sends none. Default: none.
	Credential Secret `yaml:"credential"`
	// Timeout bounds one call. Default 5s, 100ms to 60s.
	Timeout Duration `yaml:"timeout" validate:"omitempty,min=100ms,max=60s"`
}

// DefaultRemoteTimeout bounds a call to an outside system whose settings give no timeout.
const DefaultRemoteTimeout = 5 * time.Second

// CallTimeout returns Timeout, or the default when it is not set.
func (r Remote) CallTimeout() time.Duration {
	if r.Timeout == 0 {
		return DefaultRemoteTimeout
	}
	return time.Duration(r.Timeout)
}

// OptionalRemote is a Remote that may be left out.
type OptionalRemote struct {
	// Address is an IP number and a port. Default: none.
	Address string `yaml:"address" validate:"omitempty,ip_port"`
	// Credential is sent as a bearer token; empty sends none. Default: none.
	Credential Secret `yaml:"credential"`
	// Timeout bounds one call. Default 5s, 100ms to 60s.
	Timeout Duration `yaml:"timeout" validate:"omitempty,min=100ms,max=60s"`
}

// Remote returns the settings as a Remote.
func (r OptionalRemote) Remote() Remote {
	return Remote(r)
}
