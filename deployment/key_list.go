package deployment

// KeyList holds the API keys of one version of the configuration.
type KeyList struct {
	Access Access
	// TeamNames maps each key to the name of the team that holds it, "" if the name cannot be read.
	TeamNames map[string]string
}

// holds reports whether the key belongs to the team, or to one whose name cannot be read.
func (l *KeyList) holds(key, team string) bool {
	name, listed := l.TeamNames[key]
	return listed && (name == team || name == "")
}

// intersect returns the list of the keys that both lists hold for the same team.
func (l *KeyList) intersect(other *KeyList) *KeyList {
	switch {
	case l.Access == OpenToAll:
		return other
	case other.Access == OpenToAll:
		return l
	}
	both := &KeyList{Access: l.Access, TeamNames: make(map[string]string)}
	for key, name := range l.TeamNames {
		if otherName, listed := other.TeamNames[key]; listed && (name == otherName || name == "" || otherName == "") {
			both.TeamNames[key] = max(name, otherName) // the name that can be read
		}
	}
	return both
}

// Withdraw returns c without the API keys that list does not hold for the same team, or c itself if list holds them all. Nothing else
// changes, but for a configuration that is open to all: if the list requires keys, only its keys are valid then, each for a team without
// a limit.
func (c *Config) Withdraw(list *KeyList) *Config {
	if list == nil || list.Access == OpenToAll {
		return c
	}
	restricted := *c
	restricted.Access, restricted.teamsByKey = KeyRequired, make(map[string]*Team, len(c.teamsByKey))
	for key, team := range c.teamsByKey {
		if list.holds(key, team.Name) {
			restricted.teamsByKey[key] = team
		}
	}
	if c.Access != OpenToAll {
		if len(restricted.teamsByKey) == len(c.teamsByKey) {
			return c
		}
		return &restricted
	}
	for key, name := range list.TeamNames {
		if name != "" {
			restricted.teamsByKey[key] = &Team{Name: name, Keys: []string{key}, Priority: -1}
		}
	}
	return &restricted
}
