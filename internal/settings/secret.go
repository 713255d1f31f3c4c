package settings

import "fmt"

// redacted stands for a secret in all output.
const redacted = "[redacted]"

// Secret is a value that no formatting or encoding prints.
type Secret struct{ value string }

// NewSecret returns a secret.
func NewSecret(value string) Secret { return Secret{value: value} }

// Reveal returns the value. It must go to cryptographic functions only.
func (s Secret) Reveal() []byte { return []byte(s.value) }

// Format implements fmt.Formatter, so that no verb prints the value.
func (s Secret) Format(state fmt.State, _ rune) { _, _ = fmt.Fprint(state, redacted) }

// MarshalText implements encoding.TextMarshaler, which JSON and YAML encoders use.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Keys are the shared keys of entry VMs.
type Keys []Secret

// keyList is a flag.Value for secrets separated by commas. Set never fails, because the flag package prints a refused
// value; Check reports short keys.
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
