package schedule

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dykeledge/internal/config"
	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// overloadSimulator runs class queues of jobs on machines, with one pass per second and true run times.
type overloadSimulator struct {
	random     *rand.Rand
	input      *Input
	slots      []*Slot
	jobs       []*storage.Job
	runTimes   map[*storage.Job]float64 // true run time of a task, in seconds
	ended      map[*storage.Job]float64 // when its last task ended, in seconds
	running    []runningTask
	baseline   map[storage.ClassQueue]float64 // CPUs
	now        float64                        // seconds
	overloaded bool                           // the last pass had an overload
}

type runningTask struct {
	job  *storage.Job
	task int
	slot *Slot
	ends float64
}

const (
	timeAllowedS            = 60.0            // seconds from submission in which jobs should be done
	machineCpus             = 16              // of each machine
	meanWorkCPUSeconds      = 5 * 2 * 4 * 2.3 // per job: mean tasks, CPUs and seconds, and the spread of run times
	overloadStartS          = 60              // seconds
	overloadEndS            = 240             // seconds
	simulationEndS          = 300             // seconds
	machinesLostAtS         = overloadStartS + 40
	checkIntervalS          = 60               // seconds
	firstCheckS             = 2 * timeAllowedS // seconds
	minJobsChecked          = 10               // fewer jobs are not checked
	minOthersInTimeFraction = 0.8              // of the jobs of each class queue that is not overloaded
	minFractionOfBound      = 0.4              // of the overloaded class queue's jobs that could be in time
)

func (s *overloadSimulator) submit(queue storage.ClassQueue) {
	j := job(fmt.Sprintf("j%05d", len(s.jobs)), 1+s.random.IntN(9), float64(1+s.random.IntN(3)), protocol.Normal)
	j.Team = queue.Team
	j.Class = queue.Class
	j.ReadyAt = s.time()
	s.runTimes[j] = 4 * math.Exp(0.8*s.random.NormFloat64()+0.5)
	j.Estimate = s.runTimes[j] * math.Exp(0.3*s.random.NormFloat64())
	s.jobs = append(s.jobs, j)
}

// time returns the simulated time.
func (s *overloadSimulator) time() time.Time {
	return time.Unix(0, 0).Add(time.Duration(s.now * float64(time.Second)))
}

// step simulates one second: tasks end, and a pass places others.
func (s *overloadSimulator) step() {
	s.now++
	s.endTasks()
	s.prepareInput()
	waits := s.addOpenJobs()
	s.detectOverload(waits)
	for _, placement := range Place(s.input).Placed { // Place itself updates only Slots and Used
		placement.Job.MachineOf[placement.Task] = 0
		placement.Job.PlacedCount++
		s.running = append(s.running, runningTask{placement.Job, placement.Task, placement.Slot, s.now + 1 + s.runTimes[placement.Job]})
	}
}

func (s *overloadSimulator) endTasks() {
	s.running = slices.DeleteFunc(s.running, func(task runningTask) bool {
		if task.ends > s.now {
			return false
		}
		task.slot.Free.Add(task.job, 1)
		task.job.Done.Set(task.task)
		task.job.PlacedCount--
		task.job.DoneCount++
		if task.job.DoneCount == task.job.Tasks {
			task.job.Final = protocol.Done
			s.ended[task.job] = task.ends
		}
		return true
	})
}

// prepareInput resets the input of the next pass.
func (s *overloadSimulator) prepareInput() {
	input := s.input
	input.Now = s.time()
	input.Jobs = input.Jobs[:0]
	input.Slots = s.slots
	input.RecordBudget = 999
	input.Tasks = 9999
	input.Queues = make(QueueStates, storage.ClassQueueCount(len(input.Teams)))
	input.Overloaded = false
	input.Capacity = storage.Usage{Cpus: machineCpus * float64(len(s.slots)), Mem: 1e9}
	for _, slot := range s.slots {
		*slot.Record = GroupCapacity{Free: 100}
	}
	for queue, cpus := range s.baseline {
		*input.Queues.Ensure(queue) = QueueState{Baseline: cpus, Floor: 1.5 * cpus}
	}
	input.Used = make([]storage.Usage, len(input.Teams))
	for _, task := range s.running {
		input.Used[task.job.Team].Add(task.job, 1)
	}
}

// addOpenJobs adds the open jobs to the input and returns their waiting work.
func (s *overloadSimulator) addOpenJobs() []WaitingWork {
	input := s.input
	var waits []WaitingWork
	for _, j := range s.jobs {
		if !j.Open() {
			continue
		}
		input.Jobs = append(input.Jobs, j)
		state := input.Queues.At(storage.ClassQueueOf(j))
		state.Used += float64(j.PlacedCount) * j.Cpus
		state.Open += float64(j.PlacedCount+j.Waiting()) * j.Cpus
		allowed, late := input.TimeAllowed(j)
		if waiting, ok := WaitingWorkOf(input.Now, j, j.Waiting(), allowed, late); ok && j.Waiting() > 0 {
			waits = append(waits, waiting)
		}
	}
	return waits
}

// detectOverload marks overloaded class queues in the input, as the controller does.
func (s *overloadSimulator) detectOverload(waits []WaitingWork) {
	input := s.input
	for queue, cpus := range s.baseline {
		state := input.Queues.At(queue)
		state.Overloaded = state.Open > 3*cpus
		input.Overloaded = input.Overloaded || state.Overloaded
	}
	busy := 0.0
	for _, task := range s.running {
		busy += (task.ends - s.now) * task.job.Cpus
	}
	load := LoadFactor(waits, Capacity{All: input.Capacity.Cpus, OnDemand: input.Capacity.Cpus, BusyS: busy / input.Capacity.Cpus})
	input.Overloaded = input.Overloaded && (s.overloaded || load > OverloadFactor)
	s.overloaded = input.Overloaded
}

// loseMachines removes machines; their tasks end later, as if started again elsewhere.
func (s *overloadSimulator) loseMachines(n int) {
	for i := range s.running {
		if task := &s.running[i]; slices.Contains(s.slots[:n], task.slot) {
			task.ends += s.runTimes[task.job]
		}
	}
	s.slots = s.slots[n:]
}

// decidedJobs returns a queue's jobs that were submitted since a time and whose allowed time has ended.
func (s *overloadSimulator) decidedJobs(queue storage.ClassQueue, since float64) []*storage.Job {
	var decidedJobs []*storage.Job
	for _, j := range s.jobs {
		if at := float64(j.ReadyAt.Unix()); storage.ClassQueueOf(j) == queue && at >= since && at+timeAllowedS <= s.now {
			decidedJobs = append(decidedJobs, j)
		}
	}
	return decidedJobs
}

// inTimeFraction returns the fraction of the jobs that were in time, and the number of jobs.
func (s *overloadSimulator) inTimeFraction(jobs []*storage.Job) (fraction float64, n int) {
	inTime := 0
	for _, j := range jobs {
		if end, ok := s.ended[j]; ok && end <= float64(j.ReadyAt.Unix())+timeAllowedS {
			inTime++
		}
	}
	return float64(inTime) / float64(max(1, len(jobs))), len(jobs)
}

// inTimeUpperBound returns an upper bound of the fraction of the jobs that could have been in time with
// knowledge of all run times: the smallest jobs whose total work does not exceed work.
func (s *overloadSimulator) inTimeUpperBound(jobs []*storage.Job, work float64) float64 {
	size := func(j *storage.Job) float64 { return float64(j.Tasks) * j.Cpus * s.runTimes[j] }
	slices.SortFunc(jobs, func(a, b *storage.Job) int { return cmp.Compare(size(a), size(b)) })
	n := 0
	for ; n < len(jobs) && work >= size(jobs[n]); n++ {
		work -= size(jobs[n])
	}
	return float64(n) / float64(max(1, len(jobs)))
}

// submitArrivals submits the jobs that arrive in a second: each class queue's baseline, and factor times the
// baseline for the overloaded one.
func (s *overloadSimulator) submitArrivals(queues []storage.ClassQueue, overloaded storage.ClassQueue, factor float64) {
	for _, queue := range queues {
		rate := s.baseline[queue] / meanWorkCPUSeconds
		if queue == overloaded {
			rate *= factor
		}
		for rate > s.random.Float64() {
			s.submit(queue)
			rate--
		}
	}
}

// newOverloadSimulator returns a simulator with the given numbers of teams and machines.
func newOverloadSimulator(seed uint64, teams, machines int) *overloadSimulator {
	s := &overloadSimulator{
		random:   rand.New(rand.NewPCG(seed, 1)),
		runTimes: map[*storage.Job]float64{},
		ended:    map[*storage.Job]float64{},
		baseline: map[storage.ClassQueue]float64{},
	}
	s.input = &Input{Teams: make([]config.Team, teams), TimeAllowed: func(j *storage.Job) (time.Duration, bool) {
		allowed := time.Duration(timeAllowedS * float64(time.Second))
		if s.input.Now.Sub(j.ReadyAt).Seconds()+j.Estimate > timeAllowedS {
			return allowed * 3 / 2, true
		}
		return allowed, false
	}}
	for i := range machines {
		s.slots = append(s.slots, slot(fmt.Sprint("m", i), 0, machineCpus))
	}
	return s
}

// drawQueues draws the classes of each team, at least two in all, and their baselines, which together keep at
// most half of the CPUs busy.
func (s *overloadSimulator) drawQueues(cpus float64) []storage.ClassQueue {
	var queues []storage.ClassQueue
	for team := range s.input.Teams {
		for class := range 1 + s.random.IntN(3) {
			queues = append(queues, storage.ClassQueue{Team: team, Class: class})
		}
	}
	if len(queues) == 1 {
		queues = append(queues, storage.ClassQueue{Class: 5})
	}
	for _, queue := range queues {
		s.baseline[queue] = 0.5 * cpus / float64(len(queues)) * (0.6 + 0.4*s.random.Float64())
	}
	return queues
}

// Random classes of random teams; one class is overloaded up to twentyfold while up to a third of the machines
// are lost. At every check, the other classes must complete at least minOthersInTimeFraction of their jobs in
// time; the overloaded class must reach minFractionOfBound of the jobs that could be in time.
func TestOverloadLeavesOthersInTime(t *testing.T) {
	fixRapidSeed(t, "11", "20")
	minOthersFraction, minBoundFraction, sumBoundFractions, runs := 1.0, 1.0, 0.0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		teams := rapid.IntRange(1, 3).Draw(t, "teams")
		machines := rapid.IntRange(18, 36).Draw(t, "machines")
		factor := rapid.IntRange(4, 20).Draw(t, "factor")
		lostMachines := rapid.IntRange(0, machines/3).Draw(t, "lost")
		simulator := newOverloadSimulator(seed, teams, machines)
		queues := simulator.drawQueues(machineCpus * float64(machines-lostMachines))
		overloaded := queues[simulator.random.IntN(len(queues))]
		for second := range simulationEndS {
			currentFactor := 1.0
			if second >= overloadStartS && second < overloadEndS {
				currentFactor = float64(factor)
			}
			simulator.submitArrivals(queues, overloaded, currentFactor)
			if second == machinesLostAtS {
				simulator.loseMachines(lostMachines)
			}
			simulator.step()
			if (second+1)%checkIntervalS != 0 || second < firstCheckS {
				continue
			}
			for _, queue := range queues {
				fraction, n := simulator.inTimeFraction(simulator.decidedJobs(queue, overloadStartS))
				if queue == overloaded || n < minJobsChecked {
					continue
				}
				minOthersFraction = min(minOthersFraction, fraction)
				if fraction < minOthersInTimeFraction {
					t.Errorf("after %d s: %.2f of %d jobs of %v in time, %v is overloaded", second+1, fraction, n, queue, overloaded)
				}
			}
		}
		fraction, _ := simulator.inTimeFraction(simulator.decidedJobs(overloaded, overloadStartS))
		others := 0.0
		for queue, cpus := range simulator.baseline {
			if queue != overloaded {
				others += cpus
			}
		}
		capacity := machineCpus*float64(machines) - others
		upperBound := simulator.inTimeUpperBound(simulator.decidedJobs(overloaded, overloadStartS), capacity*(simulator.now-overloadStartS))
		minBoundFraction = min(minBoundFraction, fraction/upperBound)
		sumBoundFractions += fraction / upperBound
		runs++
		if fraction < minFractionOfBound*upperBound {
			t.Errorf("%.2f of the overloaded class queue's jobs in time, %.2f could be", fraction, upperBound)
		}
	})
	t.Logf("lowest fraction in time of a class queue that is not overloaded: %.3f; the overloaded one reached %.3f of its bound on average, %.3f at least", minOthersFraction, sumBoundFractions/float64(runs), minBoundFraction)
}
