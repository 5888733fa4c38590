package schedule

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// In a flood the order by latest start made every job a little late, one after the other.
func TestOrderUnderOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	type one struct {
		id    string
		tasks int
		age   float64 // seconds since its submission
		late  bool
	}
	for _, x := range []struct {
		name string
		room float64
		held float64 // of the queue by jobs that have waited far too long
		jobs []one
		want string
	}{
		{"room for all: the oldest first", 100, 0, []one{{"a", 4, 5, false}, {"b", 40, 20, false}, {"c", 2, 10, false}}, "b c a"},
		{"too much for the room: the largest steps behind", 8, 0, []one{{"a", 4, 5, false}, {"b", 40, 20, false}, {"c", 2, 10, false}}, "c a b"},
		{"what has missed all aims steps behind, the small first", 100, 0, []one{{"a", 4, 5, false}, {"b", 9, 90, true}, {"c", 2, 80, true}}, "a c b"},
		{"what can't be in time any more too", 100, 0, []one{{"a", 4, 5, false}, {"b", 9, 49, false}}, "a b"},
		{"the oldest that waited far too long has its turn", 8, 0, []one{{"a", 4, 5, false}, {"b", 40, 900, true}, {"c", 2, 950, true}, {"d", 1, 890, true}}, "c a d b"},
		{"but not when such have their part already", 8, 2, []one{{"a", 4, 5, false}, {"b", 40, 900, true}}, "a b"},
		{"one that never began goes first, with one task", 8, 2, []one{{"a", 4, 5, false}, {"never b", 40, 200, true}, {"c", 2, 300, true}}, "never b a c"},
	} {
		t.Run(x.name, func(t *testing.T) {
			input := &Input{Now: now, Capacity: storage.Usage{Cpus: 1000}, Queues: QueueStates{{Late: x.held, Overloaded: true, Used: x.room}}, Overloaded: true,
				Overdue: func(j *storage.Job) bool { return now.Sub(j.ReadyAt) > 600*time.Second }}
			lates := map[*storage.Job]bool{}
			input.MustBegin = func(j *storage.Job) bool { return strings.HasPrefix(j.ID, "never") }
			input.TimeAllowed = func(j *storage.Job) (time.Duration, bool) { return 60 * time.Second, lates[j] }
			scheduleQueue := &queue{}
			for _, y := range x.jobs {
				j := job(y.id, y.tasks, 1, protocol.Normal)
				j.ReadyAt, j.Estimate, lates[j] = now.Add(-time.Duration(y.age*float64(time.Second))), 10, y.late
				c := &cursor{job: j, left: y.tasks}
				c.aim(input)
				scheduleQueue.jobs = append(scheduleQueue.jobs, c)
			}
			scheduleQueue.order(input)
			var got []string
			for _, c := range scheduleQueue.jobs {
				got = append(got, c.job.ID)
				if input.MustBegin(c.job) && c.left != 1 {
					t.Errorf("%d tasks of %s go first, want 1", c.left, c.job.ID)
				}
			}
			if s := strings.Join(got, " "); s != x.want {
				t.Errorf("order %s, want %s", s, x.want)
			}
		})
	}
}

// A burst that all have time for is no reason for another order.
func TestLoad(t *testing.T) {
	room := Capacity{All: 100, OnDemand: 10, Busy: 5}
	for _, x := range []struct {
		name  string
		waits []WaitingWork
		want  float64
	}{
		{"nothing waits", nil, 0},
		{"all have time", []WaitingWork{{60, 2000, false}, {20, 500, false}}, 0.5},
		{"the later ones have none", []WaitingWork{{30, 1000, false}, {60, 10500, false}}, 2},
		{"the earliest have none, whatever the order of the list", []WaitingWork{{100, 100, false}, {30, 5500, false}}, 2},
		{"one that is late by itself", []WaitingWork{{2, 500, false}, {50, 1500, false}}, 0.5},
		{"but its work counts", []WaitingWork{{2, 9400, false}, {50, 100, false}}, 2},
		{"ordinary machines are short", []WaitingWork{{40, 750, true}}, 2},
		{"spot machines would do", []WaitingWork{{40, 1500, false}}, 0.5},
	} {
		if got := LoadFactor(x.waits, room); math.Abs(got-x.want) > 1e-9 {
			t.Errorf("%s: load %.2f, want %.2f", x.name, got, x.want)
		}
	}
}

// overloadPlayer plays queues of jobs on machines, a pass a second, with true run times.
type overloadPlayer struct {
	r        *rand.Rand
	in       *Input
	slots    []*Slot
	jobs     []*storage.Job
	runs     map[*storage.Job]float64
	ended    map[*storage.Job]float64 // when its last task was done
	running  []runningTask
	baseline map[storage.ClassQueue]float64
	now      float64
	over     bool // the flood is dealt with
}

type runningTask struct {
	job  *storage.Job
	task int
	slot *Slot
	ends float64
}

const playAim = 60.0

func (p *overloadPlayer) submit(lane storage.ClassQueue) {
	j := job(fmt.Sprintf("j%05d", len(p.jobs)), 1+p.r.IntN(9), float64(1+p.r.IntN(3)), protocol.Normal)
	j.Team, j.Class, j.ReadyAt = lane.Team, lane.Class, time.Unix(0, 0).Add(time.Duration(p.now*float64(time.Second)))
	p.runs[j] = 4 * math.Exp(0.8*p.r.NormFloat64()+0.5)
	j.Estimate = p.runs[j] * math.Exp(0.3*p.r.NormFloat64())
	p.jobs = append(p.jobs, j)
}

// second lets a second pass.
func (p *overloadPlayer) second() {
	p.now++
	p.running = slices.DeleteFunc(p.running, func(x runningTask) bool {
		if x.ends > p.now {
			return false
		}
		x.slot.Free.Add(x.job, 1)
		x.job.Done.Set(x.task)
		x.job.PlacedCount--
		if x.job.DoneCount++; x.job.DoneCount == x.job.Tasks {
			x.job.Final = protocol.Done
			p.ended[x.job] = x.ends
		}
		return true
	})
	input := p.in
	input.Now, input.Jobs, input.Slots, input.Records, input.Tasks = time.Unix(0, 0).Add(time.Duration(p.now*float64(time.Second))), input.Jobs[:0], p.slots, 999, 9999
	input.Queues, input.Overloaded, input.Capacity = make(QueueStates, storage.ClassQueueCount(len(input.Teams))), false, storage.Usage{Cpus: 16 * float64(len(p.slots)), Mem: 1e9}
	for _, s := range p.slots {
		*s.Record = GroupCapacity{Free: 100}
	}
	for x, u := range p.baseline {
		*input.Queues.Ensure(x) = QueueState{Baseline: u, Floor: 1.5 * u}
	}
	var waits []WaitingWork
	for _, j := range p.jobs {
		if !j.Open() {
			continue
		}
		input.Jobs = append(input.Jobs, j)
		l := input.Queues.At(storage.ClassQueueOf(j))
		l.Used += float64(j.PlacedCount) * j.Cpus
		l.Open += float64(j.PlacedCount+j.Waiting()) * j.Cpus
		allow, late := input.TimeAllowed(j)
		if w, ok := WaitingWorkOf(input.Now, j, j.Waiting(), allow, late); ok && j.Waiting() > 0 {
			waits = append(waits, w)
		}
	}
	for x, u := range p.baseline {
		l := input.Queues.At(x)
		l.Overloaded = l.Open > 3*u
		input.Overloaded = input.Overloaded || l.Overloaded
	}
	input.Used = make([]storage.Usage, len(input.Teams))
	busy := 0.0
	for _, x := range p.running {
		input.Used[x.job.Team].Add(x.job, 1)
		busy += (x.ends - p.now) * x.job.Cpus
	}
	load := LoadFactor(waits, Capacity{All: input.Capacity.Cpus, OnDemand: input.Capacity.Cpus, Busy: busy / input.Capacity.Cpus})
	input.Overloaded = input.Overloaded && (p.over || load > OverloadFactor)
	p.over = input.Overloaded
	for _, x := range Place(input).Placed { // Place itself counts what it places in the room and the use only
		x.Job.MachineOf[x.Task] = 0
		x.Job.PlacedCount++
		p.running = append(p.running, runningTask{x.Job, x.Task, x.Slot, p.now + 1 + p.runs[x.Job]})
	}
}

// lose takes machines away; what ran on them ends later, as if begun again elsewhere.
func (p *overloadPlayer) lose(n int) {
	for i := range p.running {
		if x := &p.running[i]; slices.Contains(p.slots[:n], x.slot) {
			x.ends += p.runs[x.job]
		}
	}
	p.slots = p.slots[n:]
}

// old are a queue's jobs since a time that are old enough to tell whether they were in time.
func (p *overloadPlayer) old(lane storage.ClassQueue, since float64) (out []*storage.Job) {
	for _, j := range p.jobs {
		if at := float64(j.ReadyAt.Unix()); storage.ClassQueueOf(j) == lane && at >= since && at+playAim <= p.now {
			out = append(out, j)
		}
	}
	return out
}

// inTime is the part of them that were, and how many they are.
func (p *overloadPlayer) inTime(jobs []*storage.Job) (part float64, n int) {
	good := 0
	for _, j := range jobs {
		if end, ok := p.ended[j]; ok && end <= float64(j.ReadyAt.Unix())+playAim {
			good++
		}
	}
	return float64(good) / float64(max(1, len(jobs))), len(jobs)
}

// bound is the part that could have been with all that is known only now: the smallest, as many
// as so much work takes.
func (p *overloadPlayer) bound(jobs []*storage.Job, work float64) float64 {
	size := func(j *storage.Job) float64 { return float64(j.Tasks) * j.Cpus * p.runs[j] }
	slices.SortFunc(jobs, func(a, b *storage.Job) int { return cmp.Compare(size(a), size(b)) })
	n := 0
	for ; n < len(jobs) && work >= size(jobs[n]); n++ {
		work -= size(jobs[n])
	}
	return float64(n) / float64(max(1, len(jobs)))
}

// Random classes of random teams, one of which floods up to twentyfold while up to a third of the
// machines are lost: the others must hardly notice, at every minute, and the flood must have
// a good part of what could be had.
func TestOverloadLeavesOthersInTime(t *testing.T) {
	drawAlike(t, "11", "20")
	worst, least, all, plays := 1.0, 1.0, 0.0, 0
	rapid.Check(t, func(t *rapid.T) {
		scheduleOverloadPlayer := &overloadPlayer{r: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), runs: map[*storage.Job]float64{}, ended: map[*storage.Job]float64{},
			baseline: map[storage.ClassQueue]float64{}}
		teams, machines := rapid.IntRange(1, 3).Draw(t, "teams"), rapid.IntRange(18, 36).Draw(t, "machines")
		factor := rapid.IntRange(4, 20).Draw(t, "factor")
		lost := rapid.IntRange(0, machines/3).Draw(t, "lost")
		scheduleOverloadPlayer.in = &Input{Teams: make([]config.Team, teams), TimeAllowed: func(j *storage.Job) (time.Duration, bool) {
			d := time.Duration(playAim * float64(time.Second))
			if scheduleOverloadPlayer.in.Now.Sub(j.ReadyAt).Seconds()+j.Estimate > playAim {
				return d * 3 / 2, true
			}
			return d, false
		}}
		for i := range machines {
			scheduleOverloadPlayer.slots = append(scheduleOverloadPlayer.slots, slot(fmt.Sprint("m", i), 0, 16))
		}
		var lanes []storage.ClassQueue
		for team := range teams {
			for class := range 1 + scheduleOverloadPlayer.r.IntN(3) {
				lanes = append(lanes, storage.ClassQueue{Team: team, Class: class})
			}
		}
		if len(lanes) == 1 {
			lanes = append(lanes, storage.ClassQueue{Class: 5})
		}
		const each = 5 * 2 * 4 * 2.3 // work of a job on average
		for _, x := range lanes {
			scheduleOverloadPlayer.baseline[x] = 0.5 * 16 * float64(machines-lost) / float64(len(lanes)) * (0.6 + 0.4*scheduleOverloadPlayer.r.Float64())
		}
		hot := lanes[scheduleOverloadPlayer.r.IntN(len(lanes))]
		const begins, ends, over = 60, 240, 300
		for s := range over {
			for _, x := range lanes {
				rate := scheduleOverloadPlayer.baseline[x] / each
				if x == hot && s >= begins && s < ends {
					rate *= float64(factor)
				}
				for rate > scheduleOverloadPlayer.r.Float64() {
					scheduleOverloadPlayer.submit(x)
					rate--
				}
			}
			if s == begins+40 {
				scheduleOverloadPlayer.lose(lost)
			}
			scheduleOverloadPlayer.second()
			if s%60 != 59 || s < 2*playAim {
				continue
			}
			for _, x := range lanes {
				part, n := scheduleOverloadPlayer.inTime(scheduleOverloadPlayer.old(x, begins))
				if x != hot && n >= 10 {
					worst = min(worst, part)
					if part < 0.8 {
						t.Errorf("after %d s: %.2f of %d jobs of %v in time, %v floods", s+1, part, n, x, hot)
					}
				}
			}
		}
		part, _ := scheduleOverloadPlayer.inTime(scheduleOverloadPlayer.old(hot, begins))
		others := 0.0
		for x, u := range scheduleOverloadPlayer.baseline {
			if x != hot {
				others += u
			}
		}
		best := scheduleOverloadPlayer.bound(scheduleOverloadPlayer.old(hot, begins), (16*float64(machines)-others)*(scheduleOverloadPlayer.now-begins))
		least = min(least, part/best)
		all, plays = all+part/best, plays+1
		if part < 0.4*best {
			t.Errorf("%.2f of the flood in time, %.2f could be", part, best)
		}
	})
	t.Logf("worst part of a lane that does not flood: %.3f in time; of the flood's bound: %.3f in the mean, %.3f at least", worst, all/float64(plays), least)
}
