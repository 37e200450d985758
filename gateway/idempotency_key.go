package gateway

import (
	"errors"
	"strings"

	"github.com/valyala/fasthttp"
)

// maxKeyBytes bounds an Idempotency-Key, not counting quotes and escapes.
const maxKeyBytes = 255

var errIdempotencyKey = errors.New("the Idempotency-Key must be a quoted string or a token of 1 to 255 characters")

// idempotencyKey returns the Idempotency-Key, or "" without the header.
func idempotencyKey(header *fasthttp.RequestHeader) (string, error) {
	values := header.PeekAll("Idempotency-Key")
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return parseIdempotencyKey(string(values[0]))
	default:
		return "", errIdempotencyKey
	}
}

// parseIdempotencyKey parses a structured-field string (RFC 9651, section 3.3.3),
// or a bare token, which older clients send. Both forms of the same characters are
// the same key.
func parseIdempotencyKey(text string) (string, error) {
	text = strings.Trim(text, " ")
	key, err := text, error(nil)
	if strings.HasPrefix(text, `"`) {
		key, err = parseQuoted(text)
	} else if !isToken(text) {
		err = errIdempotencyKey
	}
	if err != nil || key == "" || len(key) > maxKeyBytes {
		return "", errIdempotencyKey
	}
	return key, nil
}

func parseQuoted(text string) (string, error) {
	if len(text) < 2 || text[len(text)-1] != '"' {
		return "", errIdempotencyKey
	}
	var key strings.Builder
	inner := text[1 : len(text)-1]
	for i := 0; i < len(inner); i++ {
		c := inner[i]
		if c == '\\' {
			i++
			if i == len(inner) || (inner[i] != '"' && inner[i] != '\\') {
				return "", errIdempotencyKey
			}
			c = inner[i]
		} else if c == '"' || c < ' ' || c > '~' {
			return "", errIdempotencyKey
		}
		key.WriteByte(c)
	}
	return key.String(), nil
}

// tokenPunctuation holds the characters of a token other than letters and digits
// (RFC 9651, section 3.3.4), and also "=", which RFC 9651 does not allow there.
const tokenPunctuation = "!#$%&'*+-.^_`|~:/="

// isToken reports whether text has only letters, digits and tokenPunctuation. Unlike
// RFC 9651, it accepts each of them as the first character, so that a UUID is a token.
func isToken(text string) bool {
	for i := range len(text) {
		c := text[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && strings.IndexByte(tokenPunctuation, c) < 0 {
			return false
		}
	}
	return true
}
