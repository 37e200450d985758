package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a crashing part or request that some instance still lets through, and against a sound part that stays refused, under
// random traffic, lost reports and restarts. What an instance has not reported before its restart is lost, so that the
// crashes of the time since its last report cannot count; here it reports right before.
func TestOnlyWhatCrashesStaysQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 100 * time.Millisecond
		guards := make([]*Guard, rapid.IntRange(1, 4).Draw(t, "instances"))
		for i := range guards {
			guards[i] = NewGuard(Config{})
		}
		draw := func(n int, name string) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		exchange := func(now time.Time) {
			var all Evidence
			for _, g := range guards {
				all.Merge(g.Own(now))
			}
			for _, g := range guards {
				g.Observe(now, all)
				g.Update(now)
			}
		}
		sound := []Key{first, other, 4, 5, 6}
		wholeRequest := rapid.Bool().Draw(t, "one whole request crashes, not a part")
		// harmful returns a request that crashes its endpoint, soundRequest one that does not.
		requests := uint64(1)
		soundRequest := func(part Key) Request {
			requests++
			return Request{Key: RequestKey(requests), Parts: []Key{part}}
		}
		harmful := func() Request {
			if wholeRequest {
				return Request{Key: RequestKey(1), Parts: []Key{first, other}}
			}
			requests++
			return Request{Key: RequestKey(requests - uint64(draw(2, "repeat of the request before"))), Parts: []Key{first, crashing}}
		}
		now, process := start, uint64(0)
		for _, part := range sound {
			guards[0].RecordAnswer(now, with(part))
		}
		crashed := 0
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now = now.Add(step)
			for range draw(3, "answers") {
				guards[draw(len(guards), "at")].RecordAnswer(now, soundRequest(sound[draw(len(sound), "part")]))
			}
			request := harmful()
			if at := guards[draw(len(guards), "arrives at")]; draw(3, "crashing request") == 0 && at.Admit(now, request) == nil {
				process++
				crashed++
				at.RecordCrash(now, process, request)
				for range draw(3, "in progress beside it") {
					guards[draw(len(guards), "beside at")].RecordCrash(now, process, soundRequest(sound[draw(len(sound), "beside")]))
				}
			}
			if draw(4, "report") > 0 {
				exchange(now)
			}
			if draw(40, "restart") == 0 && len(guards) > 1 {
				exchange(now)
				guards[draw(len(guards), "restarted")] = NewGuard(Config{})
				exchange(now)
			}
		}
		for range 20 {
			now = now.Add(step)
			exchange(now)
		}
		for _, part := range sound {
			guards[draw(len(guards), "last answer")].RecordAnswer(now, soundRequest(part)) // from a request that was in progress
		}
		exchange(now)
		for i, g := range guards {
			for _, part := range sound {
				if g.Admit(now, soundRequest(part)) != nil {
					t.Fatalf("instance %d refuses sound part %d", i, part)
				}
			}
			if request := harmful(); crashed >= g.cfg.MinCrashes+len(guards) && g.Admit(now, request) == nil {
				t.Fatalf("instance %d admits the request %v after %d crashes", i, request, crashed)
			}
		}
	})
}
