// Package entry runs one entry instance on a users' platform. It connects the server for callers (package forward), the
// copies of the configuration and the endpoints (packages objectwatch and objectrelay), the exchange of reports with
// the other instances (package gossip) and the duties (package duty). The decisions are made in the connected packages.
package entry

import (
	"bytes"
	"math"
	"syscall"
	"time"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"

	"knapweedhoist/forward"
	"knapweedhoist/retrybudget"
	"knapweedhoist/streamorigin"
	"knapweedhoist/teamlimit"
)

// Settings configure one entry instance on a platform. Unknown keys are refused.
type Settings struct {
	// Instance is the instance's name, unique in the deployment. Required.
	Instance string `yaml:"instance" validate:"required"`
	// DataCentre is the data centre in which the instance runs. Required.
	DataCentre string `yaml:"data_centre" validate:"required"`
	// NewDeployment is set when all instances start for the first time.
	NewDeployment bool `yaml:"new_deployment"`
	// Listen holds the addresses on which the process listens.
	Listen Listen `yaml:"listen"`
	// Store is the IP address and port of the platform's object store. Required.
	Store string `yaml:"store" validate:"required,hostname_port"`
	// Cloud is the IP address and port of the cloud's API; "" in a deployment without duties.
	Cloud string `yaml:"cloud" validate:"omitempty,hostname_port"`
	// Duties lists the duties that the instances perform: "usage_report", "autoscale".
	Duties []string `yaml:"duties"`
	// ChecksFence is set when the cloud refuses orders with the fencing token of a former lease holder.
	ChecksFence bool `yaml:"checks_fence"`
	// CPUShare is the part of a processor core that the process may use. Instances with more act as aggregators and relays
	// before those with less. Default 1.
	CPUShare float64 `yaml:"cpu_share" validate:"gt=0"`
	// MemoryMB is the memory that the process may use, in MiB; 0 sets no limit.
	MemoryMB int `yaml:"memory_mb" validate:"gte=0"`
	// MaxDescriptors is the number of descriptors that the process may open; 0 takes the limit of the operating system.
	MaxDescriptors int `yaml:"max_descriptors" validate:"gte=0"`
	// AlternationMS is the time in milliseconds within which the duties must not move from one instance to another and
	// back. Default 3000.
	AlternationMS float64 `yaml:"alternation_ms" validate:"gt=0"`
	// StopGrace is the longest time from SIGTERM to the exit of the process, in seconds. Default 8.
	StopGrace float64 `yaml:"stop_grace_s" validate:"gte=0"`
	// ApplyMS is the time in milliseconds within which a change of the configuration is in force at all instances. Default 2000.
	ApplyMS float64 `yaml:"apply_ms" validate:"gt=0"`
	// LeaveMS is the time in milliseconds after which an endpoint that leaves gets no new request. Default 2000.
	LeaveMS float64 `yaml:"leave_ms" validate:"gt=0"`
	// Retries bounds the extra sends of each service.
	Retries Retries `yaml:"retries"`
	// Usage sets the windows and the due time of usage reports.
	Usage Usage `yaml:"usage"`
	// Limits bounds how far the use of a team may exceed its limit in any window.
	Limits Limits `yaml:"limits"`
}

// Listen holds the addresses of an entry instance, as IP:PORT.
type Listen struct {
	// Callers is the address to which callers send requests. Required.
	Callers string `yaml:"callers" validate:"required,hostname_port"`
	// Ready is the address that answers with 200 while the instance takes new connections. Required.
	Ready string `yaml:"ready" validate:"required,hostname_port"`
	// Peers is the address at which other entry instances reach this one, over UDP and TCP. Required.
	Peers string `yaml:"peers" validate:"required,hostname_port"`
	// Metrics is the address that serves counters and histograms as text; "" serves none.
	Metrics string `yaml:"metrics" validate:"omitempty,hostname_port"`
}

// Retries bounds the extra sends of each service over all instances together. Every send of a request after the first
// one is an extra send.
type Retries struct {
	// Ratio is the number of extra sends allowed per request of a service. Default 0.2.
	Ratio float64 `yaml:"ratio" validate:"gte=0"`
	// Slack is the number of extra sends of a service allowed in a window in addition to the ratio. Default 10.
	Slack float64 `yaml:"slack" validate:"gte=0"`
	// Window is the length of the sliding window in seconds. Default 10.
	Window float64 `yaml:"window_s" validate:"gt=0"`
}

// Usage sets the windows and the due time of usage reports.
type Usage struct {
	// Window is the length of a window in seconds. Default 5.
	Window float64 `yaml:"window_s" validate:"gt=0"`
	// Delay is the time after the end of a window at which its report is due, in seconds. Default 10.
	Delay float64 `yaml:"delay_s" validate:"gt=0"`
}

// Limits bounds how far the use of a team may exceed its limit in any window.
type Limits struct {
	// Overage is the use allowed beyond a team's limit, as a share of the limit. Default 0.
	Overage float64 `yaml:"overage" validate:"gte=0"`
	// Slack is the use allowed in addition to the limit and the overage, in the unit of the limit. Default 0.
	Slack float64 `yaml:"slack" validate:"gte=0"`
}

func (l Limits) config(newDeployment bool, phase float64) teamlimit.Config {
	return teamlimit.Config{Overage: l.Overage, Slack: l.Slack, NewDeployment: newDeployment, Phase: phase}
}

func (r Retries) config() retrybudget.Config {
	return retrybudget.Config{Ratio: r.Ratio, Slack: r.Slack, Window: seconds(r.Window)}
}

const (
	// watchShare is the share of the shorter bound (Settings.ApplyMS or LeaveMS) that one watch of the store waits. A
	// change behind a connection that no longer delivers is then read within the bound, see docs/time-bounds.md.
	watchShare = 0.55
	// confirmDelay is the longest time between the end of another instance's watch and the report that states its age.
	confirmDelay = 400 * time.Millisecond
	// sharedGapShare is the share of the shorter bound that passes between the starts of two watches of the store whose
	// copy others read.
	sharedGapShare = 0.1
	// relayWaitShare and relayMarginShare are the shares of the shorter bound that limit maxRelayWait and maxRelayMargin.
	relayWaitShare   = 0.2
	relayMarginShare = 0.12
	// sharedDelayShare is the share of the shorter bound that a change may take over the whole chain of copies.
	sharedDelayShare = 0.9
	// minSharedWatchWait is the shortest time that a watch of the store waits.
	minSharedWatchWait = 100 * time.Millisecond
	// maxConfigAgeFactor times Settings.ApplyMS is the age above which the configuration counts as old. It covers the wait
	// of one watch and a call of the store.
	maxConfigAgeFactor = 1.25
)

// watchWait is how long one watch of the store waits for a change.
func (s Settings) watchWait() time.Duration {
	return s.shareOfBounds(watchShare)
}

// absenceLimit is the age of the configuration above which the store counts as away: a watch that does not fail confirms the
// configuration at the end of each wait.
func (s Settings) absenceLimit() time.Duration { return s.watchWait() + confirmDelay }

// sharedWatchWait is how long one watch of the store waits for a change while others read the copy. The copy may be as
// old as two watches, since a watch that returns a change confirms that the copy was complete only at the start of the
// watch; the reader adds relayWait and relayMargin.
func (s Settings) sharedWatchWait() time.Duration {
	bound := s.shareOfBounds(sharedDelayShare)
	return max((bound-s.relayWait()-s.relayMargin()-copyMargin-s.sharedWatchGap())/2, minSharedWatchWait)
}

// relayWait is how long one watch of a relay's copy waits for a change, relayMargin what is added in the timeout.
func (s Settings) relayWait() time.Duration {
	return min(maxRelayWait, s.shareOfBounds(relayWaitShare))
}

func (s Settings) relayMargin() time.Duration {
	return min(maxRelayMargin, s.shareOfBounds(relayMarginShare))
}

// shareOfBounds returns a share of the shorter of the bounds ApplyMS and LeaveMS.
func (s Settings) shareOfBounds(share float64) time.Duration {
	return milliseconds(share * min(s.ApplyMS, s.LeaveMS))
}

// sharedWatchGap is the shortest time between the starts of two watches of the store while others read the copy.
func (s Settings) sharedWatchGap() time.Duration {
	return s.shareOfBounds(sharedGapShare)
}

// maxConfigAge is the maximum age of the configuration at which a caller may get the answer that a route or key does
// not exist.
func (s Settings) maxConfigAge() time.Duration { return milliseconds(maxConfigAgeFactor * s.ApplyMS) }

// weight ranks the instance among the candidates for an aggregator, see fleetstate.Config.
func (s Settings) weight() int { return int(math.Round(s.CPUShare * thousand)) }

// thousand is the number of units of weight per processor core.
const thousand = 1000

// answerMemoryShare is the share of MemoryMB that buffered answers and incomplete events may take.
const answerMemoryShare = 0.25

// maxAnswerMemory is that share in bytes, 0 for the default.
func (s Settings) maxAnswerMemory() int {
	return int(answerMemoryShare * float64(s.MemoryMB) * (1 << 20))
}

// bodyMemoryShare is the share of MemoryMB that the bodies of requests may take.
const bodyMemoryShare = 0.125

// maxBodyMemory is that share in bytes, 0 for the default.
func (s Settings) maxBodyMemory() int {
	return int(bodyMemoryShare * float64(s.MemoryMB) * (1 << 20))
}

const (
	// historyShare is the share of MemoryMB that the changes kept for other instances may take, for each kind of object. On
	// the smallest machines (184 MiB) it holds one object of the largest size that the store allows, 1 MiB.
	historyShare = 0.01
	// historyLimit bounds that memory in bytes. An answer with all of it stays below objectrelay.MaxReplyBytes.
	historyLimit = 3 << 20
)

// maxHistoryBytes is the memory in bytes that the changes kept of one kind of object may take, 0 for the default.
func (s Settings) maxHistoryBytes() int {
	return min(int(historyShare*float64(s.MemoryMB)*(1<<20)), historyLimit)
}

// originMemoryShare is the share of MemoryMB that the origins of streams may take.
const originMemoryShare = 0.006

// maxOriginMemory is that share in bytes, 0 for the default.
func (s Settings) maxOriginMemory() int {
	return min(int(originMemoryShare*float64(s.MemoryMB)*(1<<20)), streamorigin.MaxEntries*streamorigin.EntryBytes)
}

const (
	// reservedDescriptors are left for files, listeners and the connections to the store and other instances.
	reservedDescriptors = 250
	// callerDescriptorShare is the share of the other descriptors that connections of callers may take. The rest is for
	// connections to endpoints.
	callerDescriptorShare = 0.6
)

// connectionMemoryShare is the share of MemoryMB that connections of callers may take.
const connectionMemoryShare = 0.25

// maxCallerConnections is the number of connections of callers that the process keeps open, 0 if no limit is known. The
// descriptors and the memory bound it.
func (s Settings) maxCallerConnections() int {
	byDescriptors := s.connectionsByDescriptors()
	byMemory := int(connectionMemoryShare * float64(s.MemoryMB) * (1 << 20) / forward.ConnectionBytes)
	if byDescriptors == 0 || byMemory > 0 && byMemory < byDescriptors {
		return byMemory
	}
	return byDescriptors
}

func (s Settings) connectionsByDescriptors() int {
	descriptors := s.MaxDescriptors
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		if own := int(limit.Cur); descriptors == 0 || own < descriptors {
			descriptors = own
		}
	}
	if descriptors == 0 {
		return 0
	}
	return max(int(callerDescriptorShare*float64(descriptors-reservedDescriptors)), 1)
}

// DefaultSettings returns settings with every optional field at its default.
func DefaultSettings() Settings {
	return Settings{
		CPUShare: 1, AlternationMS: 3000, StopGrace: 8, ApplyMS: 2000, LeaveMS: 2000,
		Retries: Retries{Ratio: 0.2, Slack: 10, Window: 10},
		Usage:   Usage{Window: 5, Delay: 10},
	}
}

// ParseSettings decodes settings from YAML over the defaults and validates them.
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
