package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/valyala/fasthttp"

	"knapweedhoist/request"
)

// completionAnswer is the JSON body of a completion that is not streamed.
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

// writeWhole waits for the finish event and writes the answer in one part. The request's
// deadline bounds the wait.
func (s *Server) writeWhole(ctx *fasthttp.RequestCtx, src source, metadata answerMetadata) *problem {
	text, finish, err := collectAnswer(src)
	switch {
	case err != nil:
		ctx.SetConnectionClose()
		return attachProblem(metadata.id, err)
	case finish.Failed():
		return failureProblem(metadata.id, finish)
	case finish.Status != 0:
		writePlain(ctx, finish)
		return nil
	default:
		return writeCompletion(ctx, metadata, text, finish)
	}
}

// collectAnswer reads all events and returns the joined tokens and the finish.
func collectAnswer(src source) ([]byte, *request.Finish, error) {
	var text []byte
	buffer := make([]request.Event, 0, eventBatchSize)
	for {
		events, err := src.Next(buffer)
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
			<-src.Ready()
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

func writeCompletion(ctx *fasthttp.RequestCtx, metadata answerMetadata, text []byte, finish *request.Finish) *problem {
	body, err := json.Marshal(completionAnswer{
		ID: metadata.id, Object: "chat.completion", Created: metadata.created, Model: metadata.model,
		Choices: []answerChoice{{
			Message: answerMessage{Role: "assistant", Content: string(text)}, FinishReason: finish.FinishReason,
		}},
		Usage: newUsageBody(finish.Usage),
	})
	if err != nil {
		return &problem{Status: http.StatusInternalServerError, Outcome: request.OutcomeRan, Step: "encode", RequestID: metadata.id}
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	return nil
}
