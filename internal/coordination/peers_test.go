package coordination

import (
	"testing"
	"time"

	"dykeledge/internal/bookkeeping"
)

// Nodes that did not hear each other, although both lived, took the lead and the
// shares from one another eight times a second for the rest of the day.
func TestLostIsAHintWithAnEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := []struct {
		name  string
		nodes int // living by the state service, this one included
		lost  map[string]time.Time
		want  bool
	}{
		{"not lost", 3, nil, false},
		{"just now: it may come back", 3, map[string]time.Time{"n1": ago(time.Second)}, false},
		{"for a while", 3, map[string]time.Time{"n1": ago(2 * time.Second)}, true},
		{"longer than its hold: it lives", 3, map[string]time.Time{"n1": ago(20 * time.Second)}, false},
		{"with half of the others", 5, map[string]time.Time{"n1": ago(2 * time.Second), "n2": ago(2 * time.Second)}, true},
		{"with most others: a filter, or this node is apart", 5, map[string]time.Time{"n1": ago(2 * time.Second),
			"n2": ago(2 * time.Second), "n3": ago(2 * time.Second), "n4": ago(2 * time.Second)}, false},
		{"others were lost long ago", 4, map[string]time.Time{"n1": ago(2 * time.Second),
			"n2": ago(time.Minute), "n3": ago(time.Minute)}, true},
		{"both others of three: two crashes are as likely", 3, map[string]time.Time{"n1": ago(2 * time.Second), "n2": ago(2 * time.Second)}, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			c := newCore(t)
			for _, n := range []string{"n0", "n1", "n2", "n3", "n4"}[:x.nodes] {
				c.book.Nodes[n] = &bookkeeping.Node{Version: 1}
			}
			c.lostPeers = x.lost
			if got := c.lost("n1", now); got != x.want {
				t.Errorf("lost: %v, want %v", got, x.want)
			}
		})
	}
}
