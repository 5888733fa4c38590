package controller

import (
	"testing"
	"time"
)

// The wait for a machine that does not come up began again with each new owner, so
// some were waited for, and paid, all day.
func TestBootPatience(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name          string
		rented, known time.Duration // ago; rented 0: not on record
		lastUp        time.Duration // when the latest that is up was rented, ago; 0: none is
		up            bool
		gone          bool
	}{
		{"its owner is new", 90 * time.Second, time.Second, 60 * time.Second, false, true},
		{"in time still", 40 * time.Second, 40 * time.Second, 30 * time.Second, false, false},
		{"an older record", 0, 90 * time.Second, time.Second, false, true},
		{"it is up", 90 * time.Second, time.Second, 60 * time.Second, true, false},
		{"none is up: all are late together", 90 * time.Second, 90 * time.Second, 0, false, false},
		{"only earlier ones are up", 90 * time.Second, 90 * time.Second, 200 * time.Second, false, false},
		{"late beyond all patience", 140 * time.Second, 90 * time.Second, 0, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			controller.cache.Types[0].BootS = 30
			machine := controller.cache.Machine("m")
			worker := controller.workerState(machine)
			if worker.since = now.Add(-test.known); !test.up {
				worker.Incarnation = 0
			}
			if test.rented > 0 {
				machine.ProvisionedAt = now.Add(-test.rented).Unix()
			}
			last := int64(0)
			if test.lastUp > 0 {
				last = now.Add(-test.lastUp).Unix()
			}
			if got := controller.neverCame(machine, last, now); got != test.gone {
				t.Errorf("given up %v, want %v", got, test.gone)
			}
		})
	}
}
