package settings

import "time"

// Limits bound what one entry instance takes on.
type Limits struct {
	// MaxRequests is the largest number of requests in progress. Default 4096, 1 to 100000.
	MaxRequests int `yaml:"max_requests" validate:"min=1,max=100000"`
	// MaxBodyBytes bounds a request body, in bytes; a service may set less. Default 1048576, 1024 to 16777216.
	MaxBodyBytes int `yaml:"max_body_bytes" validate:"min=1024,max=16777216"`
	// MaxHeaderBytes bounds the request line and headers of a request, in bytes. Default 16384, 1024 to 65536.
	MaxHeaderBytes int `yaml:"max_header_bytes" validate:"min=1024,max=65536"`
	// ReadTimeout bounds the time in which a whole request must arrive. Default 10s, 1s to 120s.
	ReadTimeout Duration `yaml:"read_timeout" validate:"min=1s,max=120s"`
	// DefaultDeadline is the deadline of a request that names none. Default 60s, 1s to 3600s.
	DefaultDeadline Duration `yaml:"default_deadline" validate:"min=1s,max=3600s"`
	// MaxDeadline bounds the deadline that a caller may ask for. Default 1800s, 1s to 86400s.
	MaxDeadline Duration `yaml:"max_deadline" validate:"min=1s,max=86400s"`
	// FinishedKept is how long a finished request can be read again. Default 60s, 1s to 3600s.
	FinishedKept Duration `yaml:"finished_kept" validate:"min=1s,max=3600s"`
	// TimelineEvents is the number of events that the process keeps. Default 16384, 256 to 1048576.
	TimelineEvents int `yaml:"timeline_events" validate:"min=256,max=1048576"`
}

func defaultLimits() Limits {
	return Limits{
		MaxRequests:     4096,
		MaxBodyBytes:    1 << 20,
		MaxHeaderBytes:  16 << 10,
		ReadTimeout:     Duration(10 * time.Second),
		DefaultDeadline: Duration(60 * time.Second),
		MaxDeadline:     Duration(1800 * time.Second),
		FinishedKept:    Duration(60 * time.Second),
		TimelineEvents:  16384,
	}
}
