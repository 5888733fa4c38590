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
func placeByLooking(in *Input) (placed []string, short map[string]int, more bool) {
	short = map[string]int{}
	live := queues(in)
	for len(live) > 0 && len(placed) < in.Tasks {
		best := nextQueue(in, live, make([]int, len(in.Teams)))
		q := live[best]
		c := q.jobs[0]
		var slot *Slot
		bounded := false
		within := WithinLimit(in.Teams[c.job.Team], in.Used[c.job.Team], c.job, 1)
		if within {
			slot, bounded = choose(in, c)
		}
		switch {
		case slot != nil:
			take(in, c, slot)
			placed = append(placed, fmt.Sprintf("%s/%d on %s", c.job.ID, c.next, slot.Machine.Name))
			c.left--
			c.next = c.job.NextWaiting(c.next + 1)
		case bounded:
			more, c.left = true, 0
		default:
			if within {
				short[c.job.ID] = c.left
			}
			c.left = 0
		}
		if c.left == 0 || c.next < 0 {
			if q.jobs = q.jobs[1:]; len(q.jobs) == 0 {
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
	in := &Input{Now: time.Unix(2000, 0), Records: draw(4), Tasks: 1 + draw(40), OnDemandWeight: float64(draw(3))}
	for range 1 + draw(3) {
		in.Teams = append(in.Teams, config.Team{Cpus: float64(draw(3) * 8), CpusMax: float64(draw(2) * 40)})
		in.Used = append(in.Used, storage.Usage{Cpus: float64(draw(12))})
	}
	var jobs []*storage.Job
	for i := range 1 + draw(14) {
		jobs = append(jobs, job(fmt.Sprintf("j%02d", i), 1+draw(7), float64(1+draw(9)), protocol.Priority(draw(4)), func(j *storage.Job) {
			j.Team, j.Class, j.Spot, j.Zone = draw(len(in.Teams)), draw(3), draw(3) > 0, draw(4)-1
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
	in.Jobs = jobs
	var racks []*GroupCapacity
	for range 1 + draw(5) {
		racks = append(racks, &GroupCapacity{Touched: draw(4) == 0, Free: draw(12)})
	}
	for i := range 1 + draw(20) {
		in.Slots = append(in.Slots, slot(fmt.Sprintf("m%02d", i), draw(3), float64(draw(17)), func(s *Slot) {
			s.Machine.Spot, s.Machine.Type, s.Record = draw(2) > 0, draw(2), racks[draw(len(racks))]
			s.Images, s.FetchingImages, s.FetchDoneS, s.Risk, s.Rank = []int{draw(4)}, []int{draw(4)}, float64(draw(3)), float64(draw(2)), float64(i)/100
			if draw(6) == 0 {
				s.Reservations = []Reservation{{Job: jobs[draw(len(jobs))], Slots: 1 + draw(2)}}
			}
		}))
	}
	in.Overloaded, in.Queues = draw(2) > 0, make(QueueStates, storage.ClassQueueCount(len(in.Teams)))
	for _, j := range jobs {
		if x := storage.ClassQueueOf(j); draw(3) > 0 && in.Queues.At(x) == nil {
			*in.Queues.Ensure(x) = QueueState{Baseline: float64(draw(14)), Floor: float64(draw(20)), Used: float64(draw(20)), Overloaded: draw(2) > 0, LeavesOnDemand: draw(3) == 0}
		}
	}
	in.TimeAllowed = func(j *storage.Job) (time.Duration, bool) {
		n := int(j.Estimate) + len(j.ID) + j.Tasks
		return time.Duration(n%3) * 500 * time.Second, n%7 == 0
	}
	in.Overdue = func(j *storage.Job) bool { return j.Tasks%5 == 0 }
	in.Capacity = storage.Usage{Cpus: 320, Mem: 1280}
	return in
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
