package papayajunction

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// fingerprintBytes is the number of bytes of a fingerprint, which is twice as long in hexadecimal.
const fingerprintBytes = 16

// fingerprint returns a hash of a value's JSON form. Fingerprints are stored, so fields that are added to the value must be left out of that
// form while they are zero.
func fingerprint(value any) (string, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return "", fmt.Errorf("encode for a fingerprint: %w", err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:fingerprintBytes]), nil
}
