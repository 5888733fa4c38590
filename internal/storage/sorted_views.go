package storage

import "github.com/tidwall/btree"

// btreeDegree is the minimum number of children of an inner node in the sorted views' B-trees.
const btreeDegree = 16

// sortedViews holds jobs sorted by id and machines sorted by name, so that the cost of a page of a
// list depends on the page's size and not on the total number of entries.
type sortedViews struct {
	jobs       *btree.BTreeG[*Job]
	jobsByTeam []*btree.BTreeG[*Job]
	machines   *btree.BTreeG[*Machine]
}

func newSortedViews(teams int) *sortedViews {
	// NoLocks: a Cache is used by one goroutine at a time.
	options := btree.Options{NoLocks: true, Degree: btreeDegree}
	newJobs := func() *btree.BTreeG[*Job] {
		return btree.NewBTreeGOptions(func(a, b *Job) bool { return a.ID < b.ID }, options)
	}
	views := &sortedViews{
		jobs:     newJobs(),
		machines: btree.NewBTreeGOptions(func(a, b *Machine) bool { return a.Name < b.Name }, options),
	}
	for range teams {
		views.jobsByTeam = append(views.jobsByTeam, newJobs())
	}
	return views
}

func (v *sortedViews) addJob(job *Job) {
	v.jobs.Set(job)
	v.jobsByTeam[job.Team].Set(job)
}

func (v *sortedViews) removeJob(job *Job) {
	v.jobs.Delete(job)
	v.jobsByTeam[job.Team].Delete(job)
}

func (v *sortedViews) addMachine(machine *Machine) { v.machines.Set(machine) }

func (v *sortedViews) removeMachine(machine *Machine) { v.machines.Delete(machine) }

// JobsAfter calls yield for the jobs that are not pruned, in the order of their ids, starting after
// the given id, until yield returns false. If team is not negative, it includes that team's jobs only.
func (c *Cache) JobsAfter(team int, id string, yield func(*Job) bool) {
	tree := c.sorted.jobs
	if team >= 0 {
		tree = c.sorted.jobsByTeam[team]
	}
	tree.Ascend(&Job{ID: id}, func(job *Job) bool { return job.ID == id || yield(job) })
}

// MachineCount returns the number of existing machines. Cache.Machines also holds removed ones.
func (c *Cache) MachineCount() int { return c.sorted.machines.Len() }

// MachinesAfter calls yield for the existing machines, in the order of their names, starting after
// the given name, until yield returns false.
func (c *Cache) MachinesAfter(name string, yield func(*Machine) bool) {
	c.sorted.machines.Ascend(&Machine{Name: name}, func(machine *Machine) bool {
		return machine.Name == name || machine.Gone || yield(machine)
	})
}
