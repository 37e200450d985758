package streamorigin

import (
	"errors"
	"fmt"
	"time"

	"knapweedhoist/wire"
)

// errMalformed is returned for a message that does not state origins.
var errMalformed = errors.New("stream origin: malformed message")

// Encode returns the message that states entries.
func Encode(entries []Entry) *wire.StreamOrigins {
	message, indexes := &wire.StreamOrigins{}, make(map[Origin]uint32)
	for _, entry := range entries {
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

// Decode returns the entries that a message states.
func Decode(message *wire.StreamOrigins) ([]Entry, error) {
	n := len(message.Streams)
	if n > MaxEntries || len(message.Origins) != n || len(message.RemainingMs) != n || len(message.Services) != len(message.Versions) {
		return nil, fmt.Errorf("%w: columns of different lengths, or %d streams", errMalformed, n)
	}
	entries := make([]Entry, 0, n)
	for i, stream := range message.Streams {
		index := message.Origins[i]
		if int(index) >= len(message.Services) {
			return nil, fmt.Errorf("%w: origin %d of %d", errMalformed, index, len(message.Services))
		}
		entries = append(entries, Entry{
			Key: Key(stream), Origin: Origin{Service: message.Services[index], Version: message.Versions[index]},
			Remaining: min(time.Duration(message.RemainingMs[i])*time.Millisecond, Lifetime),
		})
	}
	return entries, nil
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
