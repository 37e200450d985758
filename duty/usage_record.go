package duty

import (
	"context"
	"encoding/json"
	"errors"

	"knapweedhoist/objectapi"
	"knapweedhoist/usage"
)

// usageObject names the record of what was reported.
const usageObject = "usage"

// keepReports is the number of reported windows in the record: those that may still be due.
const keepReports = 3

// usageRecord is what was reported, oldest window first.
type usageRecord struct {
	Reports []usageReport `json:"reports"`

	version objectapi.Version
}

type usageReport struct {
	Window int64        `json:"window"`
	Counts usage.Counts `json:"counts"`
}

func loadUsageRecord(ctx context.Context, store objectapi.Store) (usageRecord, error) {
	reply, err := store.Do(ctx, objectapi.Get(objectapi.KindDuty, usageObject))
	if errors.Is(err, objectapi.ErrNotFound) {
		return usageRecord{}, nil
	}
	if err != nil {
		return usageRecord{}, err
	}
	return decodeUsageRecord(reply.Object)
}

func decodeUsageRecord(object objectapi.Object) (usageRecord, error) {
	record := usageRecord{version: object.Version}
	err := json.Unmarshal(object.Value, &record)
	return record, err
}

// last is the newest window in the record, 0 for none.
func (r usageRecord) last() int64 {
	if len(r.Reports) == 0 {
		return 0
	}
	return r.Reports[len(r.Reports)-1].Window
}

// append stores a further report. The condition fails when another holder has stored one meanwhile.
func (r usageRecord) append(ctx context.Context, store objectapi.Store, report usageReport) (usageRecord, error) {
	next := usageRecord{Reports: append(append([]usageReport(nil), r.Reports...), report)}
	if len(next.Reports) > keepReports {
		next.Reports = next.Reports[len(next.Reports)-keepReports:]
	}
	value, err := json.Marshal(next)
	if err != nil {
		return r, err
	}
	request := objectapi.Create(objectapi.KindDuty, usageObject, value)
	if r.version != 0 {
		request = objectapi.Update(objectapi.KindDuty, usageObject, r.version, value)
	}
	reply, err := store.Do(ctx, request)
	if err != nil {
		return r, err
	}
	next.version = reply.Object.Version
	return next, nil
}
