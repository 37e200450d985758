package operator

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"knapweedhoist/catalog"
)

// Item is the response of GET /operator/v1/config/{kind}/{name}.
type Item struct {
	// Revision is the revision of the document; a change of the item uses it as its base revision.
	Revision uint64          `json:"revision"`
	Item     json.RawMessage `json:"item"`
}

// handleItem serves /operator/v1/config/{service|team|preset}/{name}.
func (s *Server) handleItem(ctx *fasthttp.RequestCtx, operator string) {
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
		s.handleGetItem(ctx, change.Kind, name)
	case fasthttp.MethodPut, fasthttp.MethodDelete:
		s.handleChange(ctx, change)
	default:
		refuseMethod(ctx, "GET, PUT, DELETE")
	}
}

func (s *Server) handleGetItem(ctx *fasthttp.RequestCtx, kind catalog.ItemKind, name string) {
	document := s.config.Document()
	item, err := FindItem(document, kind, name)
	if err != nil {
		writeProblem(ctx, problemFromError("operator/config", err))
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, Item{Revision: document.Revision, Item: item})
}

// handleInForce serves /operator/v1/in-force.
func (s *Server) handleInForce(ctx *fasthttp.RequestCtx, operator string) {
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		document := s.config.Document()
		writeJSON(ctx, fasthttp.StatusOK, map[string]any{"revision": document.Revision, "preset": document.InForce})
	case fasthttp.MethodPut:
		s.handleChange(ctx, Change{Kind: catalog.ItemInForce, Operator: operator})
	default:
		refuseMethod(ctx, "GET, PUT")
	}
}

// handleChange decodes the body into change, applies the change and responds with the new revision.
func (s *Server) handleChange(ctx *fasthttp.RequestCtx, change Change) {
	var body ChangeBody
	decoder := json.NewDecoder(strings.NewReader(string(ctx.PostBody())))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&body)
	if err == nil {
		err = applyBody(&change, body, ctx.IsDelete())
	}
	if err != nil {
		writeProblem(ctx, Problem{
			Status: fasthttp.StatusBadRequest, Step: "operator/change", Detail: err.Error(),
			Next: "give base_revision, operation_id, and item (or preset for in-force) as JSON",
		})
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, err := s.config.Change(callCtx, change)
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		writeProblem(ctx, conflictProblem("operator/change", change, conflict))
	case err != nil:
		writeProblem(ctx, problemFromError("operator/change", err))
	default:
		s.lg.Info("configuration changed", "step", "operator/change", "operator", change.Operator,
			"kind", change.Kind, "name", change.Name, "revision", result.Revision)
		writeJSON(ctx, fasthttp.StatusOK, result)
	}
}

// applyBody validates a body and copies its fields into change. The error text is sent to the operator.
func applyBody(change *Change, body ChangeBody, isDelete bool) error {
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
	case isDelete:
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

// FindItem returns an item of a document as JSON, or ErrNotFound.
func FindItem(document catalog.Document, kind catalog.ItemKind, name string) (json.RawMessage, error) {
	var item any
	switch kind {
	case catalog.ItemService:
		item = findByName(document.Services, name, func(s catalog.Service) string { return s.Name })
	case catalog.ItemTeam:
		item = findByName(document.Teams, name, func(t catalog.Team) string { return t.Name })
	case catalog.ItemPreset:
		item = findByName(document.Presets, name, func(p catalog.Preset) string { return p.Name })
	}
	if item == nil {
		return nil, stepError("operator/config", ErrNotFound)
	}
	return json.Marshal(item)
}

// findByName returns the item whose name is name, or nil if there is none.
func findByName[T any](items []T, name string, nameOf func(T) string) any {
	for _, item := range items {
		if nameOf(item) == name {
			return item
		}
	}
	return nil
}
