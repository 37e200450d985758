package duty

import (
	"context"
	"encoding/json"
	"errors"

	"knapweedhoist/objectapi"
	"knapweedhoist/usage"
)

// usageObjectName is the name of the object, of kind objectapi.KindDuty, that stores the usage record.
const usageObjectName = "usage"

// maxReports bounds the reports in the record: older windows are no longer due.
const maxReports = 3

// usageRecord is the stored list of reports, oldest window first.
type usageRecord struct {
	Reports []usageReport `json:"reports"`
	// Era is the era of the store in which the record was written, 0 if the store named none. Then NewFrom is the first window
	// that ended in this era: the reports of earlier windows that are not in the record may be lost.
	Era     objectapi.Era `json:"era,omitempty"`
	NewFrom int64         `json:"new_from,omitempty"`

	version objectapi.Version
}

// errOtherEra means that an answer came from another era of the store than the one in which the duties run.
var errOtherEra = errors.New("duty: answer from another era of the store")

// usageReport is the usage of one window.
type usageReport struct {
	Window int64        `json:"window"`
	Counts usage.Counts `json:"counts"`
}

// loadUsageRecord reads the record from the store. An absent object is an empty record. It returns errOtherEra for an answer
// of another era than the given one.
func loadUsageRecord(ctx context.Context, store objectapi.Store, era objectapi.Era) (usageRecord, error) {
	reply, err := store.Do(ctx, objectapi.Get(objectapi.KindDuty, usageObjectName))
	absent := errors.Is(err, objectapi.ErrNotFound)
	switch {
	case err != nil && !absent:
		return usageRecord{}, err
	case reply.Era != era:
		return usageRecord{}, errOtherEra
	case absent:
		return usageRecord{}, nil
	}
	return decodeUsageRecord(reply.Object)
}

func decodeUsageRecord(object objectapi.Object) (usageRecord, error) {
	record := usageRecord{version: object.Version}
	err := json.Unmarshal(object.Value, &record)
	return record, err
}

// lastWindow returns the newest window in the record, 0 for none.
func (r usageRecord) lastWindow() int64 {
	if len(r.Reports) == 0 {
		return 0
	}
	return r.Reports[len(r.Reports)-1].Window
}

// appendReport stores one more report in the given era, of which newFrom is the first window that ended in it. It returns
// objectapi.ErrConflict when another holder has stored one meanwhile, and errOtherEra when the write may have taken effect
// in another era.
func (r usageRecord) appendReport(
	ctx context.Context, store objectapi.Store, report usageReport, era objectapi.Era, newFrom int64,
) (usageRecord, error) {
	next := usageRecord{Reports: append(append([]usageReport(nil), r.Reports...), report), Era: era, NewFrom: newFrom}
	if len(next.Reports) > maxReports {
		next.Reports = next.Reports[len(next.Reports)-maxReports:]
	}
	value, err := json.Marshal(next)
	if err != nil {
		return r, err
	}
	request := objectapi.Create(objectapi.KindDuty, usageObjectName, value)
	if r.version != 0 {
		request = objectapi.Update(objectapi.KindDuty, usageObjectName, r.version, value)
	}
	reply, err := store.Do(ctx, request)
	if err != nil {
		return r, err
	}
	if reply.Era != era {
		return r, errOtherEra
	}
	next.version = reply.Object.Version
	return next, nil
}
