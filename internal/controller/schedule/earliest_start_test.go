package schedule

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// Guards against replicas that fetch their image for half a minute and more on any machine with free
// capacity, although other machines have the image and run work that may be preempted.
func TestTaskStartsWhereSoonest(t *testing.T) {
	const (
		image    = 7
		preempts = "preempts"
		waits    = "waits"
	)
	hasImage := func(s *Slot) { s.Images = []int{image} }
	preemptible := func(s *Slot) { s.Free.Cpus, s.Preemptible = 0, storage.Usage{Cpus: 8, Mem: 32} }
	boots := func(seconds float64) func(*Slot) { return func(s *Slot) { s.BootRemainingS = seconds } }
	fetches := func(image int, seconds float64) func(*Slot) {
		return func(s *Slot) { s.FetchingImages, s.FetchRemainingS = []int{image}, seconds }
	}
	for _, test := range []struct {
		name     string
		imageGB  float64 // fetched at 1 GB a second
		priority protocol.Priority
		slots    []*Slot
		booting  []*Slot
		want     string // machine that the task is placed on, preempts or waits
	}{
		{"a cached image outweighs the order of machines", 30, protocol.Production, []*Slot{slot("m", 0, 8), slot("n", 0, 8, hasImage)}, nil, "n"},
		{"preempts where its image is cached to avoid a long fetch", 30, protocol.Production, []*Slot{slot("m", 0, 8), slot("n", 0, 8, hasImage, preemptible)}, nil, preempts},
		{"a short fetch is not worth a preemption", 5, protocol.Production, []*Slot{slot("m", 0, 8), slot("n", 0, 8, hasImage, preemptible)}, nil, "m"},
		{"best-effort work preempts nothing", 30, protocol.Normal, []*Slot{slot("m", 0, 8), slot("n", 0, 8, hasImage, preemptible)}, nil, "m"},
		{"waits for a machine that boots soon rather than behind other fetches", 30, protocol.Normal, []*Slot{slot("m", 0, 8, fetches(1, 60))}, []*Slot{slot("b", 0, 8, boots(10))}, waits},
		{"does not wait for a machine that boots almost as long", 30, protocol.Normal, []*Slot{slot("m", 0, 8, fetches(1, 60))}, []*Slot{slot("b", 0, 8, boots(55))}, "m"},
		{"joins a fetch in progress rather than start another", 30, protocol.Normal, []*Slot{slot("m", 0, 8), slot("n", 0, 8, fetches(image, 28))}, nil, "n"},
		{"does not join a fetch that is queued behind others", 30, protocol.Normal, []*Slot{slot("m", 0, 8), slot("n", 0, 8, fetches(image, 80))}, nil, "m"},
	} {
		t.Run(test.name, func(t *testing.T) {
			waiting := job("a", 1, 4, test.priority, func(j *storage.Job) { j.Image, j.ImageGB, j.Spot = image, test.imageGB, false })
			result := Place(&Input{
				Now: time.Unix(1000, 0), Slots: test.slots, Booting: test.booting, Jobs: []*storage.Job{waiting},
				Teams: make([]config.Team, 1), Used: make([]storage.Usage, 1), Capacity: storage.Usage{Cpus: 100, Mem: 400},
				RecordBudget: 9, Tasks: 9, MayPreempt: func(j *storage.Job) bool { return j.Priority.IsTop() },
			})
			got := waits
			switch {
			case len(result.Placed) > 0:
				got = result.Placed[0].Slot.Machine.Name
			case result.UnplacedTasks[waiting] > 0:
				got = preempts
			}
			if got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
		})
	}
}

// Guards against placing all replicas of a service on one of the machines that have its image, where the loss
// of that machine stops all of them.
func TestServiceReplicasSpreadOverMachines(t *testing.T) {
	const replicas = 6
	service := job("a", replicas, 1, protocol.Production, func(j *storage.Job) { j.Spread, j.Image, j.ImageGB = true, 7, 30 })
	var slots []*Slot
	for i := range replicas {
		slots = append(slots, slot(fmt.Sprint("m", i), i%2, 8, func(s *Slot) { s.Images, s.PriceRank = []int{7}, float64(i)/6 }))
	}
	result := Place(&Input{
		Now: time.Unix(1000, 0), Slots: slots, Jobs: []*storage.Job{service},
		Teams: make([]config.Team, 1), Used: make([]storage.Usage, 1), Capacity: storage.Usage{Cpus: 100, Mem: 400},
		RecordBudget: 9, Tasks: 9,
	})
	byMachine := map[string]int{}
	for _, placement := range result.Placed {
		byMachine[placement.Slot.Machine.Name]++
	}
	if len(result.Placed) != replicas || len(byMachine) < replicas {
		t.Errorf("%d replicas by machine: %v", len(result.Placed), byMachine)
	}
}

// Victims are chosen first on machines that have the image, in the order of their scores, and on other
// machines only for tasks that do not fit there.
func TestPreemptSoonest(t *testing.T) {
	for _, test := range []struct {
		tasks int
		want  string
	}{{1, "n1"}, {2, "n1 n2"}, {3, "m1 n1 n2"}, {9, "m1 m2 n1 n2"}} {
		t.Run(fmt.Sprintf("tasks=%d", test.tasks), func(t *testing.T) {
			top := job("top", 9, 4, protocol.Production, func(j *storage.Job) { j.Image, j.ImageGB = 7, 30 })
			slotM, slotN := slot("m", 0, 0), slot("n", 0, 0, func(s *Slot) { s.Images = []int{7} })
			var candidates []Candidate
			for i, s := range []*Slot{slotM, slotM, slotN, slotN} {
				victim := job(fmt.Sprint(s.Machine.Name, i%2+1), 1, 4, protocol.Low)
				candidates = append(candidates, Candidate{Victims: []Victim{{Slot: s, Job: victim}}, LostTaskSeconds: float64(i)})
			}
			RankCandidates(0.31, candidates)
			var preempted []string
			for _, candidate := range PreemptSoonest(top, test.tasks, []*Slot{slotM, slotN}, candidates) {
				preempted = append(preempted, candidate.Victims[0].Job.ID)
			}
			slices.Sort(preempted)
			if got := strings.Join(preempted, " "); got != test.want {
				t.Errorf("preempted %s, want %s", got, test.want)
			}
		})
	}
}

// A replica waited for the image fetches of best-effort tasks that had been placed on its machine before it and had
// not begun to run.
func TestDelayingFetches(t *testing.T) {
	const image, otherImage = 7, 8
	onMachine := func(id string, s *Slot, imageGB float64, fetching bool) Candidate {
		waiting := job(id, 1, 4, protocol.Low, func(j *storage.Job) { j.Image, j.ImageGB = otherImage, imageGB })
		return Candidate{Victims: []Victim{{Slot: s, Job: waiting}}, Fetching: fetching}
	}
	slotM, slotN := slot("m", 0, 0), slot("n", 0, 0)
	cached := slot("c", 0, 0, func(s *Slot) { s.Images = []int{image} })
	topPriority := onMachine("top", slotM, 20, true)
	topPriority.TopPriority = true
	sameImage := onMachine("same", slotM, 20, true)
	sameImage.Victims[0].Job.Image = image
	for _, test := range []struct {
		name     string
		priority protocol.Priority
		imageGB  float64
		chosen   Candidate
		others   []Candidate
		want     int
	}{
		{"a fetch delays the replica", protocol.Production, 30, onMachine("x", slotM, 20, true), []Candidate{onMachine("y", slotM, 20, true)}, 1},
		{"a task that runs delays nothing", protocol.Production, 30, onMachine("x", slotM, 20, true), []Candidate{onMachine("y", slotM, 20, false)}, 0},
		{"another machine's fetch", protocol.Production, 30, onMachine("x", slotM, 20, true), []Candidate{onMachine("y", slotN, 20, true)}, 0},
		{"a fetch of 5 s is not worth it", protocol.Production, 30, onMachine("x", slotM, 20, true), []Candidate{onMachine("y", slotM, 5, true)}, 0},
		{"the image is cached", protocol.Production, 30, onMachine("x", cached, 20, true), []Candidate{onMachine("y", cached, 20, true)}, 0},
		{"the job's own fetch is short", protocol.Production, 5, onMachine("x", slotM, 20, true), []Candidate{onMachine("y", slotM, 20, true)}, 0},
		{"a job below top priority", protocol.Normal, 30, onMachine("x", slotM, 20, true), []Candidate{onMachine("y", slotM, 20, true)}, 0},
		{"top-priority work stays", protocol.Production, 30, onMachine("x", slotM, 20, true), []Candidate{topPriority}, 0},
		{"the same image", protocol.Production, 30, onMachine("x", slotM, 20, true), []Candidate{sameImage}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			top := job("replica", 1, 4, test.priority, func(j *storage.Job) { j.Image, j.ImageGB = image, test.imageGB })
			candidates := append([]Candidate{test.chosen}, test.others...)
			if got := DelayingFetches(top, candidates[:1], candidates); len(got) != test.want {
				t.Errorf("%d delaying fetches, want %d", len(got), test.want)
			}
		})
	}
}
