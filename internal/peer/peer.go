// Package peer transports CBOR messages between entry VMs over authenticated WebSocket connections.
package peer

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/message"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

var (
	errNamespace = errorx.NewNamespace("peer")
	// ErrUnavailable reports that there is no connection to the peer or that its queue is full. If Send returns it, the
	// message was not sent.
	ErrUnavailable = errNamespace.NewType("unavailable")
	// ErrUnauthenticated reports a peer that holds no current key or is not the intended VM, or a frame that fails
	// authentication.
	ErrUnauthenticated = errNamespace.NewType("unauthenticated")
)

// Handler processes a message from an authenticated peer. It must not block.
type Handler func(from model.VMID, received message.Message)

// Transport sends messages to other entry VMs. Implementations are plug-ins.
type Transport interface {
	// SetHandler sets the handler of received messages. It must be called before Start.
	SetHandler(handler Handler)
	// SetPeers replaces the addresses (host:port) of the known peers. Connections to removed peers are closed.
	SetPeers(peers map[model.VMID]string)
	// Send queues one message. It does not block. ErrUnavailable means that the message will not be delivered.
	Send(to model.VMID, outgoing message.Message) error
	// Start listens and connects until ctx ends.
	Start(ctx context.Context) error
	// Stop closes all connections once the queued messages are sent, or when ctx ends.
	Stop(ctx context.Context) error
}
