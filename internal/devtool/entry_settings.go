package devtool

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"go.yaml.in/yaml/v3"

	"knapweedhoist/settings"
)

// newFleetKey returns a random fleet key in hexadecimal. Each deployment has its own, because with a shared key
// deployments that run on one machine and reuse a port would accept each other's frames.
func newFleetKey() settings.Secret {
	var key [32]byte
	_, _ = rand.Read(key[:]) // never fails
	return settings.Secret(hex.EncodeToString(key[:]))
}

// entrySettings returns the settings of entry instance n, counted from 0, with free loopback addresses.
func (d *deployment) entrySettings(n int) (settings.Settings, error) {
	cfg := settings.Default()
	cfg.Instance = fmt.Sprintf("entry-%d", n+1)
	cfg.Datacentre = d.topology.datacentres[n%len(d.topology.datacentres)]
	cfg.Region = sampleRegion
	cfg.FleetKey = d.fleetKey
	cfg.Operators = []settings.Operator{{Name: "operator", KeyHash: hashKey(operatorKey)}}
	cfg.Platform.Address = d.Platform.Addr()
	cfg.List.Address = d.Roster.Addr()
	cfg.Cloud.Address = d.Cloud.Addr()
	cfg.Distances = make(map[string]settings.Duration)
	for _, datacentre := range d.topology.datacentres {
		cfg.Distances[datacentre] = settings.Duration(time.Millisecond)
	}
	delete(cfg.Distances, cfg.Datacentre)
	cfg.Log.Format = "text"
	for _, field := range []*string{&cfg.Listen.Callers, &cfg.Listen.Operators, &cfg.Listen.Peers, &cfg.Listen.Heartbeats} {
		address, err := freeAddress()
		if err != nil {
			return cfg, err
		}
		*field = address
	}
	return cfg, nil
}

// basePort is the port below the first one of entry instances. It lies below the
// range from which Linux takes the ports of outgoing connections.
const basePort = 21000

// lastPortOffset is the offset from basePort of the last port tried.
var lastPortOffset atomic.Int32

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", basePort+lastPortOffset.Add(1))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address, nil
	}
	return "", errors.New("no free port for an entry instance after 1000 attempts")
}

// writeSettings writes the settings file of entry instance n, counted from 0, to path and adds the instance to the lagging
// list.
func (d *deployment) writeSettings(path string, n int) error {
	cfg, err := d.entrySettings(n)
	if err != nil {
		return err
	}
	d.addToRoster(cfg.Instance, cfg.Datacentre, cfg.Listen.Heartbeats)
	content, err := yaml.Marshal(cfg)
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o600)
}
