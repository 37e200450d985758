package gossip

import (
	"fmt"
	"math"
	"time"

	"knapweedhoist/quarantine"
	"knapweedhoist/wire"
)

// encodeEvidence returns nil for empty evidence.
func encodeEvidence(e quarantine.Evidence) *wire.Evidence {
	if len(e.Crashes)+len(e.Answers)+len(e.Records) == 0 {
		return nil
	}
	message := &wire.Evidence{}
	for _, crash := range e.Crashes {
		message.Crashes = append(message.Crashes, &wire.EndpointCrash{
			Process: crash.Process, AgeMs: encodeAge(crash.Age), Parts: convertKeys[uint64](crash.Keys),
		})
	}
	for _, answer := range e.Answers {
		message.Answers = append(message.Answers, &wire.AnsweredPart{Part: uint64(answer.Key), AgeMs: encodeAge(answer.Age)})
	}
	for _, record := range e.Records {
		message.Records = append(message.Records, &wire.PartQuarantine{
			Part: uint64(record.Key), Epoch: uint32(record.Epoch), Lifted: record.Lifted,
			AgeMs: encodeAge(record.Age), RefusedAgeMs: encodeAge(record.RefusedAge),
		})
	}
	return message
}

// convertKeys converts keys to the numbers of messages, or back. It returns nil for none.
func convertKeys[To, From ~uint64](from []From) []To {
	var converted []To
	for _, key := range from {
		converted = append(converted, To(key))
	}
	return converted
}

// encodeAge returns an age in milliseconds, at most the largest that can be encoded.
func encodeAge(age time.Duration) uint32 {
	return uint32(min(max(age, 0).Milliseconds(), math.MaxUint32))
}

func decodeAge(ms uint32) time.Duration { return milliseconds(int64(ms)) }

// maxEpoch bounds the epoch of a quarantine, which a malformed message could set so high that no other one supersedes it.
const maxEpoch = 1 << 16

func decodeEvidence(m *wire.Evidence) (quarantine.Evidence, error) {
	var decoded quarantine.Evidence
	if m == nil {
		return decoded, nil
	}
	if len(m.Crashes) > quarantine.MaxCrashes || len(m.Answers) > quarantine.MaxAnswers || len(m.Records) > quarantine.MaxRecords {
		return decoded, fmt.Errorf("%w: too many crashes, answers or quarantines", errMalformed)
	}
	parts := 0
	for _, crash := range m.Crashes {
		if parts += len(crash.Parts); parts > quarantine.MaxKeys {
			return decoded, fmt.Errorf("%w: too many keys of crashes", errMalformed)
		}
		decoded.Crashes = append(decoded.Crashes, quarantine.Crash{
			Process: crash.Process, Age: decodeAge(crash.AgeMs), Keys: convertKeys[quarantine.Key](crash.Parts),
		})
	}
	for _, answer := range m.Answers {
		decoded.Answers = append(decoded.Answers, quarantine.Answer{Key: quarantine.Key(answer.Part), Age: decodeAge(answer.AgeMs)})
	}
	for _, record := range m.Records {
		if record.Epoch == 0 || record.Epoch > maxEpoch {
			return decoded, fmt.Errorf("%w: epoch %d of a quarantine", errMalformed, record.Epoch)
		}
		decoded.Records = append(decoded.Records, quarantine.Record{
			Key: quarantine.Key(record.Part), Epoch: int(record.Epoch), Lifted: record.Lifted,
			Age: decodeAge(record.AgeMs), RefusedAge: decodeAge(record.RefusedAgeMs),
		})
	}
	return decoded, nil
}
