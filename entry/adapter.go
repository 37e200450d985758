package entry

import (
	"knapweedhoist/deployment"
	"knapweedhoist/duty"
	"knapweedhoist/forward"
	"knapweedhoist/objectapi"
)

// Adapter holds the parts of an entry instance that depend on the platform.
type Adapter struct {
	Store objectapi.Store
	Codec forward.HeaderCodec
	// Cloud is the client of the cloud's API. It is nil in deployments without duties.
	Cloud duty.Cloud
	// ConfigName is the name of the object of the kind objectapi.KindDeployment that holds the configuration.
	ConfigName string
	// DecodeConfig decodes the value of that object, and ReadRejectedConfig reads one that DecodeConfig refuses;
	// DecodeEndpoint decodes an object of the kind objectapi.KindEndpoint.
	DecodeConfig       func(value []byte) (*deployment.Config, error)
	ReadRejectedConfig func(value []byte) deployment.RejectedConfig
	DecodeEndpoint     func(name string, value []byte) (*deployment.Endpoint, error)
}
