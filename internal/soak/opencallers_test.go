package soak

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOpenTransport checks which requests count as having no complete answer.
func TestOpenTransport(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	tests := map[string]struct {
		method     string
		responses  []string // to the requests of the connections in turn; "" closes the connection without one
		slack      time.Duration
		incomplete int
	}{
		"complete":                            {method: http.MethodPost, responses: []string{ok + "done"}},
		"status of a stopping VM":             {method: http.MethodPost, responses: []string{"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n"}},
		"none":                                {method: http.MethodPost, responses: []string{""}, incomplete: 1},
		"part of one":                         {method: http.MethodPost, responses: []string{ok + "do"}, incomplete: 1},
		"none within the slack":               {method: http.MethodPost, responses: []string{""}, slack: time.Hour},
		"none on an open connection":          {method: http.MethodPost, responses: []string{ok + "done", ""}, incomplete: 1},
		"none, and the transport tries again": {method: http.MethodGet, responses: []string{ok + "done", "", ok + "done"}, incomplete: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener := listen(t)
			responses := tc.responses
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					responses = serve(conn, responses)
				}
			}()
			transport := openTransport{slack: tc.slack}
			client := http.Client{Transport: &transport}
			for range min(len(tc.responses), 2) {
				r, err := http.NewRequestWithContext(t.Context(), tc.method, "http://"+listener.Addr().String(), strings.NewReader(""))
				is.NoErr(err)
				if response, err := client.Do(r); err == nil {
					_ = response.Body.Close()
				}
			}
			transport.close()
			is.Equal(len(transport.incomplete), tc.incomplete)
		})
	}
}

// serve answers the requests of a connection until a response ends it, and returns the remaining responses.
func serve(conn net.Conn, responses []string) []string {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for len(responses) > 0 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return responses
		}
		_ = r.Body.Close()
		response := responses[0]
		responses = responses[1:]
		if _, err := conn.Write([]byte(response)); err != nil || !strings.HasSuffix(response, "done") {
			return responses
		}
	}
	return responses
}
