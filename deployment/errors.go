package deployment

import "errors"

// ErrNoConfig: the instance has no configuration to give.
var ErrNoConfig = errors.New("deployment: no configuration")
