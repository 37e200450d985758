package entry

import (
	"knapweedhoist/deployment"
	"knapweedhoist/duty"
	"knapweedhoist/forward"
	"knapweedhoist/objectapi"
)

// Adapter is what a platform brings.
type Adapter struct {
	Store   objectapi.Store
	Dialect forward.HeaderCodec
	// Cloud is nil where there are no duties.
	Cloud duty.Cloud
	// ConfigName names the one object of the kind objectapi.KindDeployment.
	ConfigName string
	// DecodeConfig reads the value of that object, DecodeEndpoint an object of the kind objectapi.KindEndpoint.
	DecodeConfig   func(value []byte) (*deployment.Config, error)
	DecodeEndpoint func(name string, value []byte) (*deployment.Endpoint, error)
}
