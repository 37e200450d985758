package gateway

import (
	"errors"
	"strings"

	"github.com/valyala/fasthttp"
)

// maxKeyBytes bounds an Idempotency-Key, without its quotes.
const maxKeyBytes = 255

var errKey = errors.New("the Idempotency-Key must be a quoted string or a token of 1 to 255 characters")

// idempotencyKey reads the Idempotency-Key, "" when there is none.
func idempotencyKey(header *fasthttp.RequestHeader) (string, error) {
	values := header.PeekAll("Idempotency-Key")
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return parseIdempotencyKey(string(values[0]))
	default:
		return "", errKey
	}
}

// parseIdempotencyKey reads a structured-field string (RFC 9651, section
// 3.3.3), or a bare token as older clients send it. Both forms of the same
// characters are the same key.
func parseIdempotencyKey(text string) (string, error) {
	text = strings.Trim(text, " ")
	key, err := text, error(nil)
	if strings.HasPrefix(text, `"`) {
		key, err = parseQuoted(text)
	} else if !isToken(text) {
		err = errKey
	}
	if err != nil || key == "" || len(key) > maxKeyBytes {
		return "", errKey
	}
	return key, nil
}

func parseQuoted(text string) (string, error) {
	if len(text) < 2 || text[len(text)-1] != '"' {
		return "", errKey
	}
	var key strings.Builder
	inner := text[1 : len(text)-1]
	for i := 0; i < len(inner); i++ {
		c := inner[i]
		if c == '\\' {
			i++
			if i == len(inner) || (inner[i] != '"' && inner[i] != '\\') {
				return "", errKey
			}
			c = inner[i]
		} else if c == '"' || c < ' ' || c > '~' {
			return "", errKey
		}
		key.WriteByte(c)
	}
	return key.String(), nil
}

// tokenPunctuation are the characters of a token beside letters and digits
// (RFC 9651, section 3.3.4).
const tokenPunctuation = "!#$%&'*+-.^_`|~:/="

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
