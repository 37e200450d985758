package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: objects by kind and name, one revision counter, lists and watches.
type store struct {
	rec  *recorder
	gate *gate
	http *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []event
	changed  chan struct{}
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

type metadata struct {
	Name       string
	Revision   uint64
	CreatedRev uint64
	Finalizers []string
	Deleting   bool
}

type event struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

func startStore(rec *recorder) (*store, error) {
	g, err := newGate("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, gate: g, revision: 100, objects: make(map[string]map[string]*object), changed: make(chan struct{})}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(g) }()
	return s, nil
}

func (s *store) address() string { return s.gate.Addr().String() }

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, value)
}

// remove deletes an object as the operator or a server does, and returns the time of the acknowledgement.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(kind, name)
	return time.Now()
}

// write stores a spec. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) *object {
	byName := s.objects[kind]
	if byName == nil {
		byName = make(map[string]*object)
		s.objects[kind] = byName
	}
	current := byName[name]
	if current != nil && string(current.Spec) == string(spec) {
		return current // a write that changes nothing gives no event
	}
	s.revision++
	next := &object{Metadata: metadata{Name: name, Revision: s.revision, CreatedRev: s.revision, Finalizers: []string{}}, Spec: spec}
	if current != nil {
		next.Metadata.CreatedRev = current.Metadata.CreatedRev
	}
	byName[name] = next
	s.publish(event{kind: kind, revision: s.revision, object: *next})
	return next
}

// erase deletes an object. The caller holds mu.
func (s *store) erase(kind, name string) {
	current := s.objects[kind][name]
	if current == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := *current
	gone.Metadata.Revision = s.revision
	s.publish(event{kind: kind, revision: s.revision, object: gone, deleted: true})
}

func (s *store) publish(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/knapweedhoist/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		answerObject(w, s.objects[kind][name])
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func answerObject(w http.ResponseWriter, o *object) {
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, http.StatusOK, o)
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("SinceRev") {
			items = append(items, *o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answerJSON(w, http.StatusOK, map[string]any{"Items": items, "MorePages": false, "CurrentRev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for waiting := true; ; {
		events, revision, changed := s.since(kind, from)
		if len(events) > 0 || !waiting {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(kind string, from uint64) (events []map[string]any, revision uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []map[string]any{}
	for _, e := range s.history {
		if e.kind == kind && e.revision > from {
			events = append(events, map[string]any{"Object": e.object, "Deleted": e.deleted})
		}
	}
	return events, s.revision, s.changed
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	} else if required := r.URL.Query().Get("Revision"); required != "" {
		body.Metadata.Revision, _ = strconv.ParseUint(required, 10, 64)
	}
	if name == "" {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && current != nil,
		current != nil && body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision:
		answerJSON(w, http.StatusConflict, current)
	case r.Method == http.MethodPost:
		answerObject(w, s.write(kind, name, body.Spec))
	case current == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.erase(kind, name)
		answerJSON(w, http.StatusOK, current)
	default:
		answerObject(w, s.write(kind, name, body.Spec))
	}
}

// stop closes the store.
func (s *store) stop() {
	_ = s.http.Close()
	s.gate.cut()
}
