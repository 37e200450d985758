package forward

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"knapweedhoist/dispatch"
	"knapweedhoist/quarantine"
)

// fingerprintOf identifies what an endpoint sees of a request: method, host, route, path with query, team, parts of the prompt
// and body. Repeats of a request share it, since its id and the fields that the system sets are left out.
func fingerprintOf(fields []string, prompt []dispatch.Part, body []byte) uint64 {
	hasher := xxh3.New()
	var number [8]byte
	writeNumber := func(n uint64) {
		binary.LittleEndian.PutUint64(number[:], n)
		_, _ = hasher.Write(number[:]) // never fails
	}
	for _, field := range fields {
		writeNumber(uint64(len(field))) // otherwise "a", "bc" and "ab", "c" would be the same
		_, _ = hasher.WriteString(field)
	}
	for _, part := range prompt {
		writeNumber(part.Content)
		writeNumber(uint64(part.Tokens))
	}
	_, _ = hasher.Write(body)
	return hasher.Sum64()
}

// setKeys sets e.keys once the route, the team and the copies of the request are known.
func (e *exchange) setKeys() {
	e.keys.Key = quarantine.RequestKey(fingerprintOf([]string{
		string(e.header.Method()), string(e.header.Host()), e.route.Name, string(e.header.RequestURI()), e.teamName(),
	}, e.request.Prompt, e.body))
	for _, part := range dispatch.SharedParts(e.request.Prompt) {
		e.keys.Parts = append(e.keys.Parts, quarantine.PartKey(part.Content))
	}
}
