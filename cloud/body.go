package cloud

// OffersBody is the JSON body of the reply to GET /v1/offers.
type OffersBody struct {
	Offers []Offer `json:"offers"`
}

// InstancesBody is the JSON body of the reply to GET /v1/instances.
type InstancesBody struct {
	Instances []Instance `json:"instances"`
}

// NoticesBody is the JSON body of the reply to GET /v1/notices.
type NoticesBody struct {
	Notices []Notice `json:"notices"`
}
