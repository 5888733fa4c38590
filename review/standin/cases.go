//go:build review

package main

import (
	"fmt"
	"math/rand"
	"sort"
	"strings"
	"sync"
	"time"
)

const team = "gulf-paria-data" // the second team: its part of the work is number 1

// submitAll submits jobs through all controllers, a few at a time.
func (p *platform) submitAll(jobs []*job, atOnce int) error {
	var group sync.WaitGroup
	errs := make(chan error, len(jobs))
	work := make(chan *job)
	for i := range atOnce {
		group.Go(func() {
			for j := range work {
				if err := p.submit(p.nodes[i%len(p.nodes)], j); err != nil {
					errs <- err
				}
			}
		})
	}
	for _, j := range jobs {
		work <- j
	}
	close(work)
	group.Wait()
	close(errs)
	return <-errs
}

// caseOne: a controller ends and is back at once while a job with a long list of awaited jobs is cancelled.
func caseOne(rec *record, program string, trouble bool) (*platform, error) {
	p, err := begin(rec, program, caroni())
	if err != nil {
		return p, err
	}
	time.Sleep(3 * time.Second)
	awaits, err := p.awaitedJobs()
	if err != nil {
		return p, err
	}
	other := &job{ID: "job-000002", Class: "hourly-swell-ingest", Crew: team, Shape: "batch", Urgency: "normal", Shards: 7, CPUs: 5, RAMGb: 8,
		Kit: "img-ingest", PullGb: 0.1, ExpectedS: 100, run: 100 * time.Second}
	long := &job{ID: "job-000001", Class: "advisory-publish", Crew: team, Shape: "batch", Urgency: "normal", Shards: 1, CPUs: 1, RAMGb: 2,
		Kit: "img-publish", PullGb: 0.1, ExpectedS: 100, run: 100 * time.Second, Awaits: awaits}
	for _, j := range []*job{other, long} {
		if err := p.submitAll([]*job{j}, 1); err != nil {
			return p, err
		}
		if err := p.awaitRunning(j, 20*time.Second); err != nil {
			return p, err
		}
	}
	time.Sleep(3 * time.Second)
	rec.say("%s runs on %v, %s on %v", long.ID, p.where(long.ID), other.ID, p.where(other.ID))
	owner, ok := p.owner(1)
	if !ok {
		return p, fmt.Errorf("no owner")
	}
	var others []*node
	for _, n := range p.nodes {
		if n != owner {
			others = append(others, n)
		}
	}
	if trouble {
		p.kill(owner)
	}
	if err := p.cancel(others, long.ID, 10*time.Second); err != nil {
		return p, err
	}
	if trouble {
		time.Sleep(300 * time.Millisecond)
		rec.say("%s is started again", owner.name)
		if err := p.startNode(owner); err != nil {
			return p, err
		}
	}
	for range 60 {
		time.Sleep(250 * time.Millisecond)
		p.checkCancelled()
	}
	return p, nil
}

// awaitRunning waits until all tasks of a job run.
func (p *platform) awaitRunning(j *job, within time.Duration) error {
	for deadline := time.Now().Add(within); total(p.where(j.ID)) < j.Shards; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not run: %v", j.ID, p.where(j.ID))
		}
	}
	return nil
}

func total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// awaitedJobs has 300 short jobs done, and returns their ids: a job that awaits all of them has a description of more
// than 2 KiB.
func (p *platform) awaitedJobs() ([]string, error) {
	ids := rand.New(rand.NewSource(7)).Perm(900_000)
	var steps []*job
	var awaits []string
	for i := range 300 {
		id := fmt.Sprintf("job-%06d", 100_000+ids[i])
		awaits = append(awaits, id)
		steps = append(steps, &job{ID: id, Class: "quiet-convert", Crew: team, Shape: "batch", Urgency: "normal", Shards: 1, CPUs: 0.5, RAMGb: 0.5,
			Kit: "img-step", PullGb: 0.1, ExpectedS: 1, run: 300 * time.Millisecond})
	}
	if err := p.submitAll(steps, 12); err != nil {
		return nil, err
	}
	p.rec.say("300 short jobs accepted")
	for i, id := range awaits {
		if err := p.await(id, "done", 40*time.Second); err != nil {
			return nil, fmt.Errorf("step %d: %w", i, err)
		}
	}
	p.rec.say("300 short jobs done")
	return awaits, nil
}

// caseTwo: some responses of the state service take a few hundred milliseconds while jobs with a long list of awaited
// jobs are cancelled as soon as they are accepted.
func caseTwo(rec *record, program string, trouble bool) (*platform, error) {
	p, err := begin(rec, program, caroni())
	if err != nil {
		return p, err
	}
	time.Sleep(500 * time.Millisecond)
	awaits, err := p.awaitedJobs()
	if err != nil {
		return p, err
	}
	if trouble {
		p.state.setSlow(0.05, 200*time.Millisecond)
		rec.say("from now on 5 of 100 responses of the state service take 200 ms")
	}
	// The user's connection leads to one controller. Which one is drawn in a real deployment; the fault needs the
	// one that owns the team's part of the work.
	n, ok := p.owner(1)
	if !ok {
		return p, fmt.Errorf("no owner")
	}
	const count = 60
	var group sync.WaitGroup
	var others []*job
	for i := range count {
		long := &job{ID: fmt.Sprintf("job-%06d", 1000+i), Class: "advisory-publish", Crew: team, Shape: "batch", Urgency: "high", Shards: 2, CPUs: 1, RAMGb: 3.2,
			Kit: "img-publish", PullGb: 0.1, ExpectedS: 8, run: 8 * time.Second, Awaits: awaits}
		other := &job{ID: fmt.Sprintf("job-%06d", 2000+i), Class: "hourly-swell-ingest", Crew: team, Shape: "batch", Urgency: "normal", Shards: 2, CPUs: 1, RAMGb: 4,
			Kit: "img-ingest", PullGb: 0.1, ExpectedS: 2, run: 2 * time.Second}
		group.Go(func() {
			if p.submit(n, long) == nil {
				if trouble {
					time.Sleep(time.Duration(10+rand.Intn(40)) * time.Millisecond)
				} else {
					time.Sleep(1500 * time.Millisecond)
				}
				_ = p.cancel([]*node{n}, long.ID, 10*time.Second)
			}
		})
		if i%5 == 0 {
			others = append(others, other)
			group.Go(func() { _ = p.submit(p.nodes[i/5%3], other) })
		}
		time.Sleep(150 * time.Millisecond)
	}
	group.Wait()
	p.state.setSlow(0, 0)
	over := time.Now()
	rec.say("%d jobs were cancelled; the state service answers as usual again", count)
	others = append(others, &job{ID: "job-003000", Class: "hourly-swell-ingest", Crew: team, Shape: "batch", Urgency: "normal", Shards: 12, CPUs: 1, RAMGb: 4,
		Kit: "img-ingest", PullGb: 0.1, ExpectedS: 2, run: 2 * time.Second})
	if err := p.submit(p.nodes[0], others[len(others)-1]); err != nil {
		return p, err
	}
	for {
		waiting, last := p.notBegun(others), ""
		if len(waiting) == 0 {
			rec.say("all other jobs have begun, %.1f s later", time.Since(over).Seconds())
			return p, p.await("job-003000", "done", 15*time.Second)
		}
		if time.Since(over) > 90500*time.Millisecond {
			if p.idleMachines() == 0 {
				return p, fmt.Errorf("%d jobs wait, and no machine is empty", len(waiting))
			}
			last = waiting[len(waiting)-1]
			status, done, running := p.poll(p.nodes[0], last)
			p.mu.Lock()
			p.breakRule("left waiting: %d jobs have waited for %.0f s and more since the trouble was over, among them %s, submitted after it (%s, done %d, running %d); the team has no limit",
				len(waiting), time.Since(over).Seconds(), last, status, done, running)
			p.mu.Unlock()
			rec.say("machines that are up, with their tasks: %s", p.machinesNow())
			return p, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// notBegun lists the jobs of which no task has ever started.
func (p *platform) notBegun(jobs []*job) (ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range jobs {
		if p.starts[j.ID] == 0 {
			ids = append(ids, j.ID)
		}
	}
	return ids
}

// idleMachines returns the number of machines that are up and have no task.
func (p *platform) idleMachines() int {
	p.cloud.mu.Lock()
	defer p.cloud.mu.Unlock()
	idle := 0
	for _, m := range p.cloud.machines {
		m.mu.Lock()
		if m.gone.IsZero() && m.upAt.Before(time.Now()) && len(m.tasks) == 0 {
			idle++
		}
		m.mu.Unlock()
	}
	return idle
}

// machinesNow lists the machines that are up, with the number of tasks on each.
func (p *platform) machinesNow() string {
	p.cloud.mu.Lock()
	defer p.cloud.mu.Unlock()
	var rows []string
	for _, m := range p.cloud.machines {
		if m.gone.IsZero() && m.upAt.Before(time.Now()) {
			m.mu.Lock()
			rows = append(rows, fmt.Sprintf("%s %d", m.name, len(m.tasks)))
			m.mu.Unlock()
		}
	}
	sort.Strings(rows)
	return strings.Join(rows, ", ")
}

// caseThree: in an outage of the state service all controllers end twice; a job is cancelled just before.
func caseThree(rec *record, program string, trouble bool) (*platform, error) {
	p, err := begin(rec, program, alpenhub())
	if err != nil {
		return p, err
	}
	time.Sleep(2 * time.Second)
	long := &job{ID: "job-000001", Class: "stepscan", Crew: "service-ost", Shape: "batch", Urgency: "normal", Shards: 12, CPUs: 4, RAMGb: 13,
		Kit: "img-steps", PullGb: 0.5, ExpectedS: 60, run: 200 * time.Second}
	if err := p.submit(p.nodes[0], long); err != nil {
		return p, err
	}
	if err := p.awaitRunning(long, 20*time.Second); err != nil {
		return p, err
	}
	time.Sleep(3 * time.Second)
	rec.say("%s runs on %v", long.ID, p.where(long.ID))
	owner, ok := p.owner(1)
	if !ok {
		return p, fmt.Errorf("no owner")
	}
	var others []*node
	for _, n := range p.nodes {
		if n != owner {
			others = append(others, n)
		}
	}
	if trouble {
		p.kill(owner) // the first of the three to end; the other two follow right after the cancellation
	}
	if err := p.cancel(others, long.ID, 10*time.Second); err != nil {
		return p, err
	}
	told := time.Now()
	endAll := func() error {
		for _, n := range p.nodes {
			_ = n.cmd.Process.Kill()
		}
		rec.say("all controllers end")
		for _, n := range p.nodes {
			<-n.exited
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range p.nodes {
			if err := p.startNode(n); err != nil {
				return err
			}
		}
		return nil
	}
	if trouble {
		p.state.setDown(true)
		if err := endAll(); err != nil {
			return p, err
		}
		rec.say("the state service is down; the controllers are back")
		time.Sleep(time.Until(told.Add(17500 * time.Millisecond)))
		rec.say("%s runs on %v", long.ID, p.where(long.ID))
		if err := endAll(); err != nil {
			return p, err
		}
	}
	for time.Since(told) < 52*time.Second {
		time.Sleep(100 * time.Millisecond)
		p.checkCancelled()
	}
	p.state.setDown(false)
	rec.say("the state service is up again")
	return p, p.await(long.ID, "cancelled", 20*time.Second)
}
