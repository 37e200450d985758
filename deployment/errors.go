package deployment

import "errors"

// ErrNoConfig is returned when an instance that was asked for its configuration responds with a status other than 200,
// as it does when it has none.
var ErrNoConfig = errors.New("deployment: no configuration")
