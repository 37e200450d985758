package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of Evidence.
const (
	// MaxCrashes is the number of crashes in an Evidence.
	MaxCrashes = 64
	// MaxKeys is the number of keys of its crashes together.
	MaxKeys = 2048
	// MaxAnswers is the number of answered keys in an Evidence.
	MaxAnswers = 256
	// MaxRecords is the number of quarantines in an Evidence.
	MaxRecords = 256
)

// Crash is the crash of one process of an endpoint.
type Crash struct {
	// Process identifies the process, see ProcessKey.
	Process uint64
	Age     time.Duration
	// Keys holds the keys that were in progress without an answer. A request stands behind its parts, and a part behind those that
	// precede it in a prompt.
	Keys []Key
}

// Answer states that a request with a key was answered.
type Answer struct {
	Key Key
	// Age is the time since the last answer.
	Age time.Duration
}

// Record is the quarantine of one key.
type Record struct {
	Key Key
	// Epoch is the number of quarantines of the key so far.
	Epoch int
	// Lifted is set once the latest quarantine has ended with an answer to the key.
	Lifted bool
	// Age is the time since the quarantine began or was lifted, RefusedAge that since the sender refused a request because
	// of it, or Age if it refused none.
	Age, RefusedAge time.Duration
}

// newerThan reports whether r describes a later state of the key's quarantine than other.
func (r Record) newerThan(other Record) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.Lifted && !other.Lifted
}

// Evidence is what instances tell each other: crashes, answers to keys that were in progress at them, and quarantines.
type Evidence struct {
	Crashes []Crash
	Answers []Answer
	Records []Record
}

// Aged returns the evidence as it is after a further time.
func (e Evidence) Aged(by time.Duration) Evidence {
	aged := Evidence{
		Crashes: slices.Clone(e.Crashes), Answers: slices.Clone(e.Answers), Records: slices.Clone(e.Records),
	}
	for i := range aged.Crashes {
		aged.Crashes[i].Age += by
	}
	for i := range aged.Answers {
		aged.Answers[i].Age += by
	}
	for i := range aged.Records {
		aged.Records[i].Age += by
		aged.Records[i].RefusedAge += by
	}
	return aged
}

// Delayed returns the evidence of a message that was on its way or unread for the given time. Only answers get older: a crash
// counts from the earliest time that is known, but an answer that counts as too young lifts a quarantine which began after it.
func (e Evidence) Delayed(by time.Duration) Evidence {
	delayed := e
	delayed.Answers = slices.Clone(e.Answers)
	for i := range delayed.Answers {
		delayed.Answers[i].Age += max(by, 0)
	}
	return delayed
}

// Merge adds the evidence of other, which is of the same time. Merging the same evidence again changes nothing. Of more
// entries than the bounds allow, the newest are kept.
func (e *Evidence) Merge(other Evidence) {
	e.Crashes = boundCrashes(mergeBy(e.Crashes, other.Crashes, func(c Crash) uint64 { return c.Process }, mergeCrashes))
	e.Answers = mergeBy(e.Answers, other.Answers, func(a Answer) Key { return a.Key }, func(a, b Answer) Answer {
		return Answer{Key: a.Key, Age: min(a.Age, b.Age)}
	})
	e.Answers = newest(e.Answers, MaxAnswers, func(a Answer) time.Duration { return a.Age })
	e.Records = mergeBy(e.Records, other.Records, func(r Record) Key { return r.Key }, mergeRecords)
	e.Records = newest(e.Records, MaxRecords, func(r Record) time.Duration { return r.Age })
}

// mergeBy merges two lists of entries with unique keys. It does not change them.
func mergeBy[T any, K comparable](a, b []T, key func(T) K, merge func(T, T) T) []T {
	if len(b) == 0 {
		return a
	}
	merged, index := slices.Clone(a), make(map[K]int, len(a)+len(b))
	for i, entry := range merged {
		index[key(entry)] = i
	}
	for _, entry := range b {
		if i, ok := index[key(entry)]; ok {
			merged[i] = merge(merged[i], entry)
			continue
		}
		index[key(entry)] = len(merged)
		merged = append(merged, entry)
	}
	return merged
}

// mergeCrashes returns the crash with the keys of both and the age of the earlier observation.
func mergeCrashes(a, b Crash) Crash {
	return Crash{Process: a.Process, Age: max(a.Age, b.Age), Keys: addKeys(slices.Clone(a.Keys), b.Keys)}
}

// addKeys adds the keys that are missing in keys, each before those that follow it in added: a part stays behind the parts that
// precede it in a prompt, whichever of the requests in progress is known first.
func addKeys(keys, added []Key) []Key {
	end := len(keys)
	for _, key := range slices.Backward(added) {
		if at := slices.Index(keys, key); at >= 0 {
			end = min(end, at)
			continue
		}
		keys = slices.Insert(keys, end, key)
	}
	return keys
}

// mergeRecords returns the later state of a quarantine, and of two equal ones the earlier observation of it and the latest
// refusal.
func mergeRecords(a, b Record) Record {
	switch {
	case a.newerThan(b):
		return a
	case b.newerThan(a):
		return b
	default:
		a.Age, a.RefusedAge = max(a.Age, b.Age), min(a.RefusedAge, b.RefusedAge)
		return a
	}
}

// newest returns the limit entries with the lowest age.
func newest[T any](entries []T, limit int, age func(T) time.Duration) []T {
	if len(entries) <= limit {
		return entries
	}
	sorted := slices.SortedStableFunc(slices.Values(entries), func(a, b T) int { return cmp.Compare(age(a), age(b)) })
	return sorted[:limit]
}

// boundCrashes returns the newest crashes within MaxCrashes and MaxKeys.
func boundCrashes(crashes []Crash) []Crash {
	kept := newest(crashes, MaxCrashes, func(c Crash) time.Duration { return c.Age })
	keys := 0
	for i, crash := range kept {
		if keys += len(crash.Keys); keys > MaxKeys {
			return kept[:i]
		}
	}
	return kept
}
