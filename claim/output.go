package claim

import "knapweedhoist/objectapi"

// Output holds the calls to make and the answers, acks and events to deliver after a step of a Shard.
type Output struct {
	Calls   []objectapi.Call
	Answers []Answer
	Acks    []Ack
	Events  []Event
}

func (o *Output) answer(ref uint64, verdict Verdict, holder string) {
	o.Answers = append(o.Answers, Answer{Ref: ref, Verdict: verdict, Holder: holder})
}

func (o *Output) ack(ref uint64, result AckResult) {
	o.Acks = append(o.Acks, Ack{Ref: ref, Result: result})
}
