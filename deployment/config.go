package deployment

import "strings"

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Services map[string]*Service
	Teams    []*Team
	Limits   Limits

	routes map[string][]*Route
	keys   map[string]*Team
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxBodyBytes bounds a request's body; 0 sets no limit.
	MaxBodyBytes int
}

// NewConfig returns a Config with its routes and keys indexed.
func NewConfig(version int64, routes []*Route, services []*Service, teams []*Team, limits Limits) *Config {
	c := &Config{
		Version: version, Teams: teams, Limits: limits,
		Services: make(map[string]*Service, len(services)),
		routes:   make(map[string][]*Route), keys: make(map[string]*Team),
	}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.routes[host] = append(c.routes[host], route)
	}
	for _, team := range teams {
		for _, key := range team.Keys {
			c.keys[key] = team
		}
	}
	return c
}

// Route returns the route with the longest prefix of path under host, or nil.
func (c *Config) Route(host, path string) *Route {
	var best *Route
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Team returns the team that holds key, or nil.
func (c *Config) Team(key string) *Team { return c.keys[key] }

// HasTeams reports whether requests need an API key.
func (c *Config) HasTeams() bool { return len(c.Teams) > 0 }
