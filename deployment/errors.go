package deployment

import "errors"

// ErrNoConfig is returned when an instance that was asked for its configuration has none.
var ErrNoConfig = errors.New("deployment: no configuration")
