package controller

import (
	"testing"
	"time"
)

// Guards against the wait for a machine that does not come up starting again with each new owner: some
// machines were then waited for, and paid for, all day.
func TestMachineThatNeverComesUp(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name                 string
		provisioned, tracked time.Duration // time since it was provisioned (0: not in its record), and since its owner has tracked it
		lastUp               time.Duration // time since the latest machine that is up was provisioned; 0: none is up
		up                   bool
		neverUp              bool
	}{
		{"overdue, with a new owner", 90 * time.Second, time.Second, 60 * time.Second, false, true},
		{"not overdue yet", 40 * time.Second, 40 * time.Second, 30 * time.Second, false, false},
		{"a record without the time of provisioning", 0, 90 * time.Second, time.Second, false, true},
		{"it is up", 90 * time.Second, time.Second, 60 * time.Second, true, false},
		{"no machine of the type is up: all are late together", 90 * time.Second, 90 * time.Second, 0, false, false},
		{"only machines provisioned earlier are up", 90 * time.Second, 90 * time.Second, 200 * time.Second, false, false},
		{"overdue beyond the limit for all machines", 140 * time.Second, 90 * time.Second, 0, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			controller := newCore(t)
			controller.cache.Types[0].BootSeconds = 30
			machine := controller.cache.Machine("m")
			worker := controller.workerState(machine)
			if worker.trackedSince = now.Add(-test.tracked); !test.up {
				worker.Incarnation = 0
			}
			if test.provisioned > 0 {
				machine.ProvisionedAt = now.Add(-test.provisioned).Unix()
			}
			last := int64(0)
			if test.lastUp > 0 {
				last = now.Add(-test.lastUp).Unix()
			}
			if got := controller.bootFailed(machine, last, now); got != test.neverUp {
				t.Errorf("never came up: %v, want %v", got, test.neverUp)
			}
		})
	}
}
