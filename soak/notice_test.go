package soak

import "time"

// cloudNotice is a reclaim notice of the cloud API.
type cloudNotice struct {
	id     string
	endsAt time.Time
}
