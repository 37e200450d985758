package devtool

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"knapweedhoist/cloud"
	"knapweedhoist/engine"
	"knapweedhoist/standin"
)

// Lengths of the demonstration's answers, in tokens.
const (
	draftTokens = 1000
	shortTokens = 12
	// reclaimAfter is the token of a draft after which its engine or entry instance is reclaimed.
	reclaimAfter = 150
)

// draftPrompt asks the stand-in engines for a long answer.
const draftPrompt = "Draft the season contract, tokens=1000"

// expected is the text that the stand-in engines generate for a body.
func expected(body completionBody) string {
	request := engine.Request{Model: body.Model, Messages: body.Messages, MaxTokens: body.MaxTokens}
	return standin.ExpectedAnswer(request).Text()
}

// once runs f at the first call at which the caller has the given number of tokens.
func once(tokens int, f func()) func(*streamed) {
	var done sync.Once
	return func(got *streamed) {
		if len(got.tokens) >= tokens {
			done.Do(f)
		}
	}
}

// reclaimedEngine streams a long draft whose engine is reclaimed midway.
func (d *demo) reclaimedEngine(ctx context.Context) {
	body := promptBody(strings.Repeat("History of the Tulcan society. ", 200)+draftPrompt, draftTokens)
	lost := ""
	got, err := newCaller("zapateo").complete(ctx, d.entries[0].cfg.Listen.Callers, body, once(reclaimAfter, func() {
		lost = d.reclaimEngineOf(body)
	}))
	whole := err == nil && got.text() == expected(body)
	attempts, recomputed := d.attemptsOf(got.requestID)
	d.printf("long draft: engine %s reclaimed after %d tokens; the caller got %d tokens over %d attempts, whole: %t, "+
		"recomputed tokens: %d, error: %v\n", lost, reclaimAfter, len(got.tokens), attempts, whole, recomputed, err)
	d.checks.expect(whole, "the draft with the reclaimed engine is not whole: %v", err)
	d.checks.expect(lost != "" && attempts > 1, "no engine was reclaimed under the draft")
}

// reclaimEngineOf gives notice to the engine that runs the completion, and returns its id.
func (d *demo) reclaimEngineOf(body completionBody) string {
	prompt := engine.PromptTokens(body.Messages)
	for _, member := range d.Members() {
		if member.Engine == nil {
			continue
		}
		for _, attempt := range member.Engine.Attempts() {
			if attempt.Outcome == standin.OutcomeRunning && attempt.Usage.PromptTokens == prompt {
				if d.Cloud.Reclaim(func(instance cloud.Instance) bool { return instance.ID == member.Entry.ID }) == 0 {
					// An on-demand instance: the engine itself tells that it is leaving.
					member.Engine.Leave(sampleNotice)
				}
				return member.Entry.ID
			}
		}
	}
	return ""
}

// attemptsOf counts the attempts at a request and the tokens that they computed again.
func (d *demo) attemptsOf(id string) (attempts, recomputed int) {
	for _, member := range append(d.Members(), d.Past()...) {
		if member.Engine == nil {
			continue
		}
		for _, attempt := range member.Engine.Attempts() {
			if attempt.ID == id {
				attempts++
				recomputed += attempt.Usage.RecomputedTokens
			}
		}
	}
	return attempts, recomputed
}

// reclaimedEntry streams a draft through an entry instance that is reclaimed
// midway; the caller re-attaches at another one.
func (d *demo) reclaimedEntry(ctx context.Context) {
	const notice = 4 * time.Second
	body := promptBody("History of the Loja society. "+draftPrompt, draftTokens)
	c := newCaller("sanjuanito")
	home := d.entries[len(d.entries)-1]
	got, err := c.complete(ctx, home.cfg.Listen.Callers, body, once(reclaimAfter, func() { home.Reclaim(notice) }))
	cut := len(got.tokens)
	for tries := 0; !got.done && tries < 5 && ctx.Err() == nil; tries++ {
		got, err = c.resume(ctx, d.entries[tries%3].cfg.Listen.Callers, got, nil)
	}
	whole := err == nil && got.text() == expected(body)
	d.printf("draft through %s, which was reclaimed: cut after %d tokens, re-attached elsewhere, whole: %t, error: %v\n",
		home.cfg.Instance, cut, whole, err)
	d.checks.expect(whole, "the draft through the reclaimed entry instance is not whole: %v", err)
}

// shortQuestions asks short questions of several teams at several instances.
func (d *demo) shortQuestions(ctx context.Context) {
	var questions sync.WaitGroup
	var mu sync.Mutex // guards slowest and wrong
	var slowest time.Duration
	wrong := 0
	const rounds = 6
	for n, team := range sampleTeams {
		questions.Go(func() {
			c := newCaller(team)
			for round := range rounds {
				body := promptBody(team+": is the hall free on Friday?", shortTokens+round)
				got, err := c.complete(ctx, d.entries[(n+round)%4].cfg.Listen.Callers, body, nil)
				mu.Lock()
				slowest = max(slowest, got.firstToken)
				if err != nil || got.text() != expected(body) {
					wrong++
				}
				mu.Unlock()
			}
		})
	}
	questions.Wait()
	d.printf("short questions: %d asked by %d teams, %d wrong, slowest first token %s\n",
		rounds*len(sampleTeams), len(sampleTeams), wrong, slowest.Round(time.Millisecond))
	d.checks.expect(wrong == 0, "%d short answers are wrong", wrong)
}

// bookingTwice posts one booking with one key through two instances; the
// caller of the first goes away before the answer.
func (d *demo) bookingTwice(ctx context.Context) {
	const key, body = "hall-42", `{"hall":42,"deposit":120}`
	c := newCaller("pasillo")
	impatient, hangUp := context.WithTimeout(ctx, 2*time.Millisecond)
	_, lost := c.deposit(impatient, d.entries[1].cfg.Listen.Callers, key, body)
	hangUp()
	second, err := c.deposit(ctx, d.entries[2].cfg.Listen.Callers, key, body)
	third, _ := c.deposit(ctx, d.entries[3].cfg.Listen.Callers, key, `{"hall":42,"deposit":999}`)
	runs := d.runs(key)
	d.printf("booking: first answer lost by the caller: %t; posted again elsewhere: status %d %s error: %v; "+
		"same key with another body: status %d; executions: %d\n",
		lost != nil, second.status, strings.TrimSpace(second.body), err, third.status, runs)
	d.checks.expect(err == nil && second.status == 201, "the repeated booking got status %d: %v", second.status, err)
	d.checks.expect(third.status == 422, "the changed booking got status %d", third.status)
	d.checks.expect(runs == 1, "the booking ran %d times", runs)
}

// bookingLost posts a booking whose answer is lost between the service and the
// entry instance: nobody can tell whether it ran, so it must not run again.
func (d *demo) bookingLost(ctx context.Context) {
	const key, body = "hall-43", `{"hall":43,"deposit":80}`
	lose := standin.Fault{Kind: standin.FaultLostReply, Count: 1, Match: func(call standin.Call) bool {
		return string(call.Body) == body
	}}
	for _, member := range d.Members() {
		if member.Service != nil {
			defer member.Service.Faults.Add(lose)()
		}
	}
	c := newCaller("tinku")
	first, err := c.deposit(ctx, d.entries[1].cfg.Listen.Callers, key, body)
	second, again := c.deposit(ctx, d.entries[2].cfg.Listen.Callers, key, body)
	runs := d.runs(key)
	d.printf("booking whose answer the service lost: status %d, posted again: status %d, executions: %d\n",
		first.status, second.status, runs)
	d.checks.expect(errors.Join(err, again) == nil, "the lost booking had no answer: %v", errors.Join(err, again))
	d.checks.expect(strings.Contains(first.body, `"unknown"`), "the lost booking is not reported as unknown: %s", first.body)
	d.checks.expect(runs == 1, "the lost booking ran %d times", runs)
}

func (d *demo) runs(key string) int {
	runs := 0
	for _, member := range append(d.Members(), d.Past()...) {
		if member.Service != nil {
			runs += member.Service.RunsByKey()[key] + member.Service.RunsByKey()[`"`+key+`"`]
		}
	}
	return runs
}
