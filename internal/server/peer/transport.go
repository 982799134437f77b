package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	pj "papayajunction"
	"papayajunction/internal/server/peer/peerpb"
	"papayajunction/internal/server/peer/peerpb/peerpbconnect"
)

const (
	sendQueue   = 1024 // batches waiting for a VM; more are dropped, the protocol sends again
	reopenAfter = 100 * time.Millisecond
	packFrom    = 64 << 10 // bytes of a message from which on it is compressed: it would hold up what follows it on a slow link
)

// Transport sends messages and calls to the other VMs. Connections are made when they are first used.
type Transport struct {
	self    string
	address func(vm string) (string, bool)
	tls     *tls.Config
	traffic *Traffic
	ctx     context.Context //nolint:containedctx // ends the links
	mu      sync.Mutex
	links   map[string]*link
}

// link is the way to one other VM.
type link struct {
	vm     string
	client peerpbconnect.PeerServiceClient
	queue  chan []pj.PeerMessage
	once   sync.Once // starts the stream of messages
}

// NewTransport returns a transport to the VMs that address knows and a function that closes it.
func NewTransport(self string, address func(vm string) (string, bool), tlsConfig *tls.Config, traffic *Traffic) (*Transport, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		self: self, address: address, tls: tlsConfig, traffic: traffic, ctx: ctx, links: make(map[string]*link),
	}, cancel
}

// link returns the way to a VM, or nil if the VM is not known.
func (t *Transport) link(vm string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[vm]; l != nil {
		return l
	}
	address, ok := t.address(vm)
	if !ok || vm == t.self {
		return nil
	}
	scheme := "http://"
	if t.tls != nil {
		scheme = "https://"
	}
	client := peerpbconnect.NewPeerServiceClient(newClient(vm, t.tls, t.traffic), scheme+address,
		connect.WithSendGzip(), connect.WithCompressMinBytes(packFrom))
	l := &link{vm: vm, client: client, queue: make(chan []pj.PeerMessage, sendQueue)}
	t.links[vm] = l
	return l
}

// Send queues messages for a VM without waiting.
func (t *Transport) Send(vm string, messages []pj.PeerMessage) {
	l := t.link(vm)
	if l == nil {
		return
	}
	l.once.Do(func() { go l.run(t.ctx, t.self) })
	select {
	case l.queue <- messages:
	default:
	}
}

// run keeps a stream to the VM open and sends whatever is queued, together if possible.
func (l *link) run(ctx context.Context, self string) {
	for ctx.Err() == nil {
		l.stream(ctx, self)
		l.discard()
		select {
		case <-ctx.Done():
		case <-time.After(reopenAfter):
		}
	}
}

func (l *link) stream(ctx context.Context, self string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := l.client.Deliver(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case messages := <-l.queue:
			batch := &peerpb.Batch{FromVm: self, ToVm: l.vm, Messages: encodeAll(l.gather(messages))}
			if err := stream.Send(batch); err != nil {
				return
			}
		}
	}
}

// gather adds what else is queued.
func (l *link) gather(messages []pj.PeerMessage) []pj.PeerMessage {
	for {
		select {
		case more := <-l.queue:
			messages = append(messages, more...)
		default:
			return messages
		}
	}
}

// discard drops what was queued for a VM that can't be reached.
func (l *link) discard() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// Call runs an operation on another VM. The result is decoded into result.
func (t *Transport) Call(ctx context.Context, vm, operation string, argument, result any) error {
	l := t.link(vm)
	if l == nil {
		return pj.Refuse(pj.CodeInternal, "VM %s is not known", vm)
	}
	body, err := json.Marshal(argument)
	if err != nil {
		return fmt.Errorf("write argument of %s: %w", operation, err)
	}
	response, err := l.client.Call(ctx, connect.NewRequest(&peerpb.CallRequest{
		FromVm: t.self, Operation: operation, Body: body,
	}))
	if err != nil {
		return fmt.Errorf("call %s on VM %s: %w", operation, vm, err)
	}
	return decodeResponse(operation, response.Msg, result)
}

func decodeResponse(operation string, m *peerpb.CallResponse, result any) error {
	if len(m.GetError()) > 0 {
		e := &pj.Error{}
		if err := json.Unmarshal(m.GetError(), e); err != nil {
			return fmt.Errorf("read error of %s: %w", operation, err)
		}
		return e
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(m.GetBody(), result); err != nil {
		return fmt.Errorf("read result of %s: %w", operation, err)
	}
	return nil
}
