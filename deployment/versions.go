package deployment

import "knapweedhoist/objectapi"

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
// A position is that of the object in the store. It orders the versions that the store held in one era; after a return from an older
// copy, the documents' own versions tell whether the store shows an older one. The position is zero for what another instance sent. The
// zero value holds no configuration. Versions is not safe for concurrent use.
type Versions struct {
	// accepted is the newest valid version.
	accepted *Config
	// position is the last one of the versions that were read, valid or not. A copy of the store may lag behind another one.
	position objectapi.Position
	// keys is the newest readable list of API keys of a rejected version after accepted, nil without one. keysVersion is that
	// version, 0 if it cannot be read, and keysAfter the newest one that had been read then. After a return of the store the list
	// is kept until a version above keysAfter is valid, or the list of a newer one is read.
	keys         *KeyList
	keysVersion  int64
	keysAfter    int64
	keysPosition objectapi.Position
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
func (v *Versions) Accept(config *Config, position objectapi.Position) bool {
	v.newest = max(v.newest, config.Version)
	if v.accepted != nil && config.Version < v.accepted.Version {
		return false
	}
	if v.accepted == nil || config.Version > v.accepted.Version {
		v.accepted = config
	}
	if position.After(v.position) {
		v.position = position
	}
	if v.keys != nil && v.follows(config, position) {
		v.keys = nil
	}
	return v.apply()
}

// follows reports whether a valid version is newer than the one that v.keys is from.
func (v *Versions) follows(config *Config, position objectapi.Position) bool {
	switch {
	case position.Version == 0:
		return v.keysVersion != 0 && config.Version > v.keysVersion
	case position.Era != v.keysPosition.Era:
		return config.Version > v.keysAfter
	default:
		return position.Version > v.keysPosition.Version
	}
}

// Reject takes a version into account that is not valid. It reports whether the configuration in force changed.
func (v *Versions) Reject(rejected RejectedConfig, position objectapi.Position) bool {
	v.newest = max(v.newest, rejected.Version)
	if !position.After(v.position) {
		return false
	}
	v.position = position
	switch {
	case rejected.Keys == nil:
		return false
	case v.accepted != nil && rejected.Version != 0 && rejected.Version <= v.accepted.Version:
		return false
	}
	switch {
	case v.keys == nil || position.Era == v.keysPosition.Era || v.keysVersion != 0 && rejected.Version >= v.keysVersion:
		v.keys, v.keysVersion, v.keysAfter, v.keysPosition = rejected.Keys, rejected.Version, v.newest, position
	case rejected.Version == 0 || v.keysVersion == 0:
		v.keys = v.keys.intersect(rejected.Keys) // either may be the newer one
	}
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
