package storage

import "github.com/tidwall/btree"

// changeFeed collects the jobs, machines and victim sets that have changed, each once, for consumers
// that publish the cache's contents. A disabled feed collects nothing.
type changeFeed struct {
	enabled    bool
	jobs       []*Job
	machines   []*Machine
	victimSets map[string]bool // by the id of the job
}

func (f *changeFeed) enable() { f.enabled, f.victimSets = true, map[string]bool{} }

func (f *changeFeed) addJob(job *Job) {
	if f.enabled && !job.inChangeFeed {
		job.inChangeFeed = true
		f.jobs = append(f.jobs, job)
	}
}

func (f *changeFeed) addMachine(machine *Machine) {
	if f.enabled && !machine.inChangeFeed {
		machine.inChangeFeed = true
		f.machines = append(f.machines, machine)
	}
}

// addMachines adds all machines in a tree.
func (f *changeFeed) addMachines(machines *btree.BTreeG[*Machine]) {
	if !f.enabled {
		return
	}
	machines.Scan(func(machine *Machine) bool {
		f.addMachine(machine)
		return true
	})
}

func (f *changeFeed) addVictimSet(job string) {
	if f.enabled {
		f.victimSets[job] = true
	}
}

func (f *changeFeed) pendingCount() int { return len(f.jobs) + len(f.machines) }

func (f *changeFeed) takeJobs(limit int) (jobs []*Job) {
	jobs, f.jobs = splitAt(f.jobs, limit)
	for _, job := range jobs {
		job.inChangeFeed = false
	}
	return jobs
}

func (f *changeFeed) takeMachines(limit int) (machines []*Machine) {
	machines, f.machines = splitAt(f.machines, limit)
	for _, machine := range machines {
		machine.inChangeFeed = false
	}
	return machines
}

func (f *changeFeed) takeVictimSets() (ids []string) {
	for id := range f.victimSets {
		ids = append(ids, id)
	}
	clear(f.victimSets)
	return ids
}

// splitAt splits a list after at most limit entries.
func splitAt[T any](list []T, limit int) (head, rest []T) {
	if len(list) <= limit {
		return list, nil
	}
	return list[:limit:limit], list[limit:]
}

// EnableChangeFeed starts collecting changes for TakeFeedChanges. It must be called before the first
// record is applied.
func (c *Cache) EnableChangeFeed() { c.feed.enable() }

// TakeFeedChanges removes and returns up to limit changed jobs, up to limit changed machines, and the job
// ids of all changed victim sets; more reports whether changed jobs or machines are left. A pruned
// job is returned one last time, with its final state.
func (c *Cache) TakeFeedChanges(limit int) (jobs []*Job, machines []*Machine, victimSets []string, more bool) {
	jobs = c.feed.takeJobs(limit)
	machines = c.feed.takeMachines(limit)
	victimSets = c.feed.takeVictimSets()
	return jobs, machines, victimSets, c.feed.pendingCount() > 0
}

// PendingChanges returns the number of changed jobs and machines that TakeFeedChanges has not returned.
func (c *Cache) PendingChanges() int { return c.feed.pendingCount() }
