package peer_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pj "papayajunction"
	"papayajunction/internal/server/peer"
	"papayajunction/internal/server/peer/peerpb"
)

// answering answers every operation with the same text.
type answering struct {
	text string
}

func (a answering) Deliver([]pj.PeerMessage) {}

func (a answering) Run(context.Context, string, []byte) (any, error) {
	return a.text, nil
}

// TestSmallAnswersAreNotCompressed guards against incident SHORT: each short answer of the leader was compressed, which took more of its
// processor than the decisions. Answers that are worth it still are.
func TestSmallAnswersAreNotCompressed(t *testing.T) {
	tests := map[string]struct {
		bytes      int
		compressed bool
	}{
		"a state":     {bytes: 10},
		"one message": {bytes: 1000},
		"rules":       {bytes: 100_000, compressed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path, handler, stop := peer.NewHandler("vm", answering{text: strings.Repeat("a", test.bytes)}, false)
			defer stop()
			body, err := proto.Marshal(&peerpb.CallRequest{FromVm: "other", Operation: "state", Body: []byte("{}")})
			is.NoErr(err)
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path+"Call", bytes.NewReader(body))
			request.Header.Set("Content-Type", "application/proto")
			request.Header.Set("Accept-Encoding", "gzip")
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, request)
			is.Equal(answer.Code, http.StatusOK)
			is.Equal(answer.Header().Get("Content-Encoding") == "gzip", test.compressed)
		})
	}
}
