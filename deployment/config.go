package deployment

import (
	"strings"
	"time"
)

// Config is one version of the operators' configuration. It is created by NewConfig and immutable.
type Config struct {
	Version  int64
	Services map[string]*Service
	Access   Access
	Teams    []*Team
	Limits   Limits

	routesByHost map[string][]*Route
	teamsByKey   map[string]*Team
}

// Access states which requests of routes that are not public are served.
type Access int

const (
	// KeyRequired serves requests with the API key of a team; without any team none.
	KeyRequired Access = iota
	// OpenToAll serves all requests.
	OpenToAll
)

// Limits bounds the requests of callers.
type Limits struct {
	// MaxBodyBytes bounds a request's body; 0 sets no limit.
	MaxBodyBytes int
	// IdleTimeout is how long a connection of a caller may wait for its next request; 0 sets no limit.
	IdleTimeout time.Duration
}

// NewConfig returns a Config that indexes routes by host and teams by API key.
func NewConfig(version int64, routes []*Route, services []*Service, access Access, teams []*Team, limits Limits) *Config {
	c := &Config{
		Version: version, Access: access, Teams: teams, Limits: limits,
		Services:     make(map[string]*Service, len(services)),
		routesByHost: make(map[string][]*Route), teamsByKey: make(map[string]*Team),
	}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.routesByHost[host] = append(c.routesByHost[host], route)
	}
	for _, team := range teams {
		for _, key := range team.Keys {
			c.teamsByKey[key] = team
		}
	}
	return c
}

// Route returns the route of host with the longest Prefix of path, or nil if there is none. The case of host is
// ignored.
func (c *Config) Route(host, path string) *Route {
	var best *Route
	for _, route := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Team returns the team with the API key, or nil if there is none.
func (c *Config) Team(key string) *Team { return c.teamsByKey[key] }
