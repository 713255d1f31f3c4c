package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is the keyed hash of a request.
type Fingerprint uint64

// FingerprintOf returns the hash of a request's body and further parts. Each of those is preceded by its length, so that
// the hash depends on where the parts end. seed keys the hash, so that it reveals nothing about a request to those who
// do not know it.
func FingerprintOf(seed uint64, body []byte, parts ...string) Fingerprint {
	digest := xxhash.NewWithSeed(seed)
	for _, part := range parts {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}
