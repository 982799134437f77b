package peer

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	pj "papayajunction"
	"papayajunction/internal/server/peer/peerpb"
	"papayajunction/internal/server/peer/peerpb/peerpbconnect"
)

const (
	sendQueueLength           = 1024 // batches queued for one VM; further ones are dropped, and the replication protocol resends them
	reopenDelay               = 100 * time.Millisecond
	minCompressedMessageBytes = 64 << 10 // shorter messages are not compressed; larger ones, if not compressed, would delay those behind them on a slow link
)

// Transport sends messages and calls to the other VMs. Connections are opened at first use.
type Transport struct {
	self    string
	address func(vm string) (string, bool)
	tls     *tls.Config
	traffic *Traffic
	ctx     context.Context //nolint:containedctx // ends the links
	process string          // differs between transports, also between those of one VM
	calls   atomic.Uint64   // number of calls so far
	mu      sync.Mutex
	links   map[string]*link
}

// link is the client and the send queue for one other VM.
type link struct {
	vm     string
	client peerpbconnect.PeerServiceClient
	queue  chan []pj.PeerMessage
	once   sync.Once // starts run
}

// NewTransport returns a transport to the VMs for which address returns an address, and a function that closes it.
func NewTransport(self string, address func(vm string) (string, bool), tlsConfig *tls.Config, traffic *Traffic) (*Transport, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		self: self, address: address, tls: tlsConfig, traffic: traffic, ctx: ctx, process: rand.Text(), links: make(map[string]*link),
	}, cancel
}

// link returns the link to a VM and creates it if needed, or returns nil if the VM is unknown or is this one.
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
		connect.WithSendGzip(), connect.WithCompressMinBytes(minCompressedMessageBytes))
	l := &link{vm: vm, client: client, queue: make(chan []pj.PeerMessage, sendQueueLength)}
	t.links[vm] = l
	return l
}

// Send queues messages for a VM without blocking. They are dropped if the queue is full.
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

// run keeps a stream to the VM open and sends the queued messages, with those that are queued at the same time in one
// batch. When the stream fails, it drops what is queued and opens a new one after reopenDelay.
func (l *link) run(ctx context.Context, self string) {
	for ctx.Err() == nil {
		l.stream(ctx, self)
		l.discardQueued()
		select {
		case <-ctx.Done():
		case <-time.After(reopenDelay):
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
			batch := &peerpb.Batch{FromVm: self, ToVm: l.vm, Messages: encodeAll(l.appendQueued(messages))}
			if err := stream.Send(batch); err != nil {
				return
			}
		}
	}
}

// appendQueued appends the messages that are queued.
func (l *link) appendQueued(messages []pj.PeerMessage) []pj.PeerMessage {
	for {
		select {
		case more := <-l.queue:
			messages = append(messages, more...)
		default:
			return messages
		}
	}
}

// discardQueued drops the messages that were queued for a VM that can't be reached.
func (l *link) discardQueued() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// Call runs an operation on another VM. The result is decoded into result. What a result grants counts from when the call
// was sent, so the response to another call, perhaps one of this VM's former process, is an error.
func (t *Transport) Call(ctx context.Context, vm, operation string, argument, result any) error {
	l := t.link(vm)
	if l == nil {
		return pj.Refuse(pj.CodeInternal, "unknown VM %s", vm)
	}
	body, err := json.Marshal(argument)
	if err != nil {
		return fmt.Errorf("encode argument of %s: %w", operation, err)
	}
	request := connect.NewRequest(&peerpb.CallRequest{FromVm: t.self, Operation: operation, Body: body})
	id := t.process + "-" + strconv.FormatUint(t.calls.Add(1), 36)
	request.Header().Set(HeaderCallID, id)
	response, err := l.client.Call(ctx, request)
	if err != nil {
		return fmt.Errorf("call %s on VM %s: %w", operation, vm, err)
	}
	// VMs of earlier versions name no call.
	if answered := response.Header().Get(HeaderCallID); answered != "" && answered != id {
		return fmt.Errorf("call %s on VM %s: the response is to another call", operation, vm)
	}
	return decodeResponse(operation, response.Msg, result)
}

func decodeResponse(operation string, m *peerpb.CallResponse, result any) error {
	if len(m.GetError()) > 0 {
		e := &pj.Error{}
		if err := json.Unmarshal(m.GetError(), e); err != nil {
			return fmt.Errorf("decode error of %s: %w", operation, err)
		}
		return e
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(m.GetBody(), result); err != nil {
		return fmt.Errorf("decode result of %s: %w", operation, err)
	}
	return nil
}
