package standin

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"knapweedhoist/engine"
	"knapweedhoist/internal/httpcall"
)

// ExportKV implements engine.Engine. Its duration is proportional to the length
// of the KV cache. It also works while the engine drains; the attempt continues.
func (e *Engine) ExportKV(ctx context.Context, id string, attempt int) (engine.KVHandle, error) {
	fault, err := e.beforeCall(ctx, Call{Op: "export", Name: id, Attempt: attempt})
	if err != nil {
		return engine.KVHandle{}, err
	}
	handle, err := e.export(attemptKey{id: id, number: attempt})
	if err != nil {
		return engine.KVHandle{}, fault.after(ctx, err, engine.ErrBroken)
	}
	if err := e.transfer(ctx, handle); err != nil {
		return engine.KVHandle{}, err
	}
	return handle, fault.after(ctx, nil, engine.ErrBroken)
}

func (e *Engine) export(key attemptKey) (engine.KVHandle, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.active[key]
	if !ok || s.state != sequenceRunning || s.remainingPrefill > 0 {
		return engine.KVHandle{}, fmt.Errorf("%w: no computed KV cache", engine.ErrNotFound)
	}
	e.exportCount++
	handle := engine.KVHandle{
		ID:     key.id + "." + strconv.Itoa(key.number) + "." + strconv.FormatUint(e.exportCount, 10),
		Tokens: s.usage.PromptTokens + s.generated,
		Source: e.Addr(),
	}
	e.kv.put(handle)
	return handle, nil
}

// transfer sleeps for the time to copy a KV cache. It returns engine.ErrBroken
// when ctx ends or the engine is closed in the meantime.
func (e *Engine) transfer(ctx context.Context, handle engine.KVHandle) error {
	seconds := float64(handle.Tokens) / e.cfg.KVPerSecond
	if sleep(ctx, e.cfg.Clock, time.Duration(seconds*float64(time.Second))) != nil || e.lifetime.Err() != nil {
		return engine.ErrBroken
	}
	return nil
}

// ImportKV implements engine.Engine. The source must still hold the KV cache.
func (e *Engine) ImportKV(ctx context.Context, handle engine.KVHandle) error {
	fault, err := e.beforeCall(ctx, Call{Op: "import", Name: handle.ID})
	if err != nil {
		return err
	}
	if err := e.cfg.SourceHoldsKV(ctx, handle); err != nil {
		return fault.after(ctx, err, engine.ErrBroken)
	}
	if err := e.transfer(ctx, handle); err != nil {
		return err
	}
	e.mu.Lock()
	e.kv.put(handle)
	e.mu.Unlock()
	return fault.after(ctx, nil, engine.ErrBroken)
}

// HoldsKV returns nil if the engine holds the exported or imported KV cache, and
// engine.ErrNotFound otherwise. It can be the SourceHoldsKV of another engine in the
// same process.
func (e *Engine) HoldsKV(_ context.Context, handle engine.KVHandle) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.kv.get(handle.ID); !ok || held.Tokens != handle.Tokens || e.closed {
		return engine.ErrNotFound
	}
	return nil
}

// sourceHoldsKV checks over HTTP that the source of a handle still holds its KV cache.
func sourceHoldsKV(ctx context.Context, handle engine.KVHandle) error {
	client := httpcall.New(httpcall.Config{Address: handle.Source})
	defer client.Close()
	query := "?tokens=" + strconv.Itoa(handle.Tokens)
	path := "/v1/kv/" + url.PathEscape(handle.ID) + query
	response, err := client.Do(ctx, httpcall.Request{Method: fasthttp.MethodGet, Path: path})
	if err != nil || response.Status != fasthttp.StatusOK {
		return fmt.Errorf("%w: at the source", engine.ErrNotFound)
	}
	return nil
}
