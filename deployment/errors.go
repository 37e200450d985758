package deployment

import "errors"

// ErrNoConfig is returned while the instance has not read a configuration.
var ErrNoConfig = errors.New("deployment: no configuration")
