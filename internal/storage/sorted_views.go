package storage

import "github.com/tidwall/btree"

// btreeDegree is how many children a node of the sorted views' trees has at least.
const btreeDegree = 16

// sortedViews keeps jobs and machines in the order of their names, so that a page of a list costs
// as much as it shows and not as much as there is.
type sortedViews struct {
	jobs     *btree.BTreeG[*Job]
	byTeam   []*btree.BTreeG[*Job]
	machines *btree.BTreeG[*Machine]
}

func newSortedViews(teams int) *sortedViews {
	// The cache is used by one goroutine at a time.
	options := btree.Options{NoLocks: true, Degree: btreeDegree}
	newJobs := func() *btree.BTreeG[*Job] {
		return btree.NewBTreeGOptions(func(a, b *Job) bool { return a.ID < b.ID }, options)
	}
	views := &sortedViews{
		jobs:     newJobs(),
		machines: btree.NewBTreeGOptions(func(a, b *Machine) bool { return a.Name < b.Name }, options),
	}
	for range teams {
		views.byTeam = append(views.byTeam, newJobs())
	}
	return views
}

func (v *sortedViews) addJob(job *Job) {
	v.jobs.Set(job)
	v.byTeam[job.Team].Set(job)
}

func (v *sortedViews) removeJob(job *Job) {
	v.jobs.Delete(job)
	v.byTeam[job.Team].Delete(job)
}

func (v *sortedViews) addMachine(machine *Machine) { v.machines.Set(machine) }

func (v *sortedViews) removeMachine(machine *Machine) { v.machines.Delete(machine) }

// JobsAfter shows the jobs that are not forgotten, in the order of their ids, beginning after
// one, until yield returns false; of one team only, unless team is below 0.
func (c *Cache) JobsAfter(team int, id string, yield func(*Job) bool) {
	tree := c.sorted.jobs
	if team >= 0 {
		tree = c.sorted.byTeam[team]
	}
	tree.Ascend(&Job{ID: id}, func(job *Job) bool { return job.ID == id || yield(job) })
}

// MachineCount is how many machines there are; the cache keeps the names of all that there were.
func (c *Cache) MachineCount() int { return c.sorted.machines.Len() }

// MachinesAfter shows the machines that are there, in the order of their names, beginning
// after one, until yield returns false.
func (c *Cache) MachinesAfter(name string, yield func(*Machine) bool) {
	c.sorted.machines.Ascend(&Machine{Name: name}, func(machine *Machine) bool {
		return machine.Name == name || machine.Gone || yield(machine)
	})
}
