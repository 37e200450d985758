package request

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"
	"github.com/samber/oops"
)

// ID identifies a request and its home instance, which registered it first.
type ID struct {
	// Incarnation is the ULID of the home instance's start; each restart has a new one.
	Incarnation string
	// Sequence numbers the requests of the incarnation from 1.
	Sequence uint64
}

// MaxIDLength is the length of the longest id in text form, in bytes: a ULID, "-"
// and up to 20 digits.
const MaxIDLength = ulid.EncodedSize + 1 + 20

// String returns the text form "{incarnation}-{sequence}".
func (id ID) String() string {
	return id.Incarnation + "-" + strconv.FormatUint(id.Sequence, 10)
}

// Compare orders ids by incarnation, then by sequence.
func (id ID) Compare(other ID) int {
	return cmp.Or(cmp.Compare(id.Incarnation, other.Incarnation), cmp.Compare(id.Sequence, other.Sequence))
}

// ParseID parses the text form of an id. Only the form that String returns is
// accepted, so that equal ids have equal texts. Errors wrap ErrInvalidID.
func ParseID(text string) (ID, error) {
	if len(text) > MaxIDLength {
		return ID{}, oops.With("step", "parse_id").Wrap(ErrInvalidID)
	}
	incarnation, digits, found := strings.Cut(text, "-")
	if !found {
		return ID{}, oops.With("step", "parse_id").Wrap(ErrInvalidID)
	}
	if _, err := ulid.ParseStrict(incarnation); err != nil || strings.ToUpper(incarnation) != incarnation {
		return ID{}, oops.With("step", "parse_id").Wrap(ErrInvalidID)
	}
	sequence, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || sequence == 0 || strconv.FormatUint(sequence, 10) != digits {
		return ID{}, oops.With("step", "parse_id").Wrap(ErrInvalidID)
	}
	return ID{Incarnation: incarnation, Sequence: sequence}, nil
}
