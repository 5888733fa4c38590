package simulator

import (
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/protocol"
)

// A fetch that no task waited for any more went on and delayed the fetches behind it, although the protocol says that
// a machine gives it up.
func TestMachineGivesUpFetchesThatNoTaskNeeds(t *testing.T) {
	for _, test := range []struct {
		name      string
		killAfter time.Duration // from the launches of three tasks, each of another image that takes 10 s
		killed    []int
		remaining []time.Duration // from the launches: when each task's image is fetched; 0: it was killed
	}{
		{"all fetched", 0, nil, []time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second}},
		{"the fetch in progress given up", 4 * time.Second, []int{0}, []time.Duration{0, 14 * time.Second, 24 * time.Second}},
		{"a later fetch given up", 4 * time.Second, []int{1}, []time.Duration{10 * time.Second, 0, 20 * time.Second}},
		{"the first is fetched when its task is killed", 12 * time.Second, []int{0}, []time.Duration{0, 20 * time.Second, 30 * time.Second}},
		{"only the last is needed", 4 * time.Second, []int{0, 1}, []time.Duration{0, 0, 14 * time.Second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := NewSimulation(simulationContext(t), testSettings(), 1)
				machine := sim.newMachine(sim.Catalog.Types[0].Name, "a", false)
				for task, image := range []string{"x", "y", "z"} {
					job := &Job{ID: image, Tasks: 3, Spec: map[string]any{"kit": image, "pullGb": 5.0}}
					sim.jobs[image] = job
					sim.launch(machine, image, task, 1)
				}
				launched := time.Now()
				time.Sleep(test.killAfter)
				for _, task := range test.killed {
					sim.killTask(machine, machine.tasks[task], 0)
				}
				for task, want := range test.remaining {
					attempt := machine.tasks[task]
					if want == 0 {
						if attempt.state != protocol.TaskExited {
							t.Errorf("task %d is %s, want exited", task, attempt.state)
						}
					} else if got := attempt.stateEnds.Sub(launched); got != want {
						t.Errorf("image of task %d fetched after %v, want %v", task, got, want)
					}
				}
			})
		})
	}
}
