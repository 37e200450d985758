package settings

import "time"

// Limits bounds the requests that one entry instance accepts and the data that it keeps.
type Limits struct {
	// MaxRequests is the maximum number of requests in progress, and of finished requests that are kept. Default 4096, 1 to 100000.
	MaxRequests int `yaml:"max_requests" validate:"min=1,max=100000"`
	// MaxBodyBytes is the maximum size of a request body, in bytes; the limit of the service (max_body_bytes) applies too. Default 1048576, 1024 to 16777216.
	MaxBodyBytes int `yaml:"max_body_bytes" validate:"min=1024,max=16777216"`
	// MaxHeaderBytes is the maximum size of the request line and headers together, in bytes. Default 16384, 1024 to 65536.
	MaxHeaderBytes int `yaml:"max_header_bytes" validate:"min=1024,max=65536"`
	// ReadTimeout is the maximum time to receive a whole request. Default 10s, 1s to 120s.
	ReadTimeout Duration `yaml:"read_timeout" validate:"min=1s,max=120s"`
	// DefaultDeadline is the deadline of a request that does not specify one. Default 60s, 1s to 3600s.
	DefaultDeadline Duration `yaml:"default_deadline" validate:"min=1s,max=3600s"`
	// MaxDeadline is the longest deadline that a caller may request. Default 1800s, 1s to 86400s.
	MaxDeadline Duration `yaml:"max_deadline" validate:"min=1s,max=86400s"`
	// FinishedKept is how long a finished request is kept, so that it can be read again; the oldest are removed earlier when there are more than max_requests or when all requests together take more than 128 MiB. Default 60s, 1s to 3600s.
	FinishedKept Duration `yaml:"finished_kept" validate:"min=1s,max=3600s"`
	// TimelineEvents is the number of timeline events kept in memory. Default 16384, 256 to 1048576.
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
