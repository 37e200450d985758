package distribution

import (
	"encoding/json"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/catalog"
	"knapweedhoist/testutil"
)

// editorFixture runs one Editor with a Store that answers immediately.
type editorFixture struct {
	store  *testutil.Store
	editor *Editor
	now    time.Time
	ref    uint64
}

func newEditorFixture() *editorFixture {
	store := testutil.NewStore(rand.New(rand.NewSource(1)), testutil.Faults{})
	return &editorFixture{store: store, editor: NewEditor(discardLog, EditorConfig{}), now: time.UnixMilli(1_800_000_000_000)}
}

func (s *editorFixture) edit(id string, base uint64, kind catalog.ItemKind, name, item string) Result {
	s.ref++
	edit := Edit{Ref: s.ref, OperationID: id, BaseRevision: base, Kind: kind, Name: name, Deadline: s.now.Add(time.Second)}
	if item != "" {
		edit.Item = json.RawMessage(item)
	}
	out := s.editor.Submit(s.now, edit)
	for len(out.Results) == 0 {
		s.store.Submit(s.now, "x", out.Calls...)
		for _, delivery := range s.store.Advance(s.now) {
			out = s.editor.Done(s.now, delivery.Done)
		}
	}
	Expect(out.Results[0].Ref).To(Equal(s.ref))
	return out.Results[0]
}

var _ = Describe("the editor", func() {
	var s *editorFixture
	BeforeEach(func() {
		s = newEditorFixture()
		Expect(s.edit("op-1", 0, catalog.ItemPreset, "peak", `{"name":"peak"}`)).To(Equal(Result{Ref: 1, Outcome: Accepted, Revision: 1}))
	})

	It("guards against a change that overwrites another operator's change of the same item", func() {
		s.edit("op-2", 1, catalog.ItemPreset, "peak", `{"name":"peak","short_tokens":7}`)
		result := s.edit("op-3", 1, catalog.ItemPreset, "peak", `{"name":"peak","short_tokens":8}`)
		Expect(result.Outcome).To(Equal(Conflict))
		Expect(result.ConflictingChange.OperationID).To(Equal("op-2"))
		Expect(result.CurrentItem).To(MatchJSON(`{"name":"peak","short_tokens":7}`))
	})

	It("guards against a conflict that is reported between changes of different items", func() {
		Expect(s.edit("op-2", 0, catalog.ItemPreset, "maintenance", `{"name":"maintenance"}`).Revision).To(Equal(uint64(2)))
	})

	It("guards against an operation that is stored twice, and against an operation id reused for another change", func() {
		Expect(s.edit("op-1", 0, catalog.ItemPreset, "peak", `{"name": "peak"}`)).To(Equal(Result{Ref: 2, Outcome: Accepted, Revision: 1}))
		Expect(s.edit("op-1", 1, catalog.ItemPreset, "peak", "").Err).To(MatchError(ErrOperationReused))
	})

	It("guards against the deletion of the preset in force or of a service that a team may call", func() {
		Expect(s.edit("op-2", 1, catalog.ItemInForce, "", `"peak"`).Outcome).To(Equal(Accepted))
		Expect(s.edit("op-3", 2, catalog.ItemPreset, "peak", "").Err).To(MatchError(catalog.ErrInvalid))
		Expect(s.edit("op-4", 2, catalog.ItemInForce, "", "").Err).To(MatchError(catalog.ErrInvalid))
		Expect(s.edit("op-5", 2, catalog.ItemService, "reservas", `{"name":"reservas","kind":"plain"}`).Outcome).To(Equal(Accepted))
		hash := catalog.HashKey("k")
		team, err := json.Marshal(catalog.Team{Name: "t", KeyHashes: []string{hexOf(hash)}, Services: []string{"reservas"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.edit("op-6", 3, catalog.ItemTeam, "t", string(team)).Outcome).To(Equal(Accepted))
		deletion := s.edit("op-7", 4, catalog.ItemService, "reservas", "")
		Expect(deletion.Outcome).To(Equal(Invalid))
		Expect(deletion.Err).To(MatchError(ContainSubstring(`team "t": services[0]: must name a service`)))
	})

	It("guards against an edit accepted on a base revision that is older than the retained changes", func() {
		for i := range uint64(catalog.MaxChanges + 1) {
			s.edit("fill-"+string(rune('A'+i)), 1+i, catalog.ItemPreset, "peak", `{"name":"peak"}`)
		}
		result := s.edit("op-1", 0, catalog.ItemPreset, "other", `{"name":"other"}`)
		Expect(result.Outcome).To(Equal(Conflict))
		Expect(result.ConflictingChange).To(BeNil())
	})
})
