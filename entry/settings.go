// Package entry runs one entry instance on a users' platform: it joins the front
// door, the copies of configuration and endpoints, the exchange with the other
// instances and the duties. It wires and decides nothing.
package entry

import (
	"bytes"
	"time"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"

	"knapweedhoist/retrybudget"
	"knapweedhoist/teamlimit"
)

// Settings configure one entry instance on a platform. Unknown keys are refused.
type Settings struct {
	// Instance is the instance's name, unique in the deployment. Required.
	Instance string `yaml:"instance" validate:"required"`
	// DataCentre is the data centre in which the instance runs. Required.
	DataCentre string `yaml:"data_centre" validate:"required"`
	// NewDeployment tells that all instances start for the first time.
	NewDeployment bool `yaml:"new_deployment"`
	// Listen are the addresses of the process.
	Listen Listen `yaml:"listen"`
	// Store is the IP address and port of the platform's object store. Required.
	Store string `yaml:"store" validate:"required,hostname_port"`
	// Cloud is the IP address and port of the cloud's API; "" where there are no duties.
	Cloud string `yaml:"cloud" validate:"omitempty,hostname_port"`
	// Duties are the duties in force: "usage_report", "autoscale".
	Duties []string `yaml:"duties"`
	// ChecksFence tells that the cloud refuses orders of former holders.
	ChecksFence bool `yaml:"checks_fence"`
	// MemoryMB is the memory of the process in MiB; 0 sets no limit.
	MemoryMB int `yaml:"memory_mb" validate:"gte=0"`
	// AlternationMS is the time in milliseconds within which the duties must not go from one instance to another and
	// back. Default 3000.
	AlternationMS float64 `yaml:"alternation_ms" validate:"gt=0"`
	// StopGrace is the time from SIGTERM to the end in seconds. Default 8.
	StopGrace float64 `yaml:"stop_grace_s" validate:"gte=0"`
	// ApplyMS is the time in milliseconds within which a change of the configuration is in force everywhere. Default 2000.
	ApplyMS float64 `yaml:"apply_ms" validate:"gt=0"`
	// LeaveMS is the time in milliseconds after which no new request goes to an endpoint that leaves. Default 2000.
	LeaveMS float64 `yaml:"leave_ms" validate:"gt=0"`
	// Retries bounds the sends beyond the first of each request.
	Retries Retries `yaml:"retries"`
	// Usage bounds the reports of usage.
	Usage Usage `yaml:"usage"`
	// Limits bounds what teams may use beyond their limits in any window.
	Limits Limits `yaml:"limits"`
}

// Listen are the addresses of an entry instance, as IP:PORT.
type Listen struct {
	// Callers is where callers send requests. Required.
	Callers string `yaml:"callers" validate:"required,hostname_port"`
	// Ready answers with 200 while the instance takes new connections. Required.
	Ready string `yaml:"ready" validate:"required,hostname_port"`
	// Peers is where other entry instances reach this one, over UDP and TCP. Required.
	Peers string `yaml:"peers" validate:"required,hostname_port"`
	// Metrics serves counters and histograms as text; "" serves none.
	Metrics string `yaml:"metrics" validate:"omitempty,hostname_port"`
}

// Retries bounds the sends beyond the first of each request, over all instances.
type Retries struct {
	// Ratio is the extra sends per request of a service. Default 0.2.
	Ratio float64 `yaml:"ratio" validate:"gte=0"`
	// Slack is the extra sends of a service in a window beside the ratio. Default 10.
	Slack float64 `yaml:"slack" validate:"gte=0"`
	// Window is the length of the sliding window in seconds. Default 10.
	Window float64 `yaml:"window_s" validate:"gt=0"`
}

// Usage bounds the reports of usage.
type Usage struct {
	// Window is the length of a window in seconds. Default 5.
	Window float64 `yaml:"window_s" validate:"gt=0"`
	// Delay is when a report is due after the end of its window, in seconds. Default 10.
	Delay float64 `yaml:"delay_s" validate:"gt=0"`
}

// Limits bounds what teams may use beyond their limits in any window.
type Limits struct {
	// Overage is the share of a team's limit. Default 0.
	Overage float64 `yaml:"overage" validate:"gte=0"`
	// Slack is in the unit of the limits. Default 0.
	Slack float64 `yaml:"slack" validate:"gte=0"`
}

func (l Limits) config(newDeployment bool) teamlimit.Config {
	return teamlimit.Config{Overage: l.Overage, Slack: l.Slack, NewDeployment: newDeployment}
}

func (r Retries) config() retrybudget.Config {
	return retrybudget.Config{Ratio: r.Ratio, Slack: r.Slack, Window: seconds(r.Window)}
}

const (
	// watchShare is the part of the shorter bound that one watch of the store waits, so that a connection that has
	// gone silent is noticed at about the bound.
	watchShare = 0.75
	// sharedWatchShare is the same for an instance whose copy others read. The copy may be as old as two watches, as a
	// watch that brings a change does not tell when it was asked for; with relayWait and relayMargin the whole way stays
	// below the bound.
	sharedWatchShare = 0.22
	// freshShare is the age at which the configuration counts as old, relative to the time within which a change is in
	// force: the wait of one watch and a call of the store.
	freshShare = 1.25
)

// watchWait is how long one watch of the store waits for a change.
func (s Settings) watchWait() time.Duration {
	return milliseconds(watchShare * min(s.ApplyMS, s.LeaveMS))
}

// sharedWatchWait is how long one watch of the store waits while others read the copy.
func (s Settings) sharedWatchWait() time.Duration {
	return milliseconds(sharedWatchShare * min(s.ApplyMS, s.LeaveMS))
}

// freshness is how recently the configuration must have been confirmed before a caller is told that something does not exist.
func (s Settings) freshness() time.Duration { return milliseconds(freshShare * s.ApplyMS) }

// DefaultSettings returns settings with every optional field at its default.
func DefaultSettings() Settings {
	return Settings{
		AlternationMS: 3000, StopGrace: 8, ApplyMS: 2000, LeaveMS: 2000,
		Retries: Retries{Ratio: 0.2, Slack: 10, Window: 10},
		Usage:   Usage{Window: 5, Delay: 10},
	}
}

// ParseSettings reads settings from YAML.
func ParseSettings(content []byte) (Settings, error) {
	settings := DefaultSettings()
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, err
	}
	return settings, validator.New(validator.WithRequiredStructEnabled()).Struct(settings)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
