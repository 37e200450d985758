package operator

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"knapweedhoist/catalog"
)

// Item is the answer of GET /operator/v1/config/{kind}/{name}.
type Item struct {
	// Revision is the base revision for a change of the item.
	Revision uint64          `json:"revision"`
	Item     json.RawMessage `json:"item"`
}

// item answers /operator/v1/config/{service|team|preset}/{name}.
func (s *Server) item(ctx *fasthttp.RequestCtx, operator string) {
	kind, name, ok := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/operator/v1/config/"), "/")
	known := kind == string(catalog.ItemService) || kind == string(catalog.ItemTeam) || kind == string(catalog.ItemPreset)
	if !ok || !known || name == "" || strings.Contains(name, "/") {
		writeProblem(ctx, Problem{
			Status: fasthttp.StatusNotFound, Step: "operator/config",
			Detail: "the path is config/{service|team|preset}/{name}",
		})
		return
	}
	change := Change{Kind: catalog.ItemKind(kind), Name: name, Operator: operator}
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		s.getItem(ctx, change.Kind, name)
	case fasthttp.MethodPut, fasthttp.MethodDelete:
		s.change(ctx, change)
	default:
		refuseMethod(ctx, "GET, PUT, DELETE")
	}
}

func (s *Server) getItem(ctx *fasthttp.RequestCtx, kind catalog.ItemKind, name string) {
	document := s.config.Document()
	item, err := FindItem(document, kind, name)
	if err != nil {
		writeProblem(ctx, problemOf("operator/config", err))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, Item{Revision: document.Revision, Item: item})
}

// inForce answers /operator/v1/in-force.
func (s *Server) inForce(ctx *fasthttp.RequestCtx, operator string) {
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		document := s.config.Document()
		writeJSON(ctx, fasthttp.StatusOK, map[string]any{"revision": document.Revision, "preset": document.InForce})
	case fasthttp.MethodPut:
		s.change(ctx, Change{Kind: catalog.ItemInForce, Operator: operator})
	default:
		refuseMethod(ctx, "GET, PUT")
	}
}

// change reads the body, makes the change and answers with the revision.
func (s *Server) change(ctx *fasthttp.RequestCtx, change Change) {
	var body ChangeBody
	decoder := json.NewDecoder(strings.NewReader(string(ctx.PostBody())))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&body)
	if err == nil {
		err = complete(&change, body, ctx.IsDelete())
	}
	if err != nil {
		writeProblem(ctx, Problem{
			Status: fasthttp.StatusBadRequest, Step: "operator/change", Detail: err.Error(),
			Next: "give base_revision, operation_id, and item (or preset for in-force) as JSON",
		})
		return
	}
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, err := s.config.Change(call, change)
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		writeProblem(ctx, conflictProblem("operator/change", change, conflict))
	case err != nil:
		writeProblem(ctx, problemOf("operator/change", err))
	default:
		s.lg.Info("configuration changed", "step", "operator/change", "operator", change.Operator,
			"kind", change.Kind, "name", change.Name, "revision", result.Revision)
		writeJSON(ctx, fasthttp.StatusOK, result)
	}
}

// complete checks a body and moves it into the change.
func complete(change *Change, body ChangeBody, deletes bool) error {
	change.BaseRevision, change.OperationID = body.BaseRevision, body.OperationID
	if change.OperationID == "" || len(change.OperationID) > 64 {
		return errors.New("operation_id needs 1 to 64 characters")
	}
	switch {
	case change.Kind == catalog.ItemInForce:
		if body.Preset == "" {
			return errors.New("preset is missing")
		}
		change.Name = body.Preset
	case deletes:
		if body.Item != nil {
			return errors.New("a delete has no item")
		}
	case len(body.Item) == 0 || string(body.Item) == "null":
		return errors.New("item is missing")
	default:
		change.Item = body.Item
	}
	return nil
}

// FindItem returns an item of a document as JSON; ErrNotFound.
func FindItem(document catalog.Document, kind catalog.ItemKind, name string) (json.RawMessage, error) {
	var item any
	switch kind {
	case catalog.ItemService:
		item = find(document.Services, name, func(s catalog.Service) string { return s.Name })
	case catalog.ItemTeam:
		item = find(document.Teams, name, func(t catalog.Team) string { return t.Name })
	case catalog.ItemPreset:
		item = find(document.Presets, name, func(p catalog.Preset) string { return p.Name })
	}
	if item == nil {
		return nil, stepError("operator/config", ErrNotFound)
	}
	return json.Marshal(item)
}

// find returns nil when no item has the name.
func find[T any](items []T, name string, nameOf func(T) string) any {
	for _, item := range items {
		if nameOf(item) == name {
			return item
		}
	}
	return nil
}
