package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	pj "papayajunction"
	"papayajunction/internal/server/peer/peerpb"
	"papayajunction/internal/server/peer/peerpb/peerpbconnect"
)

// maxMessageBytes bounds one message between VMs; snapshots are the largest.
const maxMessageBytes = 64 << 20

// compressFrom is the size in bytes from which on answers are compressed: preparing a compressor clears more memory than a
// shorter answer has.
const compressFrom = 16 << 10

// Receiver handles what other VMs send.
type Receiver interface {
	Deliver(messages []pj.PeerMessage)
	Run(ctx context.Context, operation string, argument []byte) (any, error)
}

// NewHandler returns the path and the handler of the service between VMs. With identified, only
// callers with a certificate of the VMs' authority are heard. The returned function ends the streams
// of the other VMs, so that the server can close.
func NewHandler(self string, receiver Receiver, identified bool) (string, http.Handler, func()) {
	path, service := peerpbconnect.NewPeerServiceHandler(
		&service{self: self, receiver: receiver},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressFrom),
	)
	stopped, stop := context.WithCancel(context.Background())
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := cut{control: http.NewResponseController(w)}
		release := context.AfterFunc(stopped, c.now)
		defer c.end()
		defer release()
		service.ServeHTTP(w, r)
	})
	if !identified {
		return path, handler, stop
	}
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
			http.Error(w, "a certificate of the system's authority is needed", http.StatusForbidden)
			return
		}
		handler.ServeHTTP(w, r)
	}), stop
}

// cut ends the reading of a stream while its handler runs; afterwards the stream belongs to the server.
type cut struct {
	control *http.ResponseController

	mu    sync.Mutex
	ended bool
}

func (c *cut) now() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		_ = c.control.SetReadDeadline(time.Now()) // fails only where the connection can't be cut this way
	}
}

func (c *cut) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

type service struct {
	self     string
	receiver Receiver
}

// Deliver hands in the messages of a stream until it ends.
func (s *service) Deliver(_ context.Context, stream *connect.ClientStream[peerpb.Batch]) (*connect.Response[peerpb.DeliverSummary], error) {
	for stream.Receive() {
		batch := stream.Msg()
		if batch.GetToVm() != s.self {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("this is another VM"))
		}
		s.receiver.Deliver(decodeAll(batch.GetMessages()))
	}
	return connect.NewResponse(&peerpb.DeliverSummary{}), nil
}

// Call runs one operation.
func (s *service) Call(ctx context.Context, r *connect.Request[peerpb.CallRequest]) (*connect.Response[peerpb.CallResponse], error) {
	response := &peerpb.CallResponse{}
	value, err := s.receiver.Run(ctx, r.Msg.GetOperation(), r.Msg.GetBody())
	if err != nil {
		response.Error, err = json.Marshal(pj.AsError(err))
	} else {
		response.Body, err = json.Marshal(value)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(response), nil
}
