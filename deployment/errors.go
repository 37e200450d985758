package deployment

import "errors"

// ErrNoConfig tells that the instance has no configuration to give.
var ErrNoConfig = errors.New("deployment: no configuration")
