package objectera

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/objectapi"
)

// scriptedStore returns one reply after the other.
type scriptedStore struct {
	replies []objectapi.Reply
	errs    []error
}

func (s *scriptedStore) Do(context.Context, objectapi.Request) (objectapi.Reply, error) {
	reply, err := s.replies[0], s.errs[0]
	s.replies, s.errs = s.replies[1:], s.errs[1:]
	return reply, err
}

// Guards against a return of the store that an instance does not notice because the first answer of the new era is an error,
// and against a late answer, or one without an era, that takes the era back.
func TestEraNeverFalls(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	registry, scripted := metrics.NewRegistry(), &scriptedStore{}
	s := NewStore(slog.New(slog.NewTextHandler(&log, nil)), registry, scripted)
	for _, step := range []struct {
		era         objectapi.Era
		version     objectapi.Version
		err         error
		want        objectapi.Era
		wantReturns int64
	}{
		{4, 90, nil, 4, 0},
		{5, 0, objectapi.ErrUnavailable, 5, 1},
		{4, 91, nil, 5, 1},
		{0, 0, objectapi.ErrNotFound, 5, 1},
		{0, 0, objectapi.ErrUnavailable, 5, 1}, // no answer
		{5, 80, nil, 5, 1},
		{7, 0, objectapi.ErrConflict, 7, 2},
	} {
		scripted.replies = append(scripted.replies, objectapi.Reply{Era: step.era, Version: step.version})
		scripted.errs = append(scripted.errs, step.err)
		reply, err := s.Do(t.Context(), objectapi.Get(objectapi.KindLease, "x"))
		g.Expect(reply.Era).To(Equal(step.era))
		if step.err == nil {
			g.Expect(err).NotTo(HaveOccurred())
		} else {
			g.Expect(err).To(MatchError(step.err))
		}
		g.Expect(s.Era()).To(Equal(step.want))
		g.Expect(s.returns.Count()).To(Equal(step.wantReturns))
	}
	g.Expect(s.unusual.Count()).To(Equal(int64(2)))
	g.Expect(strings.Count(log.String(), "older era or none")).To(Equal(1), "logged once for each change")
	g.Expect(log.String()).To(ContainSubstring("era=5 former_era=4 version=0 former_version=90"))
	g.Expect(log.String()).To(ContainSubstring("era=7 former_era=5 version=0 former_version=80"))
	g.Expect(registry.Get("store_era").(metrics.Gauge).Value()).To(Equal(int64(7)))
}
