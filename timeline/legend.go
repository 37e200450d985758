package timeline

// Families group the kinds. Each is a CSS class of page.html with its own colour.
const (
	familyRequest = "request"
	familyChoice  = "choice"
	familyControl = "control"
	familyMember  = "member"
	familyFault   = "fault"
	// familyShared is the class of marks that represent several events.
	familyShared = "shared"
)

// legend gives each kind a two-letter code, so that marks can be distinguished without colour.
var legend = []legendItem{
	{"AC", familyRequest, KindAccept, "request accepted"},
	{"AT", familyRequest, KindAttempt, "attempt started or failed"},
	{"FT", familyRequest, KindFirstToken, "first token"},
	{"RE", familyRequest, KindResume, "model work moved away from a leaving endpoint"},
	{"FI", familyRequest, KindFinish, "request finished"},
	{"SH", familyChoice, KindRejected, "shed at admission"},
	{"CL", familyChoice, KindClaim, "key claimed, or owner of a claim shard changed"},
	{"CH", familyChoice, KindChoose, "endpoint chosen"},
	{"HO", familyControl, KindHandover, "successor announced, or request handed over"},
	{"LE", familyControl, KindLease, "lease acquired, lost or released"},
	{"OR", familyControl, KindOrder, "order to an endpoint"},
	{"PR", familyControl, KindPreset, "preset in force"},
	{"RV", familyControl, KindRevision, "configuration revision"},
	{"ME", familyMember, KindMember, "entry instance changed state"},
	{"EP", familyMember, KindEndpoint, "endpoint changed state"},
	{"IN", familyFault, KindInvariant, "invariant violated"},
	{"SI", familyFault, KindPeerTimeout, "peer connection timed out"},
	{"PD", familyFault, KindPlatformDown, "platform unavailable, or available again"},
}

// Kinds returns the kinds that the system records.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(legend))
	for _, item := range legend {
		kinds = append(kinds, item.Kind)
	}
	return kinds
}

// legendItemFor returns the legend item of a kind. All unknown kinds share one code.
func legendItemFor(kind Kind) legendItem {
	for _, item := range legend {
		if item.Kind == kind {
			return item
		}
	}
	return legendItem{Code: "··", Family: familyControl, Kind: kind, Meaning: "other"}
}
