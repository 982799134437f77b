package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlan: a seed always gives the same faults, and replicas are lost one at a time.
func TestPlan(t *testing.T) {
	replicas, entries, workers := []string{"r1", "r2", "r3"}, []string{"e1"}, []string{"w1"}
	plan := func(seed uint64) []Fault { return Plan(seed, time.Minute, replicas, entries, workers) }
	is := is.New(t)
	is.Equal(plan(7), plan(7))
	is.True(len(plan(7)) > 20)
	different := false
	for seed := range uint64(50) {
		free := time.Duration(0)
		for _, f := range plan(seed) {
			is.True(f.At >= calmBefore && f.At < time.Minute-calmAfter)
			if f.On[0] != 'r' {
				continue
			}
			is.True(f.At >= free) // the replica before has caught up
			free = f.At + f.For + catchUp
		}
		different = different || plan(seed)[0] != plan(0)[0]
	}
	is.True(different)
}

// TestForwarder covers what is done to connections.
func TestForwarder(t *testing.T) {
	tests := map[string]struct {
		kind    Kind
		answers bool // a connection that is open already still gets an answer
		ends    bool // it is ended at once
		after   bool // a new connection gets an answer during the fault
	}{
		"calm":    {answers: true, after: true},
		"delay":   {kind: Delay, answers: true, after: true},
		"cut":     {kind: Cut, ends: true},
		"reset":   {kind: Reset, ends: true, after: true},
		"silence": {kind: Silence},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			echo := listen(t)
			go func() {
				for {
					conn, err := echo.Accept()
					if err != nil {
						return
					}
					go func() { _, _ = io.Copy(conn, conn) }()
				}
			}()
			free := listen(t)
			address := free.Addr().String()
			is.NoErr(free.Close())
			f, err := newForwarder(t.Context(), address, echo.Addr().String())
			is.NoErr(err)
			conn := dial(t, address)
			is.True(says(conn)) // before the fault
			f.set(tc.kind)
			if tc.answers {
				is.True(says(conn))
			}
			if tc.ends {
				_, err := conn.Read(make([]byte, 1))
				is.True(err != nil)
			}
			if tc.kind == Silence {
				_, err := conn.Write([]byte("lost"))
				is.NoErr(err)
				f.set("")
				_, err = conn.Read(make([]byte, 1))
				is.True(err != nil) // what was silenced is never completed
			}
			if tc.after {
				is.True(says(dial(t, address)))
			}
			if tc.kind == Cut {
				_, err := dial(t, address).Read(make([]byte, 1))
				is.True(err != nil)
			}
			f.set("")
			is.True(says(dial(t, address)))
		})
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// says reports whether the other side answers with the same bytes.
func says(conn net.Conn) bool {
	if _, err := conn.Write([]byte("word")); err != nil {
		return false
	}
	answer := make([]byte, 4)
	_, err := io.ReadFull(conn, answer)
	return err == nil && string(answer) == "word"
}
