package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
	"github.com/tarragonpoint/tarragonpoint/internal/route"
)

// webSocketBytes returns the size of a masked WebSocket frame including its header, for payloads of less than 64 KiB.
func webSocketBytes(payload int) int {
	if payload < 126 {
		return payload + 6
	}
	return payload + 8
}

func benchHeartbeat() message.Message {
	return message.Message{Heartbeat: &message.Heartbeat{
		Incarnation: 1 << 62, ConfigOffset: 6_300_000, AssignOffset: 2_000_000, Zone: "zone-00",
		Synced: []model.Zone{"zone-00"},
	}}
}

func benchStatuses(count int) message.Message {
	update := &message.StatusUpdate{}
	for i := range count {
		update.Statuses = append(update.Statuses, message.TargetStatus{
			Target: model.TargetID(fmt.Sprintf("target-%05d", i)),
			Status: route.Status{Incarnation: 1 << 62, Sequence: 1_000_000, Term: model.Term{Epoch: 2_000_000, Rank: 1},
				Serving: true, Limit: 4, Load: 3, Lessor: "entry-00000"},
		})
	}
	return message.Message{StatusUpdate: update}
}

// BenchmarkMessage encodes, seals, opens and decodes one message. It reports the size of the WebSocket frame, without
// TCP and IP headers, as wire-B.
func BenchmarkMessage(b *testing.B) {
	messages := map[string]message.Message{"heartbeat": benchHeartbeat()}
	for _, count := range []int{1, 3, 30, 300} {
		messages[fmt.Sprintf("statuses=%d", count)] = benchStatuses(count)
	}
	for name, sent := range messages {
		b.Run(name, func(b *testing.B) {
			aead, err := newAEAD(make([]byte, sessionKeyBytes))
			require.NoError(b, err)
			from, to := sealer{aead: aead}, opener{aead: aead}
			size := 0
			for b.Loop() {
				data, err := encodeMessage(sent)
				require.NoError(b, err)
				frame := from.seal(append([]byte{chunkHeader(urgent, true)}, data...))
				size = webSocketBytes(len(frame))
				plain, err := to.open(frame)
				require.NoError(b, err)
				_, err = decodeMessage(plain[chunkHeaderBytes:])
				require.NoError(b, err)
			}
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}
