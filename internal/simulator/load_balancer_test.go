package simulator

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/protocol"
)

// TestLoadBalancerHealth compares when the load balancer counts a controller as healthy with the rules of
// the protocol.
func TestLoadBalancerHealth(t *testing.T) {
	for _, test := range []struct {
		name   string
		probes string // one probe per second: + succeeds, - fails
		want   string // after each probe: h healthy, . unhealthy
	}{
		{"a new controller is healthy after one success", "-+", ".h"},
		{"single failures are tolerated", "+-+-+", "hhhhh"},
		{"removed after two failures in a row", "+--", "hh."},
		{"removed after three failures in six probes", "+-+-+-", "hhhhh."},
		{"healthy again after two successes, and not within three seconds", "+--++++", "hh...hh"},
		{"each removal doubles the pause", "+--+++--++++++++", "hh...hh......hhh"},
	} {
		t.Run(test.name, func(t *testing.T) {
			loadBalancer := NewLoadBalancer()
			loadBalancer.AddController(&ControllerProcess{Name: "n"}, "127.0.0.1:1")
			now := time.Unix(1e9, 0)
			got := ""
			for _, p := range test.probes {
				now = now.Add(time.Second)
				loadBalancer.noteProbeResult(loadBalancer.backends[0], p == '+', now)
				if loadBalancer.backends[0].healthy {
					got += "h"
				} else {
					got += "."
				}
			}
			if got != test.want {
				t.Errorf("probes %s: health is %s, want %s", test.probes, got, test.want)
			}
		})
	}
}

// TestStoreLimits compares the requests that the simulated state service refuses with the protocol.
func TestStoreLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		store.MaxKeptChanges = 10
		storeLink := store.Open(nil)
		put := func(n int, value string) error {
			txn := protocol.Txn{}
			for range n {
				txn.Then = append(txn.Then, protocol.Change{Put: "a/b", Value: []byte(value)})
			}
			_, _, err := storeLink.Txn(t.Context(), txn, protocol.BackgroundRequest)
			return err
		}
		for range 25 {
			if err := put(1, `1`); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := storeLink.Watch(t.Context(), "a/", 1, 0); !errors.Is(err, protocol.ErrRevisionTooOld) {
			t.Errorf("watch from a revision that is no longer kept: error %v, want ErrTooOld", err)
		}
		if ev, err := storeLink.Watch(t.Context(), "a/", 20, 0); err != nil || len(ev.Events) != 5 {
			t.Errorf("watch from a kept revision: %d events, error %v; want 5 events", len(ev.Events), err)
		}
		id, err := storeLink.Grant(t.Context(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := storeLink.Txn(t.Context(), protocol.Txn{Then: []protocol.Change{{Put: "h", Value: []byte(`1`), Lease: id}}}, protocol.BackgroundRequest); err != nil {
			t.Fatal(err)
		}
		if err := storeLink.End(t.Context(), id); err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := storeLink.Read(t.Context(), "h"); !errors.Is(err, protocol.ErrNotFound) {
			t.Errorf("read of a key whose lease has ended: error %v, want ErrNotFound", err)
		}
		store.LowerLimits(10, 2, 1000)
		store.LimitRates(5, 3)
		for _, c := range []struct {
			n     int
			value string
			want  error
		}{{1, `12345678901`, protocol.ErrTooLarge}, {2, `1`, nil}, {2, `1`, errOverRate}} {
			if err := put(c.n, c.value); !errors.Is(err, c.want) {
				t.Errorf("transaction with %d writes of %s: error %v, want %v", c.n, c.value, err, c.want)
			}
			if errors.Is(c.want, protocol.ErrTooLarge) {
				time.Sleep(time.Second)
			}
		}
	})
}
