package devtool

import (
	"fmt"
	"time"

	"knapweedhoist/cloud"
	"knapweedhoist/standin"
)

// injectFault adds a fault to the scripts of its target. If the fault has a duration, a timer removes it.
func (d *deployment) injectFault(q faultQuery) error {
	scripts := d.faultScripts(q.target)
	if len(scripts) == 0 {
		return fmt.Errorf("on %q; allowed are platform, cloud, list, endpoints or the id of an endpoint", q.target)
	}
	for _, script := range scripts {
		remove := script.Add(q.fault)
		if q.duration > 0 {
			time.AfterFunc(q.duration, remove)
		}
	}
	return nil
}

// faultScripts returns the fault scripts of the named stand-ins; an unknown name gives none.
func (d *deployment) faultScripts(name string) []*standin.Faults {
	switch name {
	case "platform":
		return []*standin.Faults{&d.Platform.Faults}
	case "cloud":
		return []*standin.Faults{&d.Cloud.Faults}
	case "list":
		return []*standin.Faults{&d.Roster.Faults}
	}
	var scripts []*standin.Faults
	for _, member := range d.Members() {
		switch {
		case name != "endpoints" && name != member.Entry.ID:
		case member.Engine != nil:
			scripts = append(scripts, &member.Engine.Faults)
		case member.Service != nil:
			scripts = append(scripts, &member.Service.Faults)
		}
	}
	return scripts
}

// reclaim sends a notice to the endpoint with the id, or to all endpoints of the
// data centre if id is empty, and returns the number of notices sent. Endpoints
// that are not reclaimable or already have a notice get none.
func (d *deployment) reclaim(id, datacentre string) int {
	return d.Cloud.Reclaim(func(instance cloud.Instance) bool {
		if id != "" {
			return instance.ID == id
		}
		return instance.Datacentre == datacentre
	})
}
