package hub

import (
	"bytes"
	"compress/flate"
	"fmt"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

// Guards against a leader whose link is filled for seconds by one large configuration: 1,500 routes have 250 KB, and 75
// VMs behind a link of 10 Mbit/s would wait 15 s for them.
func TestLargeConfigurationFitsTheLeadersLink(t *testing.T) {
	var config strings.Builder
	for i := range 1500 {
		fmt.Fprintf(&config, `{"entry-kind":"routes","metadata":{"name":"r-%x"},"spec":{"host":"h%d.example","path-prefix":"/p%x/",`+
			`"kind":"safe","service":"svc","timeout":"1500ms","target-latency":"600ms","priority":2,"max-attempts":2}},`, i*7919, i%5, i*104729)
	}
	frame, err := encodeFrame([]byte(config.String()))
	require.NoError(t, err)
	const vms, linkBytesPerSecond = 75, 10_000_000 / 8
	require.Less(t, len(frame)*vms, 3*linkBytesPerSecond, "the bound of 3 s for a configuration")
	raw, err := decodeFrame(frame)
	require.NoError(t, err)
	require.Equal(t, config.String(), string(raw))
}

// Guards against a message that is passed on changed, for small messages too.
func TestSmallMessageIsSentAsItIs(t *testing.T) {
	for _, raw := range [][]byte{{}, {1}, bytes.Repeat([]byte{7}, compressFrom-1)} {
		frame, err := encodeFrame(raw)
		require.NoError(t, err)
		decoded, err := decodeFrame(frame)
		require.NoError(t, err)
		require.Equal(t, string(raw), string(decoded))
	}
}

// Guards against damaged frames that end the process or pass for a message, and against memory without bound.
func TestDamagedFramesAreRefused(t *testing.T) {
	var huge bytes.Buffer
	huge.WriteByte(frameDeflated)
	writer, err := flate.NewWriter(&huge, flate.BestSpeed)
	require.NoError(t, err)
	_, err = writer.Write(make([]byte, maxMessage+1))
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	for _, frame := range [][]byte{nil, {9, 1}, {frameDeflated, 0xff, 0xff}, huge.Bytes()} {
		_, err := decodeFrame(frame)
		require.True(t, errorx.IsOfType(err, ErrLink), "%v", err)
	}
}
