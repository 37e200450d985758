package streamorigin

import (
	"maps"
	"slices"
	"time"
)

// maxVersions is the number of versions of a service that are kept apart. Which one began a stream is unknown in any case if
// there are several.
const maxVersions = 32

// history knows which versions of each service streams can have begun at that are not yet too old to be taken up.
type history struct {
	// services holds the versions by service.
	services map[string]map[string]versionState
}

// versionState tells how long a version counts.
type versionState struct {
	// listed is set while an endpoint with the version is listed. Otherwise the version counts until a time.
	listed bool
	until  time.Time
	// announced is set if the other instances know the version: one of them has stated it as in service, or it was listed here before.
	announced bool
}

func newHistory() *history { return &history{services: make(map[string]map[string]versionState)} }

// setListed sets the versions of all listed endpoints. Versions that are no longer listed count for Lifetime. It returns those of
// services with several versions that the other instances may not know.
func (h *history) setListed(now time.Time, listed map[Origin]bool) (added []Origin) {
	for service, versions := range h.services {
		for version, seen := range versions {
			if seen.listed && !listed[Origin{service, version}] {
				versions[version] = versionState{until: now.Add(Lifetime), announced: true}
			}
		}
	}
	var fresh []Origin
	for origin := range listed {
		seen := h.services[origin.Service][origin.Version]
		if !seen.listed && (!seen.announced || !now.Before(seen.until)) {
			fresh = append(fresh, origin)
		}
		h.set(origin, versionState{listed: true})
	}
	for _, origin := range fresh {
		if len(h.versions(now, origin.Service)) > 1 {
			added = append(added, origin)
		}
	}
	return added
}

// learn lets a version that another instance states as in service count for Lifetime.
func (h *history) learn(now time.Time, origin Origin) {
	h.saw(now, origin, now.Add(Lifetime))
	if seen, ok := h.services[origin.Service][origin.Version]; ok {
		seen.announced = true
		h.services[origin.Service][origin.Version] = seen
	}
}

// inService returns at most limit listed origins of the given services.
func (h *history) inService(services map[string]bool, limit int) map[Origin]bool {
	origins := make(map[Origin]bool)
	for service := range services {
		for version, seen := range h.services[service] {
			if seen.listed && len(origins) < limit {
				origins[Origin{service, version}] = true
			}
		}
	}
	return origins
}

// saw lets a version count until a time, which is at most Lifetime away.
func (h *history) saw(now time.Time, origin Origin, until time.Time) {
	if latest := now.Add(Lifetime); until.After(latest) {
		until = latest
	}
	if seen := h.services[origin.Service][origin.Version]; !seen.listed && until.After(seen.until) {
		h.set(origin, versionState{until: until, announced: seen.announced && now.Before(seen.until)})
	}
}

func (h *history) set(origin Origin, seen versionState) {
	versions := h.services[origin.Service]
	if versions == nil {
		versions = make(map[string]versionState)
		h.services[origin.Service] = versions
	}
	if _, known := versions[origin.Version]; !known && !seen.listed && len(versions) >= maxVersions {
		first, ok := firstToEnd(versions)
		if !ok || !versions[first].until.Before(seen.until) {
			return
		}
		delete(versions, first)
	}
	versions[origin.Version] = seen
}

// firstToEnd returns the version that stops counting first, false if all are listed.
func firstToEnd(versions map[string]versionState) (first string, ok bool) {
	for version, seen := range versions {
		if !seen.listed && (!ok || seen.until.Before(versions[first].until)) {
			first, ok = version, true
		}
	}
	return first, ok
}

// versions returns the versions of a service that count, sorted.
func (h *history) versions(now time.Time, service string) []string {
	var counting []string
	for version, seen := range h.services[service] {
		if seen.listed || now.Before(seen.until) {
			counting = append(counting, version)
		}
	}
	slices.Sort(counting)
	return counting
}

// forget removes the versions that no longer count.
func (h *history) forget(now time.Time) {
	for service, versions := range h.services {
		maps.DeleteFunc(versions, func(_ string, seen versionState) bool { return !seen.listed && !now.Before(seen.until) })
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
}

// all returns the origins that count, of the services with any stated version.
func (h *history) all(now time.Time) map[Origin]bool {
	origins := make(map[Origin]bool)
	for service := range h.services {
		versions := h.versions(now, service)
		if len(versions) == 1 && versions[0] == "" {
			continue
		}
		for _, version := range versions {
			origins[Origin{service, version}] = true
		}
	}
	return origins
}
