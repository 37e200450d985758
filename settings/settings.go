// Package settings decodes and validates the YAML settings file of one process.
// Decoding is strict: the first unknown or duplicate key, invalid value or missing
// required field is returned as an *Error with its line and field. The daemon loads
// the file at its start; the doc comments of the fields are the source of docs/configuration.md.
package settings

// Settings is the configuration of one entry instance.
type Settings struct {
	// Instance is the name of the instance, unique in the fleet:
	// 1 to 63 lower-case letters, digits and hyphens, with no hyphen at the start or end.
	// Reclaim notices of the cloud identify the instance by this name. Required.
	Instance string `yaml:"instance" validate:"required,name"`
	// Datacentre is the name of the data centre in which the instance runs:
	// 1 to 63 lower-case letters, digits and hyphens, with no hyphen at the start or end. Required.
	Datacentre string `yaml:"datacentre" validate:"required,name"`
	// Region is the name of the region in which the data centre is:
	// 1 to 63 lower-case letters, digits and hyphens, with no hyphen at the start or end. Required.
	Region string `yaml:"region" validate:"required,name"`
	// Distances maps other data centres to the one-way latency from this one; at most 64 entries, each 0s to 10s.
	// A data centre without an entry is assumed to be 40ms away. Default: none.
	Distances map[string]Duration `yaml:"distances" validate:"max=64,dive,min=0s,max=10s"`
	// Listen holds the addresses that the process listens on.
	Listen Listen `yaml:"listen"`
	// Platform is the object API of the platform. Its timeout does not apply to watches.
	Platform Remote `yaml:"platform"`
	// List is the platform's list of instances and endpoints, which can be out of date.
	List Remote `yaml:"list"`
	// Cloud is the cloud API. Without an address the instance does no capacity planning and reads no reclaim notices.
	Cloud OptionalRemote `yaml:"cloud"`
	// FleetKey is the shared key that authenticates connections and heartbeats between entry instances:
	// 64 hexadecimal digits. Required.
	FleetKey Secret `yaml:"fleet_key" validate:"required,len=64,hexadecimal"`
	// Operators holds the credentials of the people and programs that may use the operators' address; 1 to 64. Required.
	Operators []Operator `yaml:"operators" validate:"required,min=1,max=64,dive"`
	// Limits bounds the requests that the instance accepts and the data that it keeps.
	Limits Limits `yaml:"limits"`
	// Shutdown configures how requests in progress end when the instance stops.
	Shutdown Shutdown `yaml:"shutdown"`
	// Log sets the level and format of the log, which is written to standard error.
	Log Log `yaml:"log"`
}

// Default returns settings with the defaults of limits, shutdown and log. The defaults of
// Distances and of the timeouts of Platform, List and Cloud are applied on use.
func Default() Settings {
	return Settings{
		Limits:   defaultLimits(),
		Shutdown: defaultShutdown(),
		Log:      Log{Level: "info", Format: "json"},
	}
}
