package peer

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
)

// Limits on the structure of messages that are decoded, to bound the cost of decoding data from a faulty peer.
const (
	maxNesting       = 16
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 10
)

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("peer: invalid CBOR options: " + err.Error())
	}
	return mode
}

// mustDecoding returns a mode that ignores unknown fields of a known message, so that fields can be added in a rolling
// upgrade. decodeMessage rejects messages of unknown kind.
func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic("peer: invalid CBOR options: " + err.Error())
	}
	return mode
}

// encodeMessage encodes a message. It returns ErrMalformed unless the message has exactly one kind, and ErrTooLarge if
// its encoding exceeds MaxMessageBytes.
func encodeMessage(m message.Message) ([]byte, error) {
	if kinds(m) != 1 {
		return nil, ErrMalformed.New("a message has %d kinds, want 1", kinds(m))
	}
	data, err := encoding.Marshal(m)
	if err != nil {
		return nil, ErrMalformed.Wrap(err, "cannot encode a message")
	}
	if len(data) > MaxMessageBytes {
		return nil, ErrTooLarge.New("a message has %d bytes, want at most %d", len(data), MaxMessageBytes)
	}
	return data, nil
}

// decodeMessage decodes a message. It returns ErrMalformed unless data is exactly one message of one known kind.
func decodeMessage(data []byte) (message.Message, error) {
	var m message.Message
	if err := decoding.Unmarshal(data, &m); err != nil {
		return message.Message{}, ErrMalformed.Wrap(err, "cannot decode a message")
	}
	if kinds(m) != 1 {
		return message.Message{}, ErrMalformed.New("a message has %d known kinds, want 1", kinds(m))
	}
	return m, nil
}

// kinds returns the number of pointers of a message that are set. A valid message has one.
func kinds(m message.Message) int {
	set := 0
	fields := reflect.ValueOf(m)
	for i := range fields.NumField() {
		if !fields.Field(i).IsNil() {
			set++
		}
	}
	return set
}
