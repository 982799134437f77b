package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlan checks that a seed always gives the same faults and that replicas fail one at a time.
func TestPlan(t *testing.T) {
	replicas, entries, workers := []string{"r1", "r2", "r3"}, []string{"e1"}, []string{"w1"}
	plan := func(seed uint64) []Fault { return Plan(seed, time.Minute, replicas, entries, workers) }
	is := is.New(t)
	is.Equal(plan(7), plan(7))
	is.True(len(plan(7)) > 20)
	different := false
	for seed := range uint64(50) {
		recovered := time.Duration(0)
		for _, f := range plan(seed) {
			is.True(f.At >= warmUp && f.At < time.Minute-coolDown)
			if f.Target[0] != 'r' {
				continue
			}
			is.True(f.At >= recovered) // the previous replica has caught up
			recovered = f.At + f.Duration + recoveryTime
		}
		different = different || plan(seed)[0] != plan(0)[0]
	}
	is.True(different)
}

// TestPlanRolls checks that a seed always gives the same rolling restarts, that the leader of a round has caught up before the next round, and that
// in some rounds it is lost while the entries answer their last requests.
func TestPlanRolls(t *testing.T) {
	is := is.New(t)
	plan := func(seed uint64) []Fault { return PlanRolls(seed, 2*time.Minute, []string{"e1", "e2"}) }
	is.Equal(plan(7), plan(7))
	early, late := 0, 0
	for seed := range uint64(50) {
		leaderBack, entriesStopped := time.Duration(0), time.Duration(0)
		for _, f := range plan(seed) {
			switch {
			case f.Target != leaderTarget:
				entriesStopped = f.At
			case f.At < entriesStopped+rollGrace:
				late++
			default:
				early++
			}
			if f.Target == leaderTarget {
				is.True(f.At >= max(warmUp, leaderBack))
				leaderBack = f.At + rollGrace + rollPause
			}
		}
	}
	is.True(early > 50 && late > 50)
}

// TestFaultProxy checks the effect of each fault on existing and new connections.
func TestFaultProxy(t *testing.T) {
	tests := map[string]struct {
		kind           Kind
		existingEchoes bool // data on an existing connection is echoed during the fault
		existingClosed bool // an existing connection is closed at the start of the fault
		newEchoes      bool // data on a new connection is echoed during the fault
	}{
		"no fault":  {existingEchoes: true, newEchoes: true},
		"delay":     {kind: Delay, existingEchoes: true, newEchoes: true},
		"refuse":    {kind: Refuse, existingClosed: true},
		"reset":     {kind: Reset, existingClosed: true, newEchoes: true},
		"blackhole": {kind: Blackhole},
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
			unused := listen(t)
			address := unused.Addr().String()
			is.NoErr(unused.Close())
			proxy, err := newFaultProxy(t.Context(), address, echo.Addr().String())
			is.NoErr(err)
			conn := dial(t, address)
			is.True(echoes(conn)) // before the fault
			proxy.setFault(tc.kind)
			if tc.existingEchoes {
				is.True(echoes(conn))
			}
			if tc.existingClosed {
				_, err := conn.Read(make([]byte, 1))
				is.True(err != nil)
			}
			if tc.kind == Blackhole {
				_, err := conn.Write([]byte("lost"))
				is.NoErr(err)
				proxy.setFault("")
				_, err = conn.Read(make([]byte, 1))
				is.True(err != nil) // closed, as data was dropped
			}
			if tc.newEchoes {
				is.True(echoes(dial(t, address)))
			}
			if tc.kind == Refuse {
				_, err := dial(t, address).Read(make([]byte, 1))
				is.True(err != nil)
			}
			proxy.setFault("")
			is.True(echoes(dial(t, address)))
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

// echoes reports whether data sent on the connection is echoed.
func echoes(conn net.Conn) bool {
	if _, err := conn.Write([]byte("word")); err != nil {
		return false
	}
	echoed := make([]byte, 4)
	_, err := io.ReadFull(conn, echoed)
	return err == nil && string(echoed) == "word"
}
