package simulator

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/protocol"
)

// TestLoadBalancerHealth compares the balancer's judgement of a controller with the protocol.
func TestLoadBalancerHealth(t *testing.T) {
	for _, test := range []struct {
		name   string
		probes string // one a second: + answers, - does not
		want   string // healthy after each
	}{
		{"never healthy needs one", "-+", ".h"},
		{"one failure is nothing", "+-+-+", "hhhhh"},
		{"two in a row", "+--", "hh."},
		{"three of six", "+-+-+-", "hhhhh."},
		{"back after two, not before three seconds", "+--++++", "hh...hh"},
		{"each removal doubles the pause", "+--+++--++++++++", "hh...hh......hhh"},
	} {
		t.Run(test.name, func(t *testing.T) {
			loadBalancer := NewLoadBalancer()
			loadBalancer.AddController(&ControllerProcess{Name: "n"}, "127.0.0.1:1")
			now := time.Unix(1e9, 0)
			got := ""
			for _, p := range test.probes {
				now = now.Add(time.Second)
				loadBalancer.probed(loadBalancer.backends[0], p == '+', now)
				if loadBalancer.backends[0].healthy {
					got += "h"
				} else {
					got += "."
				}
			}
			if got != test.want {
				t.Errorf("%s gives %s, want %s", test.probes, got, test.want)
			}
		})
	}
}

// TestStoreLimits compares the state service's refusals with the protocol.
func TestStoreLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore()
		store.Keep = 10
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
		if _, err := storeLink.Watch(t.Context(), "a/", 1, 0); !errors.Is(err, protocol.ErrTooOld) {
			t.Errorf("a watch from before what is kept: %v", err)
		}
		if ev, err := storeLink.Watch(t.Context(), "a/", 20, 0); err != nil || len(ev.Events) != 5 {
			t.Errorf("%d events, %v", len(ev.Events), err)
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
			t.Errorf("a key outlives its lease: %v", err)
		}
		store.Shrink(10, 2, 1000)
		store.Limit(5, 3)
		for _, c := range []struct {
			n     int
			value string
			want  error
		}{{1, `12345678901`, protocol.ErrTooLarge}, {2, `1`, nil}, {2, `1`, errOverRate}} {
			if err := put(c.n, c.value); !errors.Is(err, c.want) {
				t.Errorf("%d of %s: %v, want %v", c.n, c.value, err, c.want)
			}
			if errors.Is(c.want, protocol.ErrTooLarge) {
				time.Sleep(time.Second)
			}
		}
	})
}
