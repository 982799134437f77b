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

// maxMessageBytes limits the size of one message between VMs; snapshots are the largest.
const maxMessageBytes = 64 << 20

// HeaderCallID is the HTTP header that identifies a call; the response to it has the same value.
const HeaderCallID = "Papaya-Call-Id"

// minCompressedReplyBytes is the minimum size of a reply that is compressed. Preparing a compressor clears more memory
// than a shorter reply has bytes.
const minCompressedReplyBytes = 16 << 10

// Receiver processes the messages and calls from other VMs.
type Receiver interface {
	Deliver(messages []pj.PeerMessage)
	Run(ctx context.Context, operation string, argument []byte) (any, error)
}

// NewHandler returns the path and the handler of the RPC service between VMs. With requireCertificate, clients without a
// certificate from the system's certificate authority are rejected. The returned function ends the streams that other VMs
// have open, so that the server can close.
func NewHandler(self string, receiver Receiver, requireCertificate bool) (string, http.Handler, func()) {
	path, service := peerpbconnect.NewPeerServiceHandler(
		&service{self: self, receiver: receiver},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressedReplyBytes),
	)
	stopped, stop := context.WithCancel(context.Background())
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		aborter := readAborter{controller: http.NewResponseController(w)}
		removeCallback := context.AfterFunc(stopped, aborter.abort)
		defer aborter.finish()
		defer removeCallback()
		service.ServeHTTP(w, r)
	})
	if !requireCertificate {
		return path, handler, stop
	}
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
			http.Error(w, "a certificate from the system's certificate authority is required", http.StatusForbidden)
			return
		}
		handler.ServeHTTP(w, r)
	}), stop
}

// readAborter aborts reads from a stream while its handler runs. Once the handler has returned, it does nothing, because
// the connection then belongs to the server again.
type readAborter struct {
	controller *http.ResponseController

	mu       sync.Mutex
	finished bool
}

func (a *readAborter) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.finished {
		_ = a.controller.SetReadDeadline(time.Now()) // fails only if the connection has no read deadlines
	}
}

func (a *readAborter) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finished = true
}

type service struct {
	self     string
	receiver Receiver
}

// Deliver passes the messages of a stream to the receiver until the stream ends.
func (s *service) Deliver(_ context.Context, stream *connect.ClientStream[peerpb.Batch]) (*connect.Response[peerpb.DeliverSummary], error) {
	for stream.Receive() {
		batch := stream.Msg()
		if batch.GetToVm() != s.self {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the batch is addressed to another VM"))
		}
		s.receiver.Deliver(decodeAll(batch.GetMessages()))
	}
	return connect.NewResponse(&peerpb.DeliverSummary{}), nil
}

// Call runs one operation. An error of the operation is part of the response.
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
	answer := connect.NewResponse(response)
	if id := r.Header().Get(HeaderCallID); id != "" {
		answer.Header().Set(HeaderCallID, id)
	}
	return answer, nil
}
