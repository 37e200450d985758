package main

import (
	"time"
)

// applyTime is ConfigApplyMs.
const applyTime = 2 * time.Second

// unknownKey is a key that no configuration has held.
const unknownKey = "key-of-nobody"

// lastTenant: the operator takes the only tenant away, so that the list of tenants in the configuration is empty.
func lastTenant(d *deployment) error {
	if err := d.startServers(plainService, 4); err != nil {
		return err
	}
	if err := d.startNodes(); err != nil {
		return err
	}
	if ran := d.requestsWith(unknownKey); ran > 0 {
		return broken("%d requests ran with an unknown key before the change", ran)
	}
	d.noTenants = d.trouble
	if err := d.configure(); err != nil {
		return err
	}
	d.rec.add("the store has acknowledged version %d, tenants taken away: %v", d.version, d.noTenants)
	time.Sleep(applyTime + time.Second)
	withdrawn := 0
	if ran := d.requestsWith(apiKey); d.noTenants {
		withdrawn = ran
	}
	unknown := d.requestsWith(unknownKey)
	if withdrawn+unknown > 0 {
		return broken("later than ConfigApplyMs after the ack, servers ran %d requests with the key that was taken away and %d with a key that no configuration has held",
			withdrawn, unknown)
	}
	return nil
}

// requestsWith sends ten requests that must not be repeated to each machine, each on a new channel, and returns how many of
// them a server ran.
func (d *deployment) requestsWith(key string) int {
	ran := 0
	for range 10 {
		for _, n := range d.nodes {
			c, err := dial(n.front)
			if err != nil {
				d.rec.add("no channel to %s: %v", n.name, err)
				continue
			}
			c.key = key
			id := newID()
			got := c.send(dispatchPath, id, 1500*time.Millisecond, "")
			c.close()
			d.rec.add("%s sent to %s with %s: status %d", id, n.name, key, got.status)
			for _, s := range d.servers {
				if s.arrived(id) {
					ran++
				}
			}
		}
	}
	return ran
}
