package gossip

import (
	"fmt"
	"time"

	"knapweedhoist/endpointlimit"
	"knapweedhoist/wire"
)

// endedLimit stands for the rate of a limit that has ended.
const endedLimit = -1

// encodeLimits returns nil without any record.
func encodeLimits(records endpointlimit.Records) *wire.EndpointLimits {
	if len(records) == 0 {
		return nil
	}
	columns := &wire.EndpointLimits{}
	for _, record := range records {
		perSecond, age := record.PerSecond, record.Age
		if record.Ended {
			perSecond, age = endedLimit, age+time.Millisecond-1 // an end must not count as younger than it is
		}
		columns.Processes = append(columns.Processes, record.Process)
		columns.PerSecond = append(columns.PerSecond, perSecond)
		columns.AgeMs = append(columns.AgeMs, encodeAge(age))
	}
	return columns
}

func decodeLimits(m *wire.EndpointLimits) (endpointlimit.Records, error) {
	if m == nil {
		return nil, nil
	}
	n := len(m.Processes)
	if n > endpointlimit.MaxRecords || len(m.PerSecond) != n || len(m.AgeMs) != n {
		return nil, fmt.Errorf("%w: limits in columns of different lengths, or too many", errMalformed)
	}
	records := make(endpointlimit.Records, 0, n)
	for i, process := range m.Processes {
		perSecond := m.PerSecond[i]
		if perSecond != endedLimit && !validFigure(float64(perSecond)) {
			return nil, fmt.Errorf("%w: limit of %v requests a second", errMalformed, perSecond)
		}
		records = append(records, endpointlimit.Record{
			Process: process, PerSecond: max(perSecond, 0), Ended: perSecond == endedLimit, Age: decodeAge(m.AgeMs[i]),
		})
	}
	return records, nil
}
