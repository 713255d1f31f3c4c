package bounds

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a body that is read although there is no memory for it, and against memory that is not returned.
func TestSizedBodyNeedsMemory(t *testing.T) {
	const length = FreeBodyBytes + 1000
	memory := NewBodyMemory(1500)
	body := func() io.Reader { return strings.NewReader(strings.Repeat("b", length)) }
	read, reserved, err := memory.ReadSized(body(), length)
	require.NoError(t, err)
	assert.Len(t, read, length)
	assert.EqualValues(t, 500, memory.Free())

	unread := body()
	_, _, err = memory.ReadSized(unread, length)
	require.ErrorIs(t, err, ErrTooLong)
	left, err := io.ReadAll(unread)
	require.NoError(t, err)
	assert.Len(t, left, length, "nothing was read")
	_, small, err := memory.ReadSized(body(), FreeBodyBytes)
	require.NoError(t, err, "a small body needs no memory")

	_, _, err = memory.ReadSized(strings.NewReader("short"), FreeBodyBytes+100)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	reserved.Release()
	reserved.Release()
	small.Release()
	(*Reservation)(nil).Release()
	assert.EqualValues(t, 1500, memory.Free())

	_, whole, err := memory.ReadSized(strings.NewReader(strings.Repeat("b", 2*length)), 2*length)
	require.NoError(t, err, "a body larger than the memory gets all of it")
	assert.Zero(t, memory.Free())
	whole.Release()
}
