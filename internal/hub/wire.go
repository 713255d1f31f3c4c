package hub

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

const (
	// subprotocol is the WebSocket subprotocol of links on which frames carry their age and messages may have more or fewer fields
	// than the receiver knows. A VM of an older version does not select it and gets the older form.
	subprotocol = "tarragonpoint.hub.2"
	// olderReportFields and olderPushFields are the numbers of fields of the messages without the subprotocol. A VM of that
	// version closes a link on which it gets an array of another length.
	olderReportFields = 8
	olderPushFields   = 4
)

// marshal returns the encoded message, an array of its fields. For a VM of an older version it has only the first fields.
func marshal(message any, isOlder bool, olderFields int) ([]byte, error) {
	raw, err := cbor.Marshal(message)
	if err != nil || !isOlder {
		return raw, err
	}
	var fields []cbor.RawMessage
	if err := cbor.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	return cbor.Marshal(fields[:min(len(fields), olderFields)])
}

// unmarshal decodes a message. Fields that its sender does not know stay zero, and those that this version does not know are
// ignored. message points to a struct that is encoded as an array.
func unmarshal(raw []byte, message any) error {
	var fields []cbor.RawMessage
	if err := cbor.Unmarshal(raw, &fields); err != nil {
		return err
	}
	// The first field of the struct only states that it is encoded as an array.
	known := reflect.TypeOf(message).Elem().NumField() - 1
	if len(fields) == known {
		return cbor.Unmarshal(raw, message)
	}
	for len(fields) < known {
		fields = append(fields, cbor.RawMessage{cborNull})
	}
	adapted, err := cbor.Marshal(fields[:known])
	if err != nil {
		return err
	}
	return cbor.Unmarshal(adapted, message)
}

// cborNull is the encoding of null, which leaves a field zero.
const cborNull = 0xf6
