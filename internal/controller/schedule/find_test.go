package schedule

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// placeByLooking places as Place does, with a look at every slot for every task.
func placeByLooking(input *Input) (placed []string, short map[string]int, more bool) {
	short = map[string]int{}
	live := queues(input)
	for len(live) > 0 && len(placed) < input.Tasks {
		best := nextQueue(input, live, make([]int, len(input.Teams)))
		queue := live[best]
		cursor := queue.jobs[0]
		var slot *Slot
		bounded := false
		within := WithinLimit(input.Teams[cursor.job.Team], input.Used[cursor.job.Team], cursor.job, 1)
		if within {
			slot, bounded = choose(input, cursor)
		}
		switch {
		case slot != nil:
			take(input, cursor, slot)
			placed = append(placed, fmt.Sprintf("%s/%d on %s", cursor.job.ID, cursor.next, slot.Machine.Name))
			cursor.left--
			cursor.next = cursor.job.NextWaiting(cursor.next + 1)
		case bounded:
			more, cursor.left = true, 0
		default:
			if within {
				short[cursor.job.ID] = cursor.left
			}
			cursor.left = 0
		}
		if cursor.left == 0 || cursor.next < 0 {
			if queue.jobs = queue.jobs[1:]; len(queue.jobs) == 0 {
				live = slices.Delete(live, best, best+1)
			}
		}
	}
	return placed, short, more || len(live) > 0
}

// drawInput draws a fleet with room, groups, images, kept room and limits, and jobs of all kinds. Drawn
// twice with the same bits it is twice the same.
func drawInput(bits []uint16) *Input {
	at := 0
	draw := func(n int) int {
		at++
		return int(bits[at%len(bits)]+uint16(at*7)) % n
	}
	input := &Input{Now: time.Unix(2000, 0), Records: draw(4), Tasks: 1 + draw(40), OnDemandWeight: float64(draw(3))}
	for range 1 + draw(3) {
		input.Teams = append(input.Teams, config.Team{Cpus: float64(draw(3) * 8), CpusMax: float64(draw(2) * 40)})
		input.Used = append(input.Used, storage.Usage{Cpus: float64(draw(12))})
	}
	var jobs []*storage.Job
	for i := range 1 + draw(14) {
		jobs = append(jobs, job(fmt.Sprintf("j%02d", i), 1+draw(7), float64(1+draw(9)), protocol.Priority(draw(4)), func(j *storage.Job) {
			j.Team, j.Class, j.Spot, j.Zone = draw(len(input.Teams)), draw(3), draw(3) > 0, draw(4)-1
			j.Image, j.ImageGB, j.Estimate = draw(4), float64(1+draw(3)), float64(5+draw(200))
			j.OneZone, j.Spread = draw(8) == 0, draw(8) == 0
			if j.Zone > 2 || draw(2) > 0 {
				j.Zone = -1
			}
			if draw(8) == 0 {
				j.Types = []int{draw(2)}
			}
		}))
	}
	input.Jobs = jobs
	var racks []*GroupCapacity
	for range 1 + draw(5) {
		racks = append(racks, &GroupCapacity{Touched: draw(4) == 0, Free: draw(12)})
	}
	for i := range 1 + draw(20) {
		input.Slots = append(input.Slots, slot(fmt.Sprintf("m%02d", i), draw(3), float64(draw(17)), func(s *Slot) {
			s.Machine.Spot, s.Machine.Type, s.Record = draw(2) > 0, draw(2), racks[draw(len(racks))]
			s.Images, s.FetchingImages, s.FetchDoneS, s.Risk, s.Rank = []int{draw(4)}, []int{draw(4)}, float64(draw(3)), float64(draw(2)), float64(i)/100
			if draw(6) == 0 {
				s.Reservations = []Reservation{{Job: jobs[draw(len(jobs))], Slots: 1 + draw(2)}}
			}
		}))
	}
	input.Overloaded, input.Queues = draw(2) > 0, make(QueueStates, storage.ClassQueueCount(len(input.Teams)))
	for _, j := range jobs {
		if x := storage.ClassQueueOf(j); draw(3) > 0 && input.Queues.At(x) == nil {
			*input.Queues.Ensure(x) = QueueState{Baseline: float64(draw(14)), Floor: float64(draw(20)), Used: float64(draw(20)), Overloaded: draw(2) > 0, LeavesOnDemand: draw(3) == 0}
		}
	}
	input.TimeAllowed = func(j *storage.Job) (time.Duration, bool) {
		n := int(j.Estimate) + len(j.ID) + j.Tasks
		return time.Duration(n%3) * 500 * time.Second, n%7 == 0
	}
	input.Overdue = func(j *storage.Job) bool { return j.Tasks%5 == 0 }
	input.Capacity = storage.Usage{Cpus: 320, Mem: 1280}
	return input
}

// drawAlike has rapid make the same draws every time.
func drawAlike(t *testing.T, seed, checks string) {
	for name, v := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, v); err != nil {
			t.Fatal(err)
		}
	}
}

// The search keeps options from one task to the next; whatever changes in between, it must
// find what a look at every slot would.
func TestPlaceFindsWhatLookingFinds(t *testing.T) {
	drawAlike(t, "7", "100")
	rapid.Check(t, func(t *rapid.T) {
		bits := rapid.SliceOfN(rapid.Uint16(), 16, 400).Draw(t, "bits")
		wantPlaced, wantShort, wantMore := placeByLooking(drawInput(bits))
		res := Place(drawInput(bits))
		var placed []string
		for _, p := range res.Placed {
			placed = append(placed, fmt.Sprintf("%s/%d on %s", p.Job.ID, p.Task, p.Slot.Machine.Name))
		}
		short := map[string]int{}
		for j, n := range res.Short {
			short[j.ID] = n
		}
		if !slices.Equal(placed, wantPlaced) || fmt.Sprint(short) != fmt.Sprint(wantShort) || res.More != wantMore {
			t.Fatalf("placed %v\nshort %v more %v\nwant   %v\nshort %v more %v", placed, short, res.More, wantPlaced, wantShort, wantMore)
		}
	})
}
