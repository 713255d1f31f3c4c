package platform_test

import (
	"context"
	"testing"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/tarragonpoint/tarragonpoint/internal/platform"
	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// Guards against a message that is skipped after a negative acknowledgment, and against out-of-order delivery.
func TestSubscriberDeliversInOrderAndRedeliversAfterNack(t *testing.T) {
	_, client := startLog(t, standin.StoreOptions{})
	publisher := &platform.Publisher{Log: client}
	for _, text := range []string{"a", "b", "c"} {
		require.NoError(t, publisher.Publish("config", message.NewMessage(text, []byte(text))))
	}
	subscriber := &platform.Subscriber{Log: client}
	messages, err := subscriber.Subscribe(context.Background(), "config")
	require.NoError(t, err)
	first := <-messages
	first.Nack()
	for i, want := range []string{"a", "b", "c"} {
		received := <-messages
		require.Equal(t, want, string(received.Payload))
		require.Equal(t, string(rune('1'+i)), received.Metadata.Get(platform.MetadataOffset))
		received.Ack()
	}
	require.NoError(t, subscriber.Close())
	_, open := <-messages
	require.False(t, open)
	_, err = subscriber.Subscribe(context.Background(), "config")
	require.Error(t, err)
}

// Guards against a lost response being reported as success or as a definite failure.
func TestPublishWithLostResponseIsUnavailable(t *testing.T) {
	service, client := startLog(t, standin.StoreOptions{})
	service.SetFault(standin.StoreFault{Mode: standin.StoreUp, LoseNextResponses: 1})
	err := (&platform.Publisher{Log: client}).Publish("config", message.NewMessage("a", []byte("a")))
	require.True(t, errorx.IsOfType(err, platform.ErrUnavailable), "%v", err)
	require.Equal(t, uint64(1), service.Totals().Appends)
}
