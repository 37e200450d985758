package operator

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
)

// keyring finds the operator of a bearer key in constant time.
type keyring struct {
	names  []string
	hashes [][]byte
}

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

// operator returns the name that belongs to an Authorization header. Every
// hash is compared, whichever matches.
func (k keyring) operator(header []byte) (string, bool) {
	key, ok := bytes.CutPrefix(header, []byte("Bearer "))
	if !ok {
		return "", false
	}
	sum := sha256.Sum256(key)
	found := -1
	for i, hash := range k.hashes {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(sum[:], hash), i, found)
	}
	if found < 0 {
		return "", false
	}
	return k.names[found], true
}
