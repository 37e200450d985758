package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/valyala/fasthttp"

	"knapweedhoist/request"
)

// completionAnswer is the whole answer of a completion.
type completionAnswer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model,omitempty"`
	Choices []answerChoice `json:"choices"`
	Usage   *usageBody     `json:"usage,omitempty"`
}

type answerChoice struct {
	Index        int           `json:"index"`
	Message      answerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func isEnd(err error) bool {
	return errors.Is(err, io.EOF)
}

// whole waits for the finish and writes the answer in one part. The wait ends
// at the latest at the request's deadline.
func (s *Server) whole(ctx *fasthttp.RequestCtx, from source, who identity) *problem {
	text, finish, err := collect(from)
	switch {
	case err != nil:
		ctx.SetConnectionClose()
		return attachProblem(who.id, err)
	case finish.Failed():
		return failed(who.id, finish)
	case finish.Status != 0:
		writePlain(ctx, finish)
		return nil
	default:
		return writeCompletion(ctx, who, text, finish)
	}
}

// collect reads all events.
func collect(from source) ([]byte, *request.Finish, error) {
	var text []byte
	buffer := make([]request.Event, 0, eventBatch)
	for {
		events, err := from.Next(buffer)
		for _, event := range events {
			if event.Finish != nil {
				return text, event.Finish, nil
			}
			text = append(text, event.Token...)
		}
		if isEnd(err) {
			return nil, nil, request.ErrNotFound
		}
		if err != nil {
			return nil, nil, err
		}
		if len(events) == 0 {
			<-from.Ready()
		}
	}
}

// writePlain writes the answer of a plain service.
func writePlain(ctx *fasthttp.RequestCtx, finish *request.Finish) {
	ctx.SetStatusCode(finish.Status)
	for _, field := range finish.Header {
		ctx.Response.Header.Add(field.Name, field.Value)
	}
	ctx.SetBody(finish.Body)
}

func writeCompletion(ctx *fasthttp.RequestCtx, who identity, text []byte, finish *request.Finish) *problem {
	body, err := json.Marshal(completionAnswer{
		ID: who.id, Object: "chat.completion", Created: who.created, Model: who.model,
		Choices: []answerChoice{{
			Message: answerMessage{Role: "assistant", Content: string(text)}, FinishReason: finish.Reason,
		}},
		Usage: usageOf(finish.Usage),
	})
	if err != nil {
		return &problem{Status: http.StatusInternalServerError, Outcome: request.OutcomeRan, Step: "encode", RequestID: who.id}
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	return nil
}
