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

	version objectapi.Version
}

// usageReport is the usage of one window.
type usageReport struct {
	Window int64        `json:"window"`
	Counts usage.Counts `json:"counts"`
}

// loadUsageRecord reads the record from the store. An absent object is an empty record.
func loadUsageRecord(ctx context.Context, store objectapi.Store) (usageRecord, error) {
	reply, err := store.Do(ctx, objectapi.Get(objectapi.KindDuty, usageObjectName))
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

// lastWindow returns the newest window in the record, 0 for none.
func (r usageRecord) lastWindow() int64 {
	if len(r.Reports) == 0 {
		return 0
	}
	return r.Reports[len(r.Reports)-1].Window
}

// appendReport stores one more report. It returns objectapi.ErrConflict when another holder has stored one meanwhile.
func (r usageRecord) appendReport(ctx context.Context, store objectapi.Store, report usageReport) (usageRecord, error) {
	next := usageRecord{Reports: append(append([]usageReport(nil), r.Reports...), report)}
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
	next.version = reply.Object.Version
	return next, nil
}
