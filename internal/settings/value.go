package settings

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// text is a flag.Value for string types.
type text[T ~string] struct{ into *T }

// Set implements flag.Value.
func (v text[T]) Set(value string) error {
	*v.into = T(value)
	return nil
}

// String implements flag.Value.
func (v text[T]) String() string {
	if v.into == nil {
		return ""
	}
	return string(*v.into)
}

// integer is a flag.Value for integers.
type integer[T ~int | ~int64] struct{ into *T }

// Set implements flag.Value.
func (v integer[T]) Set(value string) error {
	parsed, err := strconv.ParseInt(value, 10, 64)
	if err != nil || int64(T(parsed)) != parsed {
		return ErrInvalid.New("is not a whole number")
	}
	*v.into = T(parsed)
	return nil
}

// String implements flag.Value.
func (v integer[T]) String() string {
	if v.into == nil {
		return ""
	}
	return strconv.FormatInt(int64(*v.into), 10)
}

// duration is a flag.Value for durations such as "2s".
type duration struct{ into *time.Duration }

// Set implements flag.Value.
func (v duration) Set(value string) error {
	parsed, err := time.ParseDuration(value)
	if err != nil {
		return ErrInvalid.New(`is not a duration such as "2s" or "500ms"`)
	}
	*v.into = parsed
	return nil
}

// String implements flag.Value.
func (v duration) String() string {
	if v.into == nil {
		return ""
	}
	return v.into.String()
}

// deferredValue records the parse error of a malformed value for Check, so that operators see all problems at once and
// the flag package does not print the value.
type deferredValue struct {
	flag.Value
	name string
	into *Entry
}

// Set implements flag.Value. It always returns nil. A later valid value clears the error of an earlier one.
func (v deferredValue) Set(value string) error {
	delete(v.into.malformed, v.name)
	err := v.Value.Set(value)
	if err == nil {
		return nil
	}
	if v.into.malformed == nil {
		v.into.malformed = map[string]string{}
	}
	v.into.malformed[v.name] = messageOf(err)
	return nil
}

// String implements flag.Value. The flag package also calls it on the zero value.
func (v deferredValue) String() string {
	if v.Value == nil {
		return ""
	}
	return v.Value.String()
}

// messageOf returns the message of an error without the name of its errorx type.
func messageOf(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}

// peerList is a flag.Value for peers in the form vm=IP:port, separated by commas.
type peerList struct{ into *[]Peer }

// Set implements flag.Value. Check reports malformed addresses.
func (v peerList) Set(value string) error {
	var peers []Peer
	for _, item := range split(value) {
		vm, address, found := strings.Cut(item, "=")
		if !found {
			return ErrInvalid.New("%q is not of the form vm=IP:port", item)
		}
		peers = append(peers, Peer{VM: model.VMID(vm), Address: address})
	}
	*v.into = peers
	return nil
}

// String implements flag.Value.
func (v peerList) String() string {
	if v.into == nil {
		return ""
	}
	items := make([]string, 0, len(*v.into))
	for _, peer := range *v.into {
		items = append(items, fmt.Sprintf("%s=%s", peer.VM, peer.Address))
	}
	return strings.Join(items, ",")
}

// split splits a list separated by commas. It returns nil for an empty text.
func split(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}
