package operator

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
)

// keyring maps hashes of bearer keys to operators. A look-up takes the same time
// whichever key matches. names and hashes are parallel slices.
//
// It is immutable after newKeyring.
type keyring struct {
	names  []string
	hashes [][]byte
}

// newKeyring returns a keyring, or ErrInvalid if there are no credentials or one has
// no operator or no valid hash.
func newKeyring(credentials []Credential) (keyring, error) {
	var k keyring
	for _, c := range credentials {
		hash, err := hex.DecodeString(c.KeyHash)
		if err != nil || len(hash) != sha256.Size || c.Operator == "" {
			return k, stepError("operator/configure", fmt.Errorf("%w: credential of operator %q", ErrInvalid, c.Operator))
		}
		k.names, k.hashes = append(k.names, c.Operator), append(k.hashes, hash)
	}
	if len(k.names) == 0 {
		return k, stepError("operator/configure", fmt.Errorf("%w: no credentials", ErrInvalid))
	}
	return k, nil
}

// authenticate returns the operator whose bearer key is in an Authorization header.
// It compares every hash, so that the time does not depend on which one matches.
func (k keyring) authenticate(header []byte) (string, bool) {
	key, ok := bytes.CutPrefix(header, []byte("Bearer "))
	if !ok {
		return "", false
	}
	digest := sha256.Sum256(key)
	match := -1
	for i, hash := range k.hashes {
		match = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(digest[:], hash), i, match)
	}
	if match < 0 {
		return "", false
	}
	return k.names[match], true
}
