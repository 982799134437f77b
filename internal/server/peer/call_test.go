package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	pj "papayajunction"
	"papayajunction/internal/server/peer"
)

// echoReceiver replies to every operation with its argument, or with an error for the argument "fail".
type echoReceiver struct{}

func (echoReceiver) Deliver([]pj.PeerMessage) {}

func (echoReceiver) Run(_ context.Context, _ string, argument []byte) (any, error) {
	if string(argument) == `"fail"` {
		return nil, pj.Refuse(pj.CodeNotLeader, "refused")
	}
	return string(argument), nil
}

// copyResponse writes a recorded response, without the headers named in omit.
func copyResponse(w http.ResponseWriter, recorded *httptest.ResponseRecorder, omit ...string) {
	for name, values := range recorded.Header() {
		w.Header()[name] = values
	}
	for _, name := range omit {
		w.Header().Del(name)
	}
	w.WriteHeader(recorded.Code)
	_, _ = w.Write(recorded.Body.Bytes())
}

// TestCallResponse guards against taking the response to an earlier call, perhaps of this VM's former process, for the
// response to this one. Grants and leases count from when their call was sent.
func TestCallResponse(t *testing.T) {
	tests := map[string]struct {
		earlier string // argument of an earlier call whose response is delivered instead; empty for none
		omit    string // header that is removed from responses
		want    string // empty for an error
	}{
		"own response":                           {want: `"present"`},
		"response to an earlier call":            {earlier: "former"},
		"refusal of an earlier call":             {earlier: "fail"},
		"a VM of a version that names no call":   {omit: peer.HeaderCallID, want: `"present"`},
		"response to an earlier call, same text": {earlier: "present"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			address := listener.Addr().String()
			_, handler, stop := peer.NewHandler(address, echoReceiver{}, false)
			defer stop()
			var earlier *httptest.ResponseRecorder
			server := &http.Server{Protocols: new(http.Protocols), ReadHeaderTimeout: time.Minute}
			server.Protocols.SetUnencryptedHTTP2(true)
			server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				recorded := httptest.NewRecorder()
				handler.ServeHTTP(recorded, r)
				if earlier == nil {
					earlier = recorded
				}
				copyResponse(w, earlier, test.omit)
			})
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			call := func(argument string) (result string, err error) {
				// A transport of its own, as after a restart of this VM.
				transport, closeTransport := peer.NewTransport("other:1", func(vm string) (string, bool) { return vm, true }, nil, peer.NewTraffic(metrics.NewSet()))
				defer closeTransport()
				return result, transport.Call(t.Context(), address, "echo", argument, &result)
			}
			if test.earlier != "" {
				_, _ = call(test.earlier)
			}
			result, err := call("present")
			is.Equal(err == nil, test.want != "")
			is.Equal(result, test.want)
			if err != nil {
				is.True(!pj.AsError(err).NotRun)
			}
		})
	}
}
