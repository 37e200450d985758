package deployment

// RejectedConfig is what can be read of a version of the configuration that must not be put in force.
type RejectedConfig struct {
	// Version is 0 if it cannot be read.
	Version int64
	// Keys is nil if the list of API keys cannot be read.
	Keys *KeyList
}

// Versions decides which configuration is in force, from the versions that an instance reads from the store or from other
// instances. The newest valid version is in force. A newer one that is rejected only withdraws API keys: the operator who
// withdrew a key relies on it, whatever fault the version has in another place.
//
// A revision is the store's, which orders the versions that the store held; it is 0 for what another instance sent. The zero value
// holds no configuration. Versions is not safe for concurrent use.
type Versions struct {
	// accepted is the newest valid version.
	accepted *Config
	// revision is the highest one of the versions that were read, valid or not. A copy of the store may lag behind another one.
	revision uint64
	// keys is the newest readable list of API keys of a rejected version after accepted, nil without one.
	keys         *KeyList
	keysVersion  int64
	keysRevision uint64
	newest       int64
	// inForce is appliedTo without the keys that appliedKeys withdraws.
	inForce, appliedTo *Config
	appliedKeys        *KeyList
}

// InForce returns the configuration in force, nil before the first valid version.
func (v *Versions) InForce() *Config { return v.inForce }

// Newest returns the highest version that was read, valid or not.
func (v *Versions) Newest() int64 { return v.newest }

// Withdraws reports whether a rejected version withdraws API keys of the configuration in force.
func (v *Versions) Withdraws() bool { return v.inForce != v.appliedTo }

// Accept takes a valid version into account. It reports whether the configuration in force changed.
func (v *Versions) Accept(config *Config, revision uint64) bool {
	v.newest = max(v.newest, config.Version)
	if v.accepted != nil && config.Version < v.accepted.Version {
		return false
	}
	if v.accepted == nil || config.Version > v.accepted.Version {
		v.accepted = config
	}
	v.revision = max(v.revision, revision)
	if v.keys != nil && v.follows(config, revision) {
		v.keys = nil
	}
	return v.apply()
}

// follows reports whether a valid version is newer than the one that v.keys is from.
func (v *Versions) follows(config *Config, revision uint64) bool {
	if revision != 0 {
		return revision > v.keysRevision
	}
	return v.keysVersion != 0 && config.Version > v.keysVersion
}

// Reject takes a version into account that is not valid. It reports whether the configuration in force changed.
func (v *Versions) Reject(rejected RejectedConfig, revision uint64) bool {
	v.newest = max(v.newest, rejected.Version)
	if revision <= v.revision {
		return false
	}
	v.revision = revision
	switch {
	case rejected.Keys == nil:
		return false
	case v.accepted != nil && rejected.Version != 0 && rejected.Version <= v.accepted.Version:
		return false
	}
	v.keys, v.keysVersion, v.keysRevision = rejected.Keys, rejected.Version, revision
	return v.apply()
}

// apply sets the configuration in force and reports whether it changed.
func (v *Versions) apply() bool {
	if v.accepted == nil || v.accepted == v.appliedTo && v.keys == v.appliedKeys {
		return false
	}
	former := v.inForce
	v.appliedTo, v.appliedKeys = v.accepted, v.keys
	v.inForce = v.accepted.Withdraw(v.keys)
	return v.inForce != former
}
