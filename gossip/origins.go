package gossip

import (
	"fmt"

	"knapweedhoist/streamorigin"
	"knapweedhoist/wire"
)

// MaxOrigins is the number of streams in a message, each of about 12 bytes.
const MaxOrigins = 512

// encodeOrigins returns the datagram that states versions in service and where streams began.
func encodeOrigins(statement streamorigin.Statement) ([]byte, error) {
	return seal(&wire.FleetMessage{Origins: streamorigin.Encode(statement)})
}

func decodeOrigins(m *wire.StreamOrigins) (message, error) {
	if len(m.Streams) > MaxOrigins {
		return message{}, fmt.Errorf("%w: %d streams", errMalformed, len(m.Streams))
	}
	statement, err := streamorigin.Decode(m)
	if err != nil {
		return message{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return message{origins: &statement}, nil
}
