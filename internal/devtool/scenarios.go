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

// Numbers of tokens in the demonstration's answers.
const (
	// draftTokens is the length of a draft.
	draftTokens = 1000
	// shortTokens is the max_tokens of a team's first short question; that of each further one is larger by 1.
	shortTokens = 12
	// reclaimAfterTokens is the number of tokens of a draft after which its engine or entry instance is reclaimed.
	reclaimAfterTokens = 150
)

// draftPrompt makes the stand-in engines generate an answer of draftTokens tokens.
const draftPrompt = "Draft the season contract, tokens=1000"

// expectedText returns the text that the stand-in engines generate for a body.
func expectedText(body completionBody) string {
	request := engine.Request{Model: body.Model, Messages: body.Messages, MaxTokens: body.MaxTokens}
	return standin.ExpectedAnswer(request).Text()
}

// onceAfterTokens returns a callback that runs f once, when the caller has received at least the given number of tokens.
func onceAfterTokens(tokens int, f func()) func(*streamResult) {
	var done sync.Once
	return func(got *streamResult) {
		if len(got.tokens) >= tokens {
			done.Do(f)
		}
	}
}

// reclaimEngineMidStream streams a long draft and reclaims its engine after reclaimAfterTokens tokens.
func (d *demo) reclaimEngineMidStream(ctx context.Context) {
	body := promptBody(strings.Repeat("History of the Tulcan society. ", 200)+draftPrompt, draftTokens)
	reclaimedID := ""
	got, err := newCaller("zapateo").complete(ctx, d.entries[0].cfg.Listen.Callers, body, onceAfterTokens(reclaimAfterTokens, func() {
		reclaimedID = d.reclaimEngineRunning(body)
	}))
	matches := err == nil && got.text() == expectedText(body)
	attempts, recomputed := d.countAttempts(got.requestID)
	d.printf("long draft: engine %s reclaimed after %d tokens; the caller got %d tokens over %d attempts, complete: %t, "+
		"recomputed tokens: %d, error: %v\n", reclaimedID, reclaimAfterTokens, len(got.tokens), attempts, matches, recomputed, err)
	d.checks.expect(matches, "the draft with the reclaimed engine is not complete: %v", err)
	d.checks.expect(reclaimedID != "" && attempts > 1, "the draft's engine was not reclaimed, or the draft took a single attempt")
}

// reclaimEngineRunning sends a reclaim notice to the engine that runs the completion and returns its id, or "" if none does.
// It recognises the completion by its number of prompt tokens.
func (d *demo) reclaimEngineRunning(body completionBody) string {
	prompt := engine.PromptTokens(body.Messages)
	for _, member := range d.Members() {
		if member.Engine == nil {
			continue
		}
		for _, attempt := range member.Engine.Attempts() {
			if attempt.Outcome == standin.OutcomeRunning && attempt.Usage.PromptTokens == prompt {
				if d.Cloud.Reclaim(func(instance cloud.Instance) bool { return instance.ID == member.Entry.ID }) == 0 {
					// The cloud doesn't reclaim on-demand instances, so the engine itself reports that it is leaving.
					member.Engine.Leave(sampleNotice)
				}
				return member.Entry.ID
			}
		}
	}
	return ""
}

// countAttempts returns the number of attempts at a request and the number of tokens that they recomputed.
func (d *demo) countAttempts(id string) (attempts, recomputed int) {
	for _, member := range append(d.Members(), d.Removed()...) {
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

// reclaimEntryMidStream streams a draft through an entry instance and reclaims that instance
// after reclaimAfterTokens tokens. The caller then re-attaches at another entry instance.
func (d *demo) reclaimEntryMidStream(ctx context.Context) {
	const notice = 4 * time.Second
	body := promptBody("History of the Loja society. "+draftPrompt, draftTokens)
	c := newCaller("sanjuanito")
	reclaimed := d.entries[len(d.entries)-1]
	got, err := c.complete(ctx, reclaimed.cfg.Listen.Callers, body, onceAfterTokens(reclaimAfterTokens, func() { reclaimed.Reclaim(notice) }))
	tokensBefore := len(got.tokens)
	for tries := 0; !got.done && tries < 5 && ctx.Err() == nil; tries++ {
		got, err = c.resume(ctx, d.entries[tries%3].cfg.Listen.Callers, got, nil)
	}
	matches := err == nil && got.text() == expectedText(body)
	d.printf("draft through %s, which was reclaimed: cut after %d tokens, re-attached at another entry instance, complete: %t, error: %v\n",
		reclaimed.cfg.Instance, tokensBefore, matches, err)
	d.checks.expect(matches, "the draft through the reclaimed entry instance is not complete: %v", err)
}

// askShortQuestions sends short questions of all sample teams concurrently to several entry instances.
func (d *demo) askShortQuestions(ctx context.Context) {
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
				slowest = max(slowest, got.timeToFirstToken)
				if err != nil || got.text() != expectedText(body) {
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

// repeatBooking posts one booking with one idempotency key through two entry instances.
// The caller cancels the first request before the answer arrives. A third request with
// the same key and another body must be refused.
func (d *demo) repeatBooking(ctx context.Context) {
	const key, body = "hall-42", `{"hall":42,"deposit":120}`
	c := newCaller("pasillo")
	shortCtx, cancel := context.WithTimeout(ctx, 2*time.Millisecond)
	_, firstErr := c.deposit(shortCtx, d.entries[1].cfg.Listen.Callers, key, body)
	cancel()
	second, err := c.deposit(ctx, d.entries[2].cfg.Listen.Callers, key, body)
	third, _ := c.deposit(ctx, d.entries[3].cfg.Listen.Callers, key, `{"hall":42,"deposit":999}`)
	runs := d.countExecutions(key)
	d.printf("booking: first request cancelled by the caller: %t; posted again at another entry instance: status %d %s error: %v; "+
		"same key with another body: status %d; executions: %d\n",
		firstErr != nil, second.status, strings.TrimSpace(second.body), err, third.status, runs)
	d.checks.expect(err == nil && second.status == 201, "the repeated booking got status %d: %v", second.status, err)
	d.checks.expect(third.status == 422, "the changed booking got status %d", third.status)
	d.checks.expect(runs == 1, "the booking ran %d times", runs)
}

// loseBookingReply posts a booking whose answer is lost between the service and the
// entry instance. Because the entry instance cannot know whether the booking ran, it must not run it again.
func (d *demo) loseBookingReply(ctx context.Context) {
	const key, body = "hall-43", `{"hall":43,"deposit":80}`
	lostReply := standin.Fault{Kind: standin.FaultLostReply, Count: 1, Match: func(call standin.Call) bool {
		return string(call.Body) == body
	}}
	for _, member := range d.Members() {
		if member.Service != nil {
			defer member.Service.Faults.Add(lostReply)()
		}
	}
	c := newCaller("tinku")
	first, err := c.deposit(ctx, d.entries[1].cfg.Listen.Callers, key, body)
	second, secondErr := c.deposit(ctx, d.entries[2].cfg.Listen.Callers, key, body)
	runs := d.countExecutions(key)
	d.printf("booking whose reply was lost: status %d, posted again: status %d, executions: %d\n",
		first.status, second.status, runs)
	d.checks.expect(errors.Join(err, secondErr) == nil, "a request of the booking with a lost reply failed: %v", errors.Join(err, secondErr))
	d.checks.expect(strings.Contains(first.body, `"unknown"`), "the booking with a lost reply is not reported as unknown: %s", first.body)
	d.checks.expect(runs == 1, "the booking with a lost reply ran %d times", runs)
}

// countExecutions returns the number of executions of the calls with this idempotency key at all plain services, including
// the removed ones. A key is recorded as it arrived, with or without quotes.
func (d *demo) countExecutions(key string) int {
	runs := 0
	for _, member := range append(d.Members(), d.Removed()...) {
		if member.Service != nil {
			runs += member.Service.ExecutionsByKey()[key] + member.Service.ExecutionsByKey()[`"`+key+`"`]
		}
	}
	return runs
}
