//go:build review

package main

import (
	"fmt"
	"math/rand"
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
		return p, err
	}
	rec.say("300 short jobs accepted")
	for i, id := range awaits {
		if err := p.await(id, "done", 40*time.Second); err != nil {
			return p, fmt.Errorf("step %d: %w", i, err)
		}
	}
	rec.say("300 short jobs done")
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

// caseTwo is not used yet.
func caseTwo(_ *record, _ string, _ bool) (*platform, error) { return nil, fmt.Errorf("not written") }
