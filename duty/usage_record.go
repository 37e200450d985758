package duty

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"knapweedhoist/objectapi"
	"knapweedhoist/usage"
)

// usageObjectName returns the name of the object, of kind objectapi.KindDuty, that stores the usage record of an era of the store.
// Each era has its own: a late write of an earlier era could replace a shared one, since the store gives versions out again.
func usageObjectName(era objectapi.Era) string {
	if era == 0 {
		return "usage"
	}
	return "usage-" + strconv.FormatUint(uint64(era), 10)
}

// maxReports bounds the reports in the record: older windows are no longer due.
const maxReports = 3

// usageRecord is the stored list of reports, oldest window first.
type usageRecord struct {
	Reports []usageReport `json:"reports"`
	// SeenForMS is how long the holders of the era had seen it when they wrote the record, in milliseconds of their decision clocks,
	// 0 for the era 0: the reports of windows that ended before and are not in the record may be lost. A duration does not depend on
	// the time of day of the writer.
	SeenForMS int64 `json:"seen_for_ms,omitempty"`

	version objectapi.Version
}

// errOtherEra means that an answer came from another era of the store than the one in which the duties run.
var errOtherEra = errors.New("duty: answer from another era of the store")

// usageReport is the usage of one window.
type usageReport struct {
	Window int64        `json:"window"`
	Counts usage.Counts `json:"counts"`
}

// loadUsageRecord reads the record of the given era. An absent object is an empty record. It returns errOtherEra for an answer
// of another era.
func loadUsageRecord(ctx context.Context, store objectapi.Store, era objectapi.Era) (usageRecord, error) {
	reply, err := store.Do(ctx, objectapi.Get(objectapi.KindDuty, usageObjectName(era)))
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

// appendReport stores one more report in the given era, which the holders have seen for the time seenFor. It returns
// objectapi.ErrConflict when another holder has stored one meanwhile, and errOtherEra when the write may have taken effect
// in another era.
func (r usageRecord) appendReport(
	ctx context.Context, store objectapi.Store, report usageReport, era objectapi.Era, seenFor time.Duration,
) (usageRecord, error) {
	next := usageRecord{Reports: append(append([]usageReport(nil), r.Reports...), report)}
	if era != 0 {
		next.SeenForMS = max(0, seenFor.Milliseconds())
	}
	if len(next.Reports) > maxReports {
		next.Reports = next.Reports[len(next.Reports)-maxReports:]
	}
	value, err := json.Marshal(next)
	if err != nil {
		return r, err
	}
	request := objectapi.Create(objectapi.KindDuty, usageObjectName(era), value)
	if r.version != 0 {
		request = objectapi.Update(objectapi.KindDuty, usageObjectName(era), r.version, value)
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
