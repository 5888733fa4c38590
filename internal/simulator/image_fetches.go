package simulator

import (
	"fmt"
	"slices"
	"time"

	"dykeledge/internal/protocol"
)

// This file simulates the images on the machines. A machine fetches one image after another, since fetches share its
// rate, and gives a fetch up when no task waits for it any more.

// imageFetch is an image that a machine fetches or will fetch.
type imageFetch struct {
	image     string
	begins    time.Time
	ends      time.Time
	fetchTime time.Duration
}

// imageStore holds the images of a machine.
type imageStore struct {
	images  map[string]time.Time // by name: when the fetch of the image ended or will end
	fetches []imageFetch         // in their order, each beginning when the previous one ends; finished ones are removed lazily
}

func newImageStore() imageStore { return imageStore{images: map[string]time.Time{}} }

// dropFinished removes the fetches that have ended.
func (s *imageStore) dropFinished(now time.Time) {
	s.fetches = slices.DeleteFunc(s.fetches, func(fetch imageFetch) bool { return !fetch.ends.After(now) })
}

// queue adds the fetch of an image, which begins when the others have ended, and returns when it ends.
func (s *imageStore) queue(image string, fetchTime time.Duration, now time.Time) time.Time {
	s.dropFinished(now)
	begins := now
	if last := len(s.fetches) - 1; last >= 0 {
		begins = s.fetches[last].ends
	}
	fetch := imageFetch{image: image, begins: begins, ends: begins.Add(fetchTime), fetchTime: fetchTime}
	s.fetches = append(s.fetches, fetch)
	s.images[image] = fetch.ends
	return fetch.ends
}

// giveUp removes the unfinished fetches of images that are not needed, and lets the others begin sooner. It reports
// whether it removed any.
func (s *imageStore) giveUp(needed func(image string) bool, now time.Time) bool {
	s.dropFinished(now)
	before := len(s.fetches)
	s.fetches = slices.DeleteFunc(s.fetches, func(fetch imageFetch) bool {
		if needed(fetch.image) {
			return false
		}
		delete(s.images, fetch.image)
		return true
	})
	if len(s.fetches) == before {
		return false
	}
	earliest := now
	for i := range s.fetches {
		fetch := &s.fetches[i]
		if fetch.begins.After(now) { // a fetch in progress keeps its times
			fetch.begins = earliest
			fetch.ends = earliest.Add(fetch.fetchTime)
			s.images[fetch.image] = fetch.ends
		}
		earliest = fetch.ends
	}
	return true
}

// startFetch returns when a job's image is on a machine, and starts to fetch it if necessary. If the cache is full, the
// image that was fetched first among those that no task needs is removed.
func (sim *Simulation) startFetch(machine *Machine, job *Job) time.Time {
	name := job.imageName()
	if at, ok := machine.images[name]; ok {
		return at
	}
	fetchTime := time.Duration(0)
	if machine.machineType.FetchGBs > 0 {
		fetchTime = sim.scaledTime(seconds(job.specNumber("pullGb") / machine.machineType.FetchGBs))
	}
	if len(machine.images) >= max(1, int(machine.machineType.CacheGB/max(0.1, job.specNumber("pullGb")))) {
		delete(machine.images, machine.oldestUnusedImage())
	}
	ends := machine.queue(name, fetchTime, time.Now())
	sim.events.add(event{kind: imageQueued, job: job.ID, task: allTasks, machine: machine.Name,
		state: fmt.Sprintf("%s, fetched at %.1f s", name, ends.Sub(sim.StartTime).Seconds())})
	return ends
}

// giveUpFetches gives up the fetches on a machine that no task waits for any more, and moves the starts of the tasks
// that wait for other images forward.
func (sim *Simulation) giveUpFetches(machine *Machine) {
	waits := func(image string) bool {
		return slices.ContainsFunc(machine.tasks, func(t *taskAttempt) bool {
			return t.state == protocol.TaskFetching && t.job.imageName() == image
		})
	}
	if !machine.giveUp(waits, time.Now()) {
		return
	}
	for _, t := range machine.tasks {
		if t.state == protocol.TaskFetching {
			t.stateEnds = machine.images[t.job.imageName()]
		}
	}
}

// oldestUnusedImage returns the first fetched image among those that no task needs, or "" if there is none.
func (m *Machine) oldestUnusedImage() (oldest string) {
	for name, at := range m.images {
		needed := slices.ContainsFunc(m.tasks, func(t *taskAttempt) bool {
			return t.state != protocol.TaskExited && t.job.imageName() == name
		})
		if !needed && (oldest == "" || at.Before(m.images[oldest])) {
			oldest = name
		}
	}
	return oldest
}

// imageName returns the name of the image that the job's tasks need.
func (j *Job) imageName() string {
	name, _ := j.Spec["kit"].(string)
	return name
}
