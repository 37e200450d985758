package knapweedhoist

import (
	"context"

	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/cloud"
	"knapweedhoist/objectapi"
	"knapweedhoist/roster"
)

// meteredStore counts the calls of the object API, the failed calls, and the
// bytes of the values sent and received.
type meteredStore struct {
	objectapi.Store
	registry metrics.Registry
}

// Do implements objectapi.Store.
func (s *meteredStore) Do(ctx context.Context, request objectapi.Request) (objectapi.Reply, error) {
	s.count("platform_"+request.Op.String()+"_calls_total", 1)
	s.count("platform_sent_bytes_total", len(request.Value))
	reply, err := s.Store.Do(ctx, request)
	s.count("platform_received_bytes_total", valueBytes(reply))
	if err != nil {
		s.count("platform_failed_calls_total", 1)
	}
	return reply, err
}

func (s *meteredStore) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(int64(n))
}

func valueBytes(reply objectapi.Reply) int {
	n := len(reply.Object.Value)
	for _, object := range reply.Objects {
		n += len(object.Value)
	}
	for _, event := range reply.Events {
		n += len(event.Object.Value)
	}
	return n
}

// meteredList counts the reads of the lagging list and the entries read.
type meteredList struct {
	roster.List
	registry metrics.Registry
}

// Read implements roster.List.
func (l *meteredList) Read(ctx context.Context) (roster.Snapshot, error) {
	snapshot, err := l.List.Read(ctx)
	metrics.GetOrRegisterCounter("list_reads_total", l.registry).Inc(1)
	metrics.GetOrRegisterCounter("list_entries_read_total", l.registry).Inc(int64(len(snapshot.Entries)))
	return snapshot, err
}

// meteredCloud counts the reads of the cloud's reclaim notices.
type meteredCloud struct {
	cloud.Cloud
	registry metrics.Registry
}

// Notices implements cloud.Cloud.
func (c *meteredCloud) Notices(ctx context.Context, from uint64) ([]cloud.Notice, error) {
	metrics.GetOrRegisterCounter("cloud_notice_reads_total", c.registry).Inc(1)
	return c.Cloud.Notices(ctx, from)
}
