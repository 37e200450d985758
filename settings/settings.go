// Package settings reads the YAML settings of one process. Decoding is strict:
// the first unknown key, wrong unit or missing field is returned as one Error.
package settings

// Settings configure one entry instance.
type Settings struct {
	// Instance is the instance's name, unique in the fleet: 1 to 63 lower-case letters, digits and hyphens. Required.
	Instance string `yaml:"instance" validate:"required,name"`
	// Datacentre is the data centre in which the instance runs. Required.
	Datacentre string `yaml:"datacentre" validate:"required,name"`
	// Region is the region of the data centre. Required.
	Region string `yaml:"region" validate:"required,name"`
	// Distances are the one-way latencies from this data centre to others, by data centre; at most 64, each 0s to 10s.
	// A data centre that is not named counts as 40ms away. Default: none.
	Distances map[string]Duration `yaml:"distances" validate:"max=64,dive,min=0s,max=10s"`
	// Listen are the addresses that the process listens on.
	Listen Listen `yaml:"listen"`
	// Platform is the platform's object API.
	Platform Remote `yaml:"platform"`
	// List is the platform's lagging list of instances and endpoints.
	List Remote `yaml:"list"`
	// Cloud is the cloud API. Without an address the instance plans no capacity.
	Cloud OptionalRemote `yaml:"cloud"`
	// FleetKey authenticates frames between entry instances: 64 hexadecimal digits. Required.
	FleetKey Secret `yaml:"fleet_key" validate:"required,len=64,hexadecimal"`
	// Operators are the people and programs that may use the operators' address; 1 to 64. Required.
	Operators []Operator `yaml:"operators" validate:"required,min=1,max=64,dive"`
	// Limits bound what the instance takes on.
	Limits Limits `yaml:"limits"`
	// Shutdown bounds the phases of a stop.
	Shutdown Shutdown `yaml:"shutdown"`
	// Log sets level and format of the log on standard error.
	Log Log `yaml:"log"`
}

// Default returns settings with every optional field at its default.
func Default() Settings {
	return Settings{
		Limits:   defaultLimits(),
		Shutdown: defaultShutdown(),
		Log:      Log{Level: "info", Format: "json"},
	}
}
