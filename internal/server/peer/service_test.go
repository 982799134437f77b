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

// fixedReceiver replies to every operation with the same text.
type fixedReceiver struct {
	text string
}

func (r fixedReceiver) Deliver([]pj.PeerMessage) {}

func (r fixedReceiver) Run(context.Context, string, []byte) (any, error) {
	return r.text, nil
}

// TestSmallRepliesAreNotCompressed guards against overload of the leader by compression: when it compressed each short
// reply, that took more CPU time than its scheduling decisions. Large replies must still be compressed.
func TestSmallRepliesAreNotCompressed(t *testing.T) {
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
			path, handler, stop := peer.NewHandler("vm", fixedReceiver{text: strings.Repeat("a", test.bytes)}, false)
			defer stop()
			body, err := proto.Marshal(&peerpb.CallRequest{FromVm: "other", Operation: "state", Body: []byte("{}")})
			is.NoErr(err)
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path+"Call", bytes.NewReader(body))
			request.Header.Set("Content-Type", "application/proto")
			request.Header.Set("Accept-Encoding", "gzip")
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, request)
			is.Equal(response.Code, http.StatusOK)
			is.Equal(response.Header().Get("Content-Encoding") == "gzip", test.compressed)
		})
	}
}
