package storage

import "github.com/tidwall/btree"

// sortedViews keeps jobs and machines in the order of their names, so that a page of a list costs
// as much as it shows and not as much as there is.
type sortedViews struct {
	jobs     *btree.BTreeG[*Job]
	byTeam   []*btree.BTreeG[*Job]
	machines *btree.BTreeG[*Machine]
}

func newSortedViews(teams int) sortedViews {
	// The core's goroutine alone uses them.
	opts := btree.Options{NoLocks: true, Degree: 16}
	jobs := func() *btree.BTreeG[*Job] {
		return btree.NewBTreeGOptions(func(a, b *Job) bool { return a.ID < b.ID }, opts)
	}
	o := sortedViews{jobs: jobs(), machines: btree.NewBTreeGOptions(func(a, b *Machine) bool { return a.Name < b.Name }, opts)}
	for range teams {
		o.byTeam = append(o.byTeam, jobs())
	}
	return o
}

func (o *sortedViews) addJob(j *Job) {
	o.jobs.Set(j)
	o.byTeam[j.Team].Set(j)
}

func (o *sortedViews) dropJob(j *Job) {
	o.jobs.Delete(j)
	o.byTeam[j.Team].Delete(j)
}

// JobsAfter shows the jobs that are not forgotten, in the order of their ids, beginning after
// one, until yield returns false; of one team only, unless team is below 0.
func (c *Cache) JobsAfter(team int, id string, yield func(*Job) bool) {
	tree := c.sorted.jobs
	if team >= 0 {
		tree = c.sorted.byTeam[team]
	}
	tree.Ascend(&Job{ID: id}, func(j *Job) bool { return j.ID == id || yield(j) })
}

// MachineCount is how many machines there are; the cache keeps the names of all that there were.
func (c *Cache) MachineCount() int { return c.sorted.machines.Len() }

// MachinesAfter shows the machines that are there, in the order of their names, beginning
// after one, until yield returns false.
func (c *Cache) MachinesAfter(name string, yield func(*Machine) bool) {
	c.sorted.machines.Ascend(&Machine{Name: name}, func(m *Machine) bool { return m.Name == name || m.Gone || yield(m) })
}
