package streamorigin

import (
	"errors"
	"fmt"
	"time"

	"knapweedhoist/wire"
)

// errMalformed is returned for a message that does not state origins.
var errMalformed = errors.New("stream origin: malformed message")

// Encode returns the message that a Statement makes.
func Encode(statement Statement) *wire.StreamOrigins {
	message, indexes := EncodeVersions(statement.InService), make(map[Origin]uint32)
	message.InService = uint32(len(message.Services))
	if !statement.WrittenAt.IsZero() {
		message.WrittenUnixMs = statement.WrittenAt.UnixMilli()
	}
	for i, service := range message.Services {
		indexes[Origin{Service: service, Version: message.Versions[i]}] = uint32(i)
	}
	for _, entry := range statement.Entries {
		index, ok := indexes[entry.Origin]
		if !ok {
			index = uint32(len(indexes))
			indexes[entry.Origin] = index
			message.Services = append(message.Services, entry.Origin.Service)
			message.Versions = append(message.Versions, entry.Origin.Version)
		}
		message.Streams = append(message.Streams, uint64(entry.Key))
		message.Origins = append(message.Origins, index)
		message.RemainingMs = append(message.RemainingMs, uint32(entry.Remaining.Milliseconds()))
	}
	return message
}

// Decode returns the Statement that a message makes.
func Decode(message *wire.StreamOrigins) (Statement, error) {
	n, named := len(message.Streams), len(message.Services)
	if n > MaxEntries || len(message.Origins) != n || len(message.RemainingMs) != n || named != len(message.Versions) {
		return Statement{}, fmt.Errorf("%w: columns of different lengths, or %d streams", errMalformed, n)
	}
	if message.InService > uint32(min(named, maxInService)) {
		return Statement{}, fmt.Errorf("%w: %d of %d versions in service", errMalformed, message.InService, named)
	}
	statement := Statement{InService: make(map[Origin]bool, message.InService)}
	if message.WrittenUnixMs != 0 {
		statement.WrittenAt = time.UnixMilli(message.WrittenUnixMs)
	}
	for i := range message.InService {
		statement.InService[Origin{Service: message.Services[i], Version: message.Versions[i]}] = true
	}
	statement.Entries = make([]Entry, 0, n)
	for i, stream := range message.Streams {
		index := message.Origins[i]
		if int(index) >= named {
			return Statement{}, fmt.Errorf("%w: origin %d of %d", errMalformed, index, named)
		}
		statement.Entries = append(statement.Entries, Entry{
			Key: Key(stream), Origin: Origin{Service: message.Services[index], Version: message.Versions[index]},
			Remaining: min(time.Duration(message.RemainingMs[i])*time.Millisecond, Lifetime),
		})
	}
	return statement, nil
}

// EncodeVersions returns the message that states origins without streams.
func EncodeVersions(origins map[Origin]bool) *wire.StreamOrigins {
	message := &wire.StreamOrigins{}
	for origin := range origins {
		message.Services = append(message.Services, origin.Service)
		message.Versions = append(message.Versions, origin.Version)
	}
	return message
}

// DecodeVersions returns all origins that a message names.
func DecodeVersions(message *wire.StreamOrigins) (map[Origin]bool, error) {
	if len(message.Services) != len(message.Versions) || len(message.Services) > MaxEntries {
		return nil, fmt.Errorf("%w: %d services, %d versions", errMalformed, len(message.Services), len(message.Versions))
	}
	origins := make(map[Origin]bool, len(message.Services))
	for i, service := range message.Services {
		origins[Origin{Service: service, Version: message.Versions[i]}] = true
	}
	return origins, nil
}
