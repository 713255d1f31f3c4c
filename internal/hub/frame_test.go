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

// Guards against one large configuration saturating the leader's link for seconds: 1,500 routes take 250 KB, and
// sending them uncompressed to 75 VMs over a link of 10 Mbit/s takes 15 s.
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

// Guards against small messages being altered by encoding and decoding.
func TestSmallMessageIsSentAsItIs(t *testing.T) {
	for _, raw := range [][]byte{{}, {1}, bytes.Repeat([]byte{7}, compressionThreshold-1)} {
		frame, err := encodeFrame(raw)
		require.NoError(t, err)
		decoded, err := decodeFrame(frame)
		require.NoError(t, err)
		require.Equal(t, string(raw), string(decoded))
	}
}

// Guards against damaged frames that crash the process or decode to a message, and against unbounded memory use.
func TestDamagedFramesAreRejected(t *testing.T) {
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
