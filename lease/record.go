package lease

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"
)

// Record is the stored value of a lease, encoded as JSON.
type Record struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Fence is the fencing token, see nextFence; it increases with each takeover, and stays the same at renewals.
	Fence      uint64 `json:"fence"`
	DurationMs int64  `json:"duration_ms"`
	// Nonce numbers the writes of an incarnation, so that it recognises a write of its own whose reply was lost.
	Nonce uint64 `json:"nonce"`
	// Released reports that the holder has released the lease, so that the next one need not wait for its expiry.
	Released bool `json:"released,omitempty"`
}

func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // the type holds only strings, numbers and booleans
	}
	return value
}

func decodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, oops.In("lease").With("step", "decode").Wrap(err)
	}
	return r, nil
}

func (r Record) duration() time.Duration { return time.Duration(r.DurationMs) * time.Millisecond }
