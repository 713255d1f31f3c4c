package settings

import "fmt"

// redacted replaces secrets in all output.
const redacted = "[redacted]"

// Secret is a value that is redacted when it is formatted or encoded.
type Secret struct{ value string }

// NewSecret returns a secret with the given value.
func NewSecret(value string) Secret { return Secret{value: value} }

// Reveal returns the value. Callers must pass it only to cryptographic functions.
func (s Secret) Reveal() []byte { return []byte(s.value) }

// Format implements fmt.Formatter. All verbs print the redacted text.
func (s Secret) Format(state fmt.State, _ rune) { _, _ = fmt.Fprint(state, redacted) }

// MarshalText implements encoding.TextMarshaler, which JSON and YAML encoders use.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Keys are the shared keys that authenticate entry VMs to each other.
type Keys []Secret

// keyList is a flag.Value for secrets separated by commas. Set never fails, because the flag package prints values that
// it rejects; Check reports keys that are too short.
type keyList struct{ into *Keys }

// Set implements flag.Value.
func (v keyList) Set(value string) error {
	var keys Keys
	for _, item := range split(value) {
		keys = append(keys, NewSecret(item))
	}
	*v.into = keys
	return nil
}

// String implements flag.Value.
func (v keyList) String() string {
	if v.into == nil || len(*v.into) == 0 {
		return ""
	}
	return redacted
}
